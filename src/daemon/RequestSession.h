#pragma once

#include "daemon/ControlThread.h"
#include "daemon/Routing.h"
#include "dispatch/RequestLifecycle.h"
#include "gateway/Http.h"
#include "upstream/CurlClient.h"
#include "upstream/EventStreamParser.h"
#include <asio.hpp>
#include <memory>
#include <random>

namespace eelgrassford::daemon {

/// @brief What the sessions of one traffic thread share.
struct SessionContext {
    asio::io_context& context;
    ControlThread& control;
    telemetry::Metrics& metrics;
    upstream::CurlClient& client;
    std::mt19937_64& random;
    std::map<std::string, dispatch::RetryBudget>& budgets;
    std::string host;
};

/// @brief A checked request of a caller.
struct SessionRequest {
    RouteRequest route;
    dispatch::RequestLifecycle::Options lifecycle;
    gateway::HttpRequest http;
    /// Path to call at the upstream.
    std::string upstreamTarget;
    bool isStreaming = false;
};

/// @brief One caller's request on its traffic thread: routes it, calls upstreams, relays the answer.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(SessionContext& shared, SessionRequest request, std::shared_ptr<gateway::Responder> responder);

    void start();

private:
    void onRoute(RouteReply reply);
    void send(const Route& route);
    void call(const std::string& method, const std::string& target, const std::string& body);
    void onResponded(std::uint16_t status, const upstream::Headers& headers);
    void onReceived(std::string_view bytes);
    void relayEvents();
    void onEnded(const upstream::CallResult& result);
    void attemptFailed(dispatch::AttemptFailure failure);
    void follow(const dispatch::Step& step);
    void answerWhole();
    void finishAnswered(const claims::Answer& answer);
    void fail(const gateway::Problem& problem, RequestEnd end);
    void onCallerGone();
    void countFirstByte();
    gateway::Headers answerHeaders(const std::string& contentType) const;
    std::string requestId() const;
    dispatch::RetryBudget& budget() { return m_shared.budgets[m_request.route.destination]; }
    auto onOwnThread(void (RequestSession::*member)(RouteReply));

    SessionContext& m_shared;
    SessionRequest m_request;
    std::shared_ptr<gateway::Responder> m_responder;
    dispatch::RequestLifecycle m_lifecycle;
    TimePoint m_startedAt;
    std::optional<Route> m_route;
    std::vector<std::string> m_failedUpstreams;
    std::string m_callId;
    /// Call id of the attempt whose stream is relayed; resumed calls name it.
    std::string m_streamId;
    upstream::CallId m_call = 0;
    asio::steady_timer m_retryTimer;
    upstream::EventStreamParser m_events;
    std::uint16_t m_status = 0;
    std::string m_contentType;
    std::string m_body;
    std::uint64_t m_skip = 0;
    bool m_isEcho = false;
    bool m_isDeclined = false;
    bool m_hasBegun = false;
    bool m_hasEndMark = false;
    bool m_isFinished = false;
    bool m_hasFirstByte = false;
};

}
