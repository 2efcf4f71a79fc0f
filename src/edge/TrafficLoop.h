#pragma once

#include "daemon/PeriodicTimer.h"
#include "edge/RelaySettings.h"
#include "gateway/StreamServer.h"
#include "proxy/Router.h"
#include <atomic>

namespace eelgrassford::edge {

/// @brief Serves callers on one thread. The public functions may be called from any thread.
class TrafficLoop {
public:
    TrafficLoop(const RelaySettings& settings, const proxy::Codec& codec, telemetry::Metrics& metrics);

    void run();
    void end() { m_context.stop(); }
    void setRoutes(std::shared_ptr<const routing::RouteTable> routes);
    void setRunners(std::vector<runners::RunnerEntry> entries);
    void setSettings(const RelaySettings& settings);
    void proveContact(TimePoint provenAt);
    /// @brief What this loop tells the control loop several times a second, on its own thread.
    using StateListener = std::function<void(std::vector<fleet::RunnerState>, std::vector<dispatch::CrashRecord>)>;
    /// @brief Must be set before run().
    void setStateListener(StateListener listener) { m_listener = std::move(listener); }
    void setPeerWord(std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> summaries);
    void learnCrashes(std::vector<dispatch::CrashRecord> records);
    /// @brief Begins a graceful stop; @a ended runs on this loop's thread when nothing is under way or time is over.
    void beginStop(std::function<void()> ended);

private:
    void startServing();
    void tick(TimePoint now);
    void tickStop(TimePoint now);

    RelaySettings m_settings;
    asio::io_context m_context { 1 };
    daemon::PeriodicTimer m_ticker;
    proxy::Router m_router;
    gateway::StreamServer m_server;
    StateListener m_listener;
    TimePoint m_startedAt {};
    TimePoint m_lastTick {};
    TimePoint m_nextSweepAt {};
    TimePoint m_nextMetricsAt {};
    std::optional<TimePoint> m_stopAt;
    std::function<void()> m_ended;
};

}
