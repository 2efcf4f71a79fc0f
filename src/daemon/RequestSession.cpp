#include "daemon/RequestSession.h"

#include "common/Hash.h"
#include "daemon/SystemClock.h"
#include "telemetry/DecisionLog.h"
#include <algorithm>

namespace eelgrassford::daemon {

using dispatch::AttemptFailure;
using gateway::Problem;
using gateway::ProblemCode;
using gateway::ProblemOutcome;

namespace {

    constexpr std::string_view callIdHeader = "Eelgrassford-Call-Id";
    constexpr std::string_view declinedHeader = "Eelgrassford-Declined";
    constexpr std::string_view eventStreamType = "text/event-stream";

    AttemptEnd toAttemptEnd(AttemptFailure failure)
    {
        switch (failure) {
        case AttemptFailure::NeverConnected:
            return AttemptEnd::NeverConnected;
        case AttemptFailure::Declined:
            return AttemptEnd::Declined;
        case AttemptFailure::MismatchedAnswer:
            return AttemptEnd::MismatchedAnswer;
        case AttemptFailure::TimedOut:
            return AttemptEnd::TimedOut;
        case AttemptFailure::Broken:
            break;
        }
        return AttemptEnd::Broken;
    }

    /// Whether a caller's header is forwarded to the upstream.
    bool isForwarded(const std::string& name)
    {
        static const std::vector<std::string> notForwarded { "eelgrassford-call-id", "host", "connection",
            "content-length", "transfer-encoding", "expect", "keep-alive", "upgrade", "te", "trailer" };
        return std::none_of(notForwarded.begin(), notForwarded.end(),
            [&](const auto& item) { return gateway::isEqualIgnoringCase(item, name); });
    }

}

RequestSession::RequestSession(
    SessionContext& context, SessionRequest request, std::shared_ptr<gateway::Responder> responder)
    : m_context(context)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_lifecycle(m_request.lifecycle)
    , m_startedAt(currentTime())
    , m_retryTimer(context.ioContext)
{
}

auto RequestSession::onTrafficThread(void (RequestSession::*member)(RouteReply))
{
    return [self = shared_from_this(), member](RouteReply reply) {
        asio::post(self->m_context.ioContext,
            [self, member, reply = std::move(reply)]() mutable { (self.get()->*member)(std::move(reply)); });
    };
}

void RequestSession::start()
{
    m_responder->onCallerDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    m_context.control.route(m_request.route, onTrafficThread(&RequestSession::onRoute));
}

void RequestSession::onRoute(RouteReply reply)
{
    if (m_isFinished)
        return;
    if (const auto* answer = std::get_if<claims::Answer>(&reply)) {
        m_isFinished = true;
        m_context.metrics.countOutcome("answered");
        auto headers = answerHeaders(answer->contentType);
        headers.emplace_back("Eelgrassford-Replayed", "true");
        m_responder->respond({ answer->status, headers, answer->body });
        return;
    }
    if (const auto* problem = std::get_if<Problem>(&reply)) {
        auto reported = *problem;
        // The refusal of a retry does not change that an earlier attempt may have run.
        if (m_lifecycle.mayHaveRun()) {
            reported.outcome = ProblemOutcome::Unknown;
            finishWithProblem(reported, RequestEnd::Unknown);
        } else {
            finishWithProblem(reported, RequestEnd::NotRun);
        }
        return;
    }
    beginAttempt(std::get<Route>(reply));
}

void RequestSession::beginAttempt(const Route& route)
{
    m_route = route;
    const auto now = currentTime();
    if (now >= route.sendBefore || !m_lifecycle.beginAttempt(now)) {
        const bool mayHaveRun = m_lifecycle.mayHaveRun();
        finishWithProblem({ 504, mayHaveRun ? ProblemCode::OutcomeUnknown : ProblemCode::DeadlineUnreachable,
                              "no time left to send the request",
                              mayHaveRun ? ProblemOutcome::Unknown : ProblemOutcome::NotRun, std::chrono::seconds(1) },
            mayHaveRun ? RequestEnd::Unknown : RequestEnd::NotRun);
        return;
    }
    m_firstUnsentOffset = m_lifecycle.offset();
    startCall(m_request.http.method, m_request.upstreamTarget, m_request.http.body);
    m_streamCallId = m_callId;
}

void RequestSession::startCall(const std::string& method, const std::string& target, const std::string& body)
{
    m_callId = requestId() + "-" + toHex(m_context.random());
    m_status = 0;
    m_contentType.clear();
    m_body.clear();
    m_events = {};
    m_isCallIdEchoed = false;
    m_isDeclined = false;
    m_hasEndEvent = false;
    upstream::Call call;
    call.method = method;
    call.url = "http://" + m_route->address + target;
    call.body = body;
    call.isRepeatable = m_request.route.isIdempotent;
    call.timeout = std::max<Duration>(std::chrono::milliseconds(1), m_request.route.deadline - currentTime());
    for (const auto& [name, value] : m_request.http.headers) {
        if (isForwarded(name))
            call.headers.emplace_back(name, value);
    }
    call.headers.emplace_back(callIdHeader, m_callId);
    const auto id = m_callId;
    auto runIfCurrent = [self = shared_from_this(), id](auto&& handler) {
        if (self->m_callId == id && !self->m_isFinished)
            handler(*self);
    };
    upstream::CallEvents events;
    events.responded = [runIfCurrent](std::uint16_t status, const upstream::Headers& headers) {
        runIfCurrent([&](RequestSession& self) { self.onResponded(status, headers); });
    };
    events.received = [runIfCurrent](std::string_view bytes) {
        runIfCurrent([&](RequestSession& self) { self.onReceived(bytes); });
    };
    events.ended = [runIfCurrent](const upstream::CallResult& result) {
        runIfCurrent([&](RequestSession& self) { self.onCallEnded(result); });
    };
    m_clientCall = m_context.client.start(call, std::move(events));
}

void RequestSession::onResponded(std::uint16_t status, const upstream::Headers& headers)
{
    m_status = status;
    for (const auto& [name, value] : headers) {
        if (gateway::isEqualIgnoringCase(name, callIdHeader))
            m_isCallIdEchoed = value == m_callId;
        else if (gateway::isEqualIgnoringCase(name, "Content-Type"))
            m_contentType = value;
        else if (gateway::isEqualIgnoringCase(name, declinedHeader))
            m_isDeclined = status == 503;
    }
}

void RequestSession::onReceived(std::string_view bytes)
{
    if (!m_isCallIdEchoed)
        return;
    observeFirstByteOnce();
    const bool isStream = m_request.isStreaming && m_status == 200 && m_contentType.starts_with(eventStreamType);
    if (!isStream) {
        m_body += bytes;
        return;
    }
    m_events.feed(bytes);
    relayEvents();
}

void RequestSession::relayEvents()
{
    while (const auto event = m_events.next()) {
        // The caller already has this event from an earlier attempt of an idempotent request.
        if (event->offset && *event->offset < m_firstUnsentOffset)
            continue;
        // Events must reach the caller without gaps and repeats.
        if (event->offset && *event->offset != m_lifecycle.offset() && !event->isEnd)
            continue;
        if (!m_hasResponseBegun) {
            m_hasResponseBegun = true;
            m_responder->begin(m_status, answerHeaders(m_contentType));
        }
        m_responder->write(std::string(event->text));
        m_lifecycle.recordRelayedEvent();
        m_hasEndEvent = m_hasEndEvent || event->isEnd;
    }
}

void RequestSession::onCallEnded(const upstream::CallResult& result)
{
    if (result.end == upstream::CallEnd::NeverConnected) {
        handleAttemptFailure(AttemptFailure::NeverConnected);
        return;
    }
    if (result.end != upstream::CallEnd::Complete) {
        handleAttemptFailure(
            result.end == upstream::CallEnd::TimedOut ? AttemptFailure::TimedOut : AttemptFailure::Broken);
        return;
    }
    if (!m_isCallIdEchoed) {
        m_context.metrics.countDroppedAnswer();
        handleAttemptFailure(AttemptFailure::MismatchedAnswer);
        return;
    }
    if (m_isDeclined) {
        handleAttemptFailure(AttemptFailure::Declined);
        return;
    }
    const bool isStream = m_request.isStreaming && m_status == 200 && m_contentType.starts_with(eventStreamType);
    if ((isStream || m_hasResponseBegun) && !m_hasEndEvent) {
        handleAttemptFailure(AttemptFailure::Broken);
        return;
    }
    m_context.control.recordAttemptEnd(m_request.route.ticket, m_route->upstream, AttemptEnd::Answered);
    m_lifecycle.succeed(budget());
    finishWithUpstreamAnswer();
}

void RequestSession::finishWithUpstreamAnswer()
{
    finishWithAnswer({ m_status, m_contentType, m_body, m_route->upstream });
}

void RequestSession::finishWithAnswer(const claims::Answer& answer)
{
    if (m_hasResponseBegun)
        m_responder->end();
    else
        m_responder->respond({ answer.status, answerHeaders(answer.contentType), answer.body });
    m_isFinished = true;
    m_context.metrics.countOutcome("answered");
    telemetry::logInfo("request",
        { { "ticket", m_request.route.ticket }, { "organisation", m_request.route.organisation },
            { "destination", m_request.route.destination }, { "upstream", answer.upstream },
            { "attempts", m_lifecycle.attempts() }, { "status", static_cast<int>(answer.status) },
            { "outcome", "answered" }, { "seconds", toSeconds(currentTime() - m_startedAt) } });
    m_context.control.finish(m_request.route.ticket, RequestEnd::Answered, answer);
}

void RequestSession::handleAttemptFailure(AttemptFailure failure)
{
    m_context.metrics.countAttemptFailure(std::string(dispatch::nameOf(failure)));
    m_context.control.recordAttemptEnd(m_request.route.ticket, m_route->upstream, toAttemptEnd(failure));
    telemetry::logInfo("attempt-failed",
        { { "ticket", m_request.route.ticket }, { "upstream", m_route->upstream },
            { "kind", dispatch::nameOf(failure) }, { "offset", m_lifecycle.offset() } });
    const auto random = [this] { return std::uniform_real_distribution<double>()(m_context.random); };
    performStep(m_lifecycle.fail(failure, currentTime(), budget(), random));
}

void RequestSession::performStep(const dispatch::Step& step)
{
    if (const auto* retry = std::get_if<dispatch::SendAt>(&step)) {
        m_failedUpstreams.push_back(m_route->upstream);
        m_callId.clear();
        m_retryTimer.expires_after(std::max<Duration>(Duration::zero(), retry->at - currentTime()));
        m_retryTimer.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error && !self->m_isFinished)
                self->m_context.control.reroute(self->m_request.route.ticket, self->m_failedUpstreams,
                    self->onTrafficThread(&RequestSession::onRoute));
        });
    } else if (const auto* resume = std::get_if<dispatch::Resume>(&step)) {
        m_firstUnsentOffset = resume->offset;
        startCall("GET", "/v1/streams/" + m_streamCallId + "?offset=" + std::to_string(resume->offset), "");
    } else if (std::holds_alternative<dispatch::FinishNotRun>(step)) {
        finishWithProblem({ 503, ProblemCode::NoUpstream, "no upstream could be reached", ProblemOutcome::NotRun,
                              std::chrono::seconds(1) },
            RequestEnd::NotRun);
    } else if (const auto* unknown = std::get_if<dispatch::FinishUnknown>(&step)) {
        finishWithProblem({ 502, ProblemCode::OutcomeUnknown, unknown->outcome.detail, ProblemOutcome::Unknown, {} },
            RequestEnd::Unknown);
    }
}

void RequestSession::finishWithProblem(const Problem& problem, RequestEnd end)
{
    m_isFinished = true;
    m_retryTimer.cancel();
    m_context.metrics.countOutcome(end == RequestEnd::NotRun ? "not-run" : "unknown");
    telemetry::logInfo("request",
        { { "ticket", m_request.route.ticket }, { "organisation", m_request.route.organisation },
            { "destination", m_request.route.destination }, { "attempts", m_lifecycle.attempts() },
            { "status", static_cast<int>(problem.status) }, { "code", gateway::nameOf(problem.code) },
            { "outcome", gateway::nameOf(problem.outcome) } });
    if (m_hasResponseBegun) {
        m_responder->abort();
    } else {
        auto response = gateway::toResponse(problem);
        response.headers.emplace_back("Eelgrassford-Request-Id", requestId());
        response.headers.emplace_back("Eelgrassford-Attempts", std::to_string(m_lifecycle.attempts()));
        m_responder->respond(response);
    }
    m_context.control.finish(m_request.route.ticket, end, {});
}

void RequestSession::onCallerDisconnected()
{
    // A non-idempotent request continues, so that the caller gets its answer if it sends the request again.
    if (m_isFinished || !m_request.route.isIdempotent)
        return;
    m_isFinished = true;
    m_retryTimer.cancel();
    m_context.client.cancel(m_clientCall);
    m_context.metrics.countOutcome("cancelled");
    telemetry::logInfo("request", { { "ticket", m_request.route.ticket }, { "outcome", "cancelled" } });
    if (m_route)
        m_context.control.recordAttemptEnd(m_request.route.ticket, m_route->upstream, AttemptEnd::Cancelled);
    m_context.control.finish(m_request.route.ticket, RequestEnd::Unknown, {});
}

void RequestSession::observeFirstByteOnce()
{
    if (!std::exchange(m_hasObservedFirstByte, true))
        m_context.metrics.observeFirstByte(toSeconds(currentTime() - m_startedAt));
}

gateway::Headers RequestSession::answerHeaders(const std::string& contentType) const
{
    gateway::Headers headers {
        { "Content-Type", contentType.empty() ? "application/octet-stream" : contentType },
        { "Eelgrassford-Request-Id", requestId() },
        { "Eelgrassford-Attempts", std::to_string(m_lifecycle.attempts()) },
    };
    if (m_route)
        headers.emplace_back("Eelgrassford-Upstream", m_route->upstream);
    return headers;
}

std::string RequestSession::requestId() const { return m_context.host + "-" + std::to_string(m_request.route.ticket); }

}
