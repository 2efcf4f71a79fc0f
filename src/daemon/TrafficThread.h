#pragma once

#include "daemon/RequestSession.h"
#include "gateway/HttpServer.h"

namespace eelgrassford::daemon {

/// @brief Serves callers on one thread, with its own listener, connections and upstream calls.
class TrafficThread {
public:
    /// @param firstTicket first ticket of this thread; the ticket ranges of the threads must not overlap
    TrafficThread(const Settings& settings, ControlThread& control, telemetry::Metrics& metrics, Ticket firstTicket);

    /// @brief Runs the event loop until stop().
    void run();
    /// @brief Refuses new connections; open connections are still served.
    void stopAccepting();
    /// @brief Asks callers to close their connections after each response from now on.
    void closeAfterResponses();
    /// @brief Makes run() return.
    void stop();

private:
    void handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder);

    const Settings& m_settings;
    ControlThread& m_control;
    telemetry::Metrics& m_metrics;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    upstream::CurlClient m_client;
    std::mt19937_64 m_random;
    std::map<std::string, dispatch::RetryBudget> m_budgets;
    SessionContext m_sessionContext;
    Ticket m_nextTicket;
    gateway::HttpServer m_server;
};

}
