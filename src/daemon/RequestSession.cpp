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
            return AttemptEnd::Crossed;
        case AttemptFailure::TimedOut:
            return AttemptEnd::TimedOut;
        case AttemptFailure::Broken:
            break;
        }
        return AttemptEnd::Broken;
    }

    /// Headers of a caller that go on to the upstream.
    bool isForwarded(const std::string& name)
    {
        static const std::vector<std::string> held { "eelgrassford-call-id", "host", "connection", "content-length",
            "transfer-encoding", "expect", "keep-alive", "upgrade", "te", "trailer" };
        return std::none_of(
            held.begin(), held.end(), [&](const auto& item) { return gateway::isEqualIgnoringCase(item, name); });
    }

}

RequestSession::RequestSession(
    SessionContext& shared, SessionRequest request, std::shared_ptr<gateway::Responder> responder)
    : m_shared(shared)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_lifecycle(m_request.lifecycle)
    , m_startedAt(currentTime())
    , m_retryTimer(shared.context)
{
}

auto RequestSession::onOwnThread(void (RequestSession::*member)(RouteReply))
{
    return [self = shared_from_this(), member](RouteReply reply) {
        asio::post(self->m_shared.context,
            [self, member, reply = std::move(reply)]() mutable { (self.get()->*member)(std::move(reply)); });
    };
}

void RequestSession::start()
{
    m_responder->onCallerDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    m_shared.control.route(m_request.route, onOwnThread(&RequestSession::onRoute));
}

void RequestSession::onRoute(RouteReply reply)
{
    if (m_isFinished)
        return;
    if (const auto* answer = std::get_if<claims::Answer>(&reply)) {
        m_isFinished = true;
        m_shared.metrics.countOutcome("answered");
        auto headers = answerHeaders(answer->contentType);
        headers.emplace_back("Eelgrassford-Replayed", "true");
        m_responder->respond({ answer->status, headers, answer->body });
        return;
    }
    if (const auto* problem = std::get_if<Problem>(&reply)) {
        auto shown = *problem;
        // A retry that finds no upstream cannot undo an attempt that may have run.
        if (m_lifecycle.mayHaveRun()) {
            shown.outcome = ProblemOutcome::Unknown;
            fail(shown, RequestEnd::Unknown);
        } else {
            fail(shown, RequestEnd::NotRun);
        }
        return;
    }
    send(std::get<Route>(reply));
}

void RequestSession::send(const Route& route)
{
    m_route = route;
    const auto now = currentTime();
    if (now >= route.sendBefore || !m_lifecycle.beginAttempt(now)) {
        const bool mayHaveRun = m_lifecycle.mayHaveRun();
        fail({ 504, mayHaveRun ? ProblemCode::OutcomeUnknown : ProblemCode::DeadlineUnreachable,
                 "no time left to send the request", mayHaveRun ? ProblemOutcome::Unknown : ProblemOutcome::NotRun,
                 std::chrono::seconds(1) },
            mayHaveRun ? RequestEnd::Unknown : RequestEnd::NotRun);
        return;
    }
    m_skip = m_lifecycle.offset();
    call(m_request.http.method, m_request.upstreamTarget, m_request.http.body);
    m_streamId = m_callId;
}

void RequestSession::call(const std::string& method, const std::string& target, const std::string& body)
{
    m_callId = requestId() + "-" + toHex(m_shared.random());
    m_status = 0;
    m_contentType.clear();
    m_body.clear();
    m_events = {};
    m_isEcho = false;
    m_isDeclined = false;
    m_hasEndMark = false;
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
    auto guard = [self = shared_from_this(), id](auto&& handler) {
        if (self->m_callId == id && !self->m_isFinished)
            handler(*self);
    };
    upstream::CallEvents events;
    events.responded = [guard](std::uint16_t status, const upstream::Headers& headers) {
        guard([&](RequestSession& self) { self.onResponded(status, headers); });
    };
    events.received = [guard](std::string_view bytes) { guard([&](RequestSession& self) { self.onReceived(bytes); }); };
    events.ended
        = [guard](const upstream::CallResult& result) { guard([&](RequestSession& self) { self.onEnded(result); }); };
    m_call = m_shared.client.start(call, std::move(events));
}

void RequestSession::onResponded(std::uint16_t status, const upstream::Headers& headers)
{
    m_status = status;
    for (const auto& [name, value] : headers) {
        if (gateway::isEqualIgnoringCase(name, callIdHeader))
            m_isEcho = value == m_callId;
        else if (gateway::isEqualIgnoringCase(name, "Content-Type"))
            m_contentType = value;
        else if (gateway::isEqualIgnoringCase(name, declinedHeader))
            m_isDeclined = status == 503;
    }
}

void RequestSession::onReceived(std::string_view bytes)
{
    if (!m_isEcho)
        return;
    countFirstByte();
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
        // Events that the caller already has, after a retry of an idempotent request.
        if (event->offset && *event->offset < m_skip)
            continue;
        // A gap or a repeat must never reach the caller.
        if (event->offset && *event->offset != m_lifecycle.offset() && !event->isEnd)
            continue;
        if (!m_hasBegun) {
            m_hasBegun = true;
            m_responder->begin(m_status, answerHeaders(m_contentType));
        }
        m_responder->write(std::string(event->text));
        m_lifecycle.recordRelayedEvent();
        m_hasEndMark = m_hasEndMark || event->isEnd;
    }
}

void RequestSession::onEnded(const upstream::CallResult& result)
{
    if (result.end == upstream::CallEnd::NeverConnected) {
        attemptFailed(AttemptFailure::NeverConnected);
        return;
    }
    if (result.end != upstream::CallEnd::Complete) {
        attemptFailed(result.end == upstream::CallEnd::TimedOut ? AttemptFailure::TimedOut : AttemptFailure::Broken);
        return;
    }
    if (!m_isEcho) {
        m_shared.metrics.countDroppedAnswer();
        attemptFailed(AttemptFailure::MismatchedAnswer);
        return;
    }
    if (m_isDeclined) {
        attemptFailed(AttemptFailure::Declined);
        return;
    }
    const bool isStream = m_request.isStreaming && m_status == 200 && m_contentType.starts_with(eventStreamType);
    if ((isStream || m_hasBegun) && !m_hasEndMark) {
        attemptFailed(AttemptFailure::Broken);
        return;
    }
    m_shared.control.attemptEnded(m_request.route.ticket, m_route->upstream, AttemptEnd::Answered);
    m_lifecycle.succeed(budget());
    answerWhole();
}

void RequestSession::answerWhole() { finishAnswered({ m_status, m_contentType, m_body, m_route->upstream }); }

void RequestSession::finishAnswered(const claims::Answer& answer)
{
    if (m_hasBegun)
        m_responder->end();
    else
        m_responder->respond({ answer.status, answerHeaders(answer.contentType), answer.body });
    m_isFinished = true;
    m_shared.metrics.countOutcome("answered");
    telemetry::logInfo("request",
        { { "ticket", m_request.route.ticket }, { "organisation", m_request.route.organisation },
            { "destination", m_request.route.destination }, { "upstream", answer.upstream },
            { "attempts", m_lifecycle.attempts() }, { "status", static_cast<int>(answer.status) },
            { "outcome", "answered" }, { "seconds", toSeconds(currentTime() - m_startedAt) } });
    m_shared.control.finish(m_request.route.ticket, RequestEnd::Answered, answer);
}

void RequestSession::attemptFailed(AttemptFailure failure)
{
    m_shared.metrics.countAttemptFailure(std::string(dispatch::nameOf(failure)));
    m_shared.control.attemptEnded(m_request.route.ticket, m_route->upstream, toAttemptEnd(failure));
    telemetry::logInfo("attempt-failed",
        { { "ticket", m_request.route.ticket }, { "upstream", m_route->upstream },
            { "kind", dispatch::nameOf(failure) }, { "offset", m_lifecycle.offset() } });
    const auto random = [this] { return std::uniform_real_distribution<double>()(m_shared.random); };
    follow(m_lifecycle.fail(failure, currentTime(), budget(), random));
}

void RequestSession::follow(const dispatch::Step& step)
{
    if (const auto* again = std::get_if<dispatch::SendAt>(&step)) {
        m_failedUpstreams.push_back(m_route->upstream);
        m_callId.clear();
        m_retryTimer.expires_after(std::max<Duration>(Duration::zero(), again->at - currentTime()));
        m_retryTimer.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error && !self->m_isFinished)
                self->m_shared.control.reroute(
                    self->m_request.route.ticket, self->m_failedUpstreams, self->onOwnThread(&RequestSession::onRoute));
        });
    } else if (const auto* resume = std::get_if<dispatch::Resume>(&step)) {
        m_skip = resume->offset;
        call("GET", "/v1/streams/" + m_streamId + "?offset=" + std::to_string(resume->offset), "");
    } else if (std::holds_alternative<dispatch::FinishNotRun>(step)) {
        fail({ 503, ProblemCode::NoUpstream, "no upstream could be reached", ProblemOutcome::NotRun,
                 std::chrono::seconds(1) },
            RequestEnd::NotRun);
    } else if (const auto* unknown = std::get_if<dispatch::FinishUnknown>(&step)) {
        fail({ 502, ProblemCode::OutcomeUnknown, unknown->outcome.detail, ProblemOutcome::Unknown, {} },
            RequestEnd::Unknown);
    }
}

void RequestSession::fail(const Problem& problem, RequestEnd end)
{
    m_isFinished = true;
    m_retryTimer.cancel();
    m_shared.metrics.countOutcome(end == RequestEnd::NotRun ? "not-run" : "unknown");
    telemetry::logInfo("request",
        { { "ticket", m_request.route.ticket }, { "organisation", m_request.route.organisation },
            { "destination", m_request.route.destination }, { "attempts", m_lifecycle.attempts() },
            { "status", static_cast<int>(problem.status) }, { "code", gateway::nameOf(problem.code) },
            { "outcome", gateway::nameOf(problem.outcome) } });
    if (m_hasBegun) {
        m_responder->abort();
    } else {
        auto response = gateway::toResponse(problem);
        response.headers.emplace_back("Eelgrassford-Request-Id", requestId());
        response.headers.emplace_back("Eelgrassford-Attempts", std::to_string(m_lifecycle.attempts()));
        m_responder->respond(response);
    }
    m_shared.control.finish(m_request.route.ticket, end, {});
}

void RequestSession::onCallerGone()
{
    // A non-idempotent request goes on, so that a resend finds its answer.
    if (m_isFinished || !m_request.route.isIdempotent)
        return;
    m_isFinished = true;
    m_retryTimer.cancel();
    m_shared.client.cancel(m_call);
    m_shared.metrics.countOutcome("cancelled");
    telemetry::logInfo("request", { { "ticket", m_request.route.ticket }, { "outcome", "cancelled" } });
    if (m_route)
        m_shared.control.attemptEnded(m_request.route.ticket, m_route->upstream, AttemptEnd::Cancelled);
    m_shared.control.finish(m_request.route.ticket, RequestEnd::Unknown, {});
}

void RequestSession::countFirstByte()
{
    if (!std::exchange(m_hasFirstByte, true))
        m_shared.metrics.observeFirstByte(toSeconds(currentTime() - m_startedAt));
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

std::string RequestSession::requestId() const { return m_shared.host + "-" + std::to_string(m_request.route.ticket); }

}
