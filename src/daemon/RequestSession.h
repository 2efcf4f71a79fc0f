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

/// @brief Resources shared by all sessions of one traffic thread.
struct SessionContext {
    asio::io_context& ioContext;
    ControlThread& control;
    telemetry::Metrics& metrics;
    upstream::CurlClient& client;
    std::mt19937_64& random;
    /// Retry budgets by model or service.
    std::map<std::string, dispatch::RetryBudget>& budgets;
    /// Name of this daemon's host, the first part of every request id.
    std::string host;
};

/// @brief A caller's request after validation.
struct SessionRequest {
    RouteRequest route;
    dispatch::RequestLifecycle::Options lifecycle;
    gateway::HttpRequest http;
    /// Request target (path and query) at the upstream.
    std::string upstreamTarget;
    /// Whether the caller asked for an event stream.
    bool isStreaming = false;
};

/// @brief Serves one caller's request on its traffic thread: routes it, calls upstreams and relays the answer.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(SessionContext& context, SessionRequest request, std::shared_ptr<gateway::Responder> responder);

    /// @brief Asks the control thread for a route; the session keeps itself alive until the request is finished.
    void start();

private:
    void onRoute(RouteReply reply);
    void beginAttempt(const Route& route);
    void startCall(const std::string& method, const std::string& target, const std::string& body);
    void onResponded(std::uint16_t status, const upstream::Headers& headers);
    void onReceived(std::string_view bytes);
    void relayEvents();
    void onCallEnded(const upstream::CallResult& result);
    void handleAttemptFailure(dispatch::AttemptFailure failure);
    void performStep(const dispatch::Step& step);
    void finishWithUpstreamAnswer();
    void finishWithAnswer(const claims::Answer& answer);
    void finishWithProblem(const gateway::Problem& problem, RequestEnd end);
    void onCallerDisconnected();
    void observeFirstByteOnce();
    gateway::Headers answerHeaders(const std::string& contentType) const;
    std::string requestId() const;
    dispatch::RetryBudget& budget() { return m_context.budgets[m_request.route.destination]; }
    /// Wraps a member as a route callback that runs on the traffic thread.
    auto onTrafficThread(void (RequestSession::*member)(RouteReply));

    SessionContext& m_context;
    SessionRequest m_request;
    std::shared_ptr<gateway::Responder> m_responder;
    dispatch::RequestLifecycle m_lifecycle;
    TimePoint m_startedAt;
    std::optional<Route> m_route;
    std::vector<std::string> m_failedUpstreams;
    /// Id of the upstream call that is running; events of any other call are ignored.
    std::string m_callId;
    /// Call id of the attempt whose stream is relayed; a call that resumes the stream names it.
    std::string m_streamCallId;
    upstream::CallId m_clientCall = 0;
    asio::steady_timer m_retryTimer;
    upstream::EventStreamParser m_events;
    std::uint16_t m_status = 0;
    std::string m_contentType;
    std::string m_body;
    /// Stream offset of the first event that the caller does not have yet.
    std::uint64_t m_firstUnsentOffset = 0;
    /// Whether the upstream's answer repeats the call id; any other answer belongs to a different call.
    bool m_isCallIdEchoed = false;
    bool m_isDeclined = false;
    /// Whether the streamed response to the caller has begun, so that its status can no longer change.
    bool m_hasResponseBegun = false;
    /// Whether the event that ends a stream has been relayed.
    bool m_hasEndEvent = false;
    bool m_isFinished = false;
    bool m_hasObservedFirstByte = false;
};

}
