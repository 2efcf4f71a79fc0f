#include "proxy/Session.h"

#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

using dispatch::AttemptFailure;
using dispatch::RelayStep;
using runners::Observation;

namespace {

    constexpr std::size_t responseBodyLimit = 16u << 20;
    /// Part of the time left that must remain for another attempt before the present one is left.
    constexpr Duration leastTimeForAttempt = std::chrono::milliseconds(100);
    /// Prompt tokens from which fetching them costs less than computing them again.
    constexpr std::uint32_t leastTokensToFetch = 1024;

    bool isSuccess(std::uint16_t status) { return status / 100 == 2; }

    /// Statuses that promise callers that the request has not run.
    bool isPromise(std::uint16_t status)
    {
        return status == status::requestTimeout || status == status::misdirected || status == status::tooManyRequests
            || status == status::unavailable;
    }

    dispatch::RelayPlan::Options planOptions(const Session::Start& start)
    {
        dispatch::RelayPlan::Options options;
        options.isRepeatable = start.route->isRepeatable();
        options.isResumable = start.route->isResumable;
        options.maxAttempts = start.route->maxAttempts;
        options.deadline = start.deadline;
        return options;
    }

}

Session::Session(Router& router, Start start, std::shared_ptr<gateway::Responder> responder)
    : m_router(router)
    , m_start(std::move(start))
    , m_responder(std::move(responder))
    , m_plan(planOptions(m_start))
    , m_affinity(affinityOf(m_start.facts.model, m_start.facts.prompt))
    , m_timer(router.m_context)
    , m_lastEvent(m_start.facts.lastEvent.value_or(0))
{
    m_router.m_sessions.insert(this);
}

Session::~Session() { m_router.m_sessions.erase(this); }

void Session::run()
{
    m_responder->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    send();
    armTimer();
}

void Session::send()
{
    const auto now = m_router.now();
    runners::PlacementRequest request;
    request.service = m_start.service;
    request.affinityKey = m_affinity.prefixHash;
    request.previousRunner = m_router.m_prompts.lastRunner(m_affinity.promptHash);
    request.dataCentre = m_router.m_options.dataCentre;
    request.excluded = m_excluded;
    request.tieBreaker = m_router.draw();
    m_placement = runners::place(m_router.m_registry, request, m_router.m_options.placement, now);
    auto* runner = m_placement.runner;
    if (!runner) {
        if (m_hasBegun)
            follow(RelayStep::Abort, "no runner is left");
        else if (m_plan.mayHaveRun())
            follow(RelayStep::FailUnknown, "no runner is left");
        else
            follow(RelayStep::RefuseNotRun, "no runner is usable");
        return;
    }
    m_plan.beginAttempt();
    m_router.m_registry.recordDispatch(*runner, now);
    m_lastRunner = runner->entry.id;
    m_attempt = std::make_unique<Attempt>();
    m_attempt->runner = runner->entry.id;
    m_attempt->sentAt = now;
    m_attempt->progressAt = now;
    upstream::Exchange exchange;
    exchange.bytes = encode(*runner, m_placement, now);
    exchange.isBodyless = m_start.request.method == "HEAD";
    exchange.isAnswer = [&codec = m_router.m_codec, id = m_start.facts.attemptId](const http::MessageHead& head) {
        const auto facts = codec.decodeResponse(head);
        return !facts.attemptId || *facts.attemptId == id;
    };
    const auto self = shared_from_this();
    m_attempt->handle = m_router.poolOf(*runner).start(std::move(exchange),
        { [self](http::MessageHead& head) { self->onHead(head); },
            [self](std::string_view bytes) { self->onBytes(bytes); },
            [self](const upstream::ExchangeResult& result) { self->onEnded(result); } });
}

std::string Session::encode(const runners::Runner& runner, const runners::Placement& placement, TimePoint now) const
{
    ForwardMetadata facts;
    facts.organisation = m_start.organisation;
    facts.runner = runner.entry.id;
    facts.priority = m_start.priority;
    facts.timeLeft = m_start.deadline - now;
    if (m_lastEvent > 0)
        facts.lastEvent = m_lastEvent;
    if (placement.prefixSource && m_affinity.prefixTokens >= leastTokensToFetch)
        facts.fetchPromptFrom
            = placement.prefixSource->entry.ip + ":" + std::to_string(placement.prefixSource->entry.port);
    const auto& request = m_start.request;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : m_router.m_codec.encodeRequest(request.headers, facts))
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

void Session::onHead(http::MessageHead& head)
{
    auto& attempt = *m_attempt;
    attempt.facts = m_router.m_codec.decodeResponse(head);
    attempt.head = head;
    attempt.hasHead = true;
    attempt.progressAt = m_router.now();
    auto* runner = m_router.m_registry.find(attempt.runner);
    if (runner)
        m_router.m_registry.recordReceived(*runner, attempt.progressAt);
    if (runner && attempt.facts.load)
        m_router.m_registry.recordReportedLoad(*runner, *attempt.facts.load, attempt.progressAt);
    attempt.isStreaming = m_start.route->kind == routing::RequestKind::Stream && isSuccess(head.status)
        && attempt.facts.hasDigest && !attempt.facts.isEncoded && !attempt.facts.hasNotRun;
}

void Session::onBytes(std::string_view bytes)
{
    auto& attempt = *m_attempt;
    attempt.progressAt = m_router.now();
    if (auto* runner = m_router.m_registry.find(attempt.runner))
        m_router.m_registry.recordReceived(*runner, attempt.progressAt);
    if (attempt.isStreaming) {
        attempt.events.feed(bytes);
        relayEvents();
    } else if (attempt.body.size() + bytes.size() <= responseBodyLimit) {
        attempt.body += bytes;
    } else {
        upstream::ConnectionPool::cancel(attempt.handle);
        fail(AttemptFailure::Broken, Observation::Failed, "the response is too large");
    }
}

void Session::relayEvents()
{
    auto& attempt = *m_attempt;
    std::string text;
    while (const auto event = attempt.events.next()) {
        // A resumed stream may begin with events that the caller has.
        if (event->offset && *event->offset <= m_lastEvent)
            continue;
        if (event->offset)
            m_lastEvent = *event->offset;
        text += event->text;
    }
    if (text.empty())
        return;
    if (!m_hasBegun) {
        m_hasBegun = true;
        noteFirstByte(attempt.progressAt);
        m_responder->begin(attempt.head.status, m_router.m_codec.encodeResponse(attempt.head.headers));
    }
    m_responder->write(std::move(text));
}

void Session::onEnded(const upstream::ExchangeResult& result)
{
    if (m_isFinished || !m_attempt)
        return;
    const auto now = m_router.now();
    auto& attempt = *m_attempt;
    if (attempt.hasHead && attempt.facts.hasNotRun) {
        const auto observation = attempt.facts.isMisdirected ? Observation::Replaced : Observation::Declined;
        fail(AttemptFailure::Declined, observation, "the runner did not run it");
        return;
    }
    if (result.end == upstream::ExchangeEnd::NotSent) {
        fail(AttemptFailure::NeverConnected, Observation::CannotConnect, result.detail);
        return;
    }
    if (result.end == upstream::ExchangeEnd::Broken) {
        fail(AttemptFailure::Broken, result.isConnectionLost ? Observation::ConnectionLost : Observation::Failed,
            result.detail);
        return;
    }
    if (attempt.isStreaming) {
        finishStream();
        return;
    }
    const auto status = attempt.head.status;
    if (isSuccess(status) && (!attempt.facts.hasDigest || attempt.facts.isEncoded)) {
        fail(AttemptFailure::Broken, Observation::Failed, "the response is not the runner's own");
        return;
    }
    if (status >= status::serverError && m_plan.tryLeave(m_hasBegun, now, budget(now))) {
        endAttempt(Observation::Failed, now);
        follow(m_hasBegun ? RelayStep::SendRest : RelayStep::SendAgain, "the runner failed it");
        return;
    }
    if (m_hasBegun) {
        fail(AttemptFailure::Broken, Observation::Failed, "the stream was not resumed");
        return;
    }
    // A promise that the runner did not make with its mark must not reach the caller.
    if (isPromise(status)) {
        fail(AttemptFailure::Broken, Observation::Failed, "the runner refused it without saying that it did not run");
        return;
    }
    relayWhole();
}

void Session::relayWhole()
{
    const auto now = m_router.now();
    const auto& attempt = *m_attempt;
    gateway::HttpResponse response;
    response.status = attempt.head.status;
    response.headers = m_router.m_codec.encodeResponse(attempt.head.headers);
    response.body = attempt.body;
    noteFirstByte(now);
    const auto status = attempt.head.status;
    endAttempt(status >= status::serverError ? Observation::Failed : Observation::Served, now);
    m_responder->respond(response);
    finish(isSuccess(status) ? "answered" : "failed-by-runner", status, {});
}

void Session::finishStream()
{
    const auto now = m_router.now();
    if (m_attempt->events.pending() > 0) {
        fail(AttemptFailure::Broken, Observation::Failed, "the stream ended within an event");
        return;
    }
    if (!m_hasBegun)
        m_responder->begin(m_attempt->head.status, m_router.m_codec.encodeResponse(m_attempt->head.headers));
    if (m_affinity.promptHash != 0)
        m_router.m_prompts.recordServed(m_affinity.promptHash, m_attempt->runner);
    endAttempt(Observation::Served, now);
    m_responder->end();
    finish("answered", status::ok, {});
}

void Session::noteFirstByte(TimePoint now)
{
    m_firstByteAt = now;
    const bool isLate = now - m_start.arrivedAt > m_start.route->latencyObjective;
    m_router.m_overload.recordFirstByte(m_start.service, isLate, now);
}

void Session::endAttempt(Observation observation, TimePoint now)
{
    if (!m_attempt)
        return;
    const auto attempt = std::move(m_attempt);
    if (observation == Observation::Served)
        m_router.m_overload.recordService(m_start.service, m_start.route->name, now - attempt->sentAt, now);
    auto* runner = m_router.m_registry.find(attempt->runner);
    if (!runner)
        return;
    if (!m_router.m_registry.recordCompletion(*runner, observation, now))
        return;
    telemetry::logWarning("runner-suspended",
        { { "runner", attempt->runner }, { "request", m_start.facts.attemptId },
            { "losses", runner->consecutiveConnectionFailures }, { "failure_rate", runner->failureRate() },
            { "for_ms", toMilliseconds(runner->suspendedUntil - now) } });
}

void Session::fail(AttemptFailure failure, Observation observation, std::string_view detail)
{
    const auto now = m_router.now();
    const auto runner = m_attempt->runner;
    const auto elapsed = now - m_attempt->sentAt;
    endAttempt(observation, now);
    if (observation == Observation::ConnectionLost)
        m_router.examine(runner, m_start.digest);
    const auto step = m_plan.fail(failure, m_hasBegun, now, budget(now));
    m_router.m_metrics.countAttemptFailure(std::string(dispatch::nameOf(failure)));
    telemetry::logInfo("attempt-failed",
        { { "request", m_start.facts.attemptId }, { "runner", runner }, { "failure", dispatch::nameOf(failure) },
            { "detail", detail }, { "after_ms", toMilliseconds(elapsed) }, { "attempt", m_plan.attempts() },
            { "last_event", m_lastEvent }, { "next", dispatch::nameOf(step) } });
    follow(step, detail);
}

void Session::follow(RelayStep step, std::string_view detail)
{
    switch (step) {
    case RelayStep::SendAgain:
    case RelayStep::SendRest:
        m_excluded.push_back(m_lastRunner);
        send();
        if (!m_isFinished)
            armTimer();
        return;
    case RelayStep::RefuseNotRun:
        answerNotRun(detail);
        return;
    case RelayStep::FailUnknown:
        answerUnknown(m_router.now() >= m_start.deadline ? status::gatewayTimeout : status::badGateway, detail);
        return;
    case RelayStep::Abort:
        m_responder->abort();
        finish("cut", 0, detail);
        return;
    }
}

dispatch::RelayPlan::Budget Session::budget(TimePoint now)
{
    return [this, now] { return m_router.budgetOf(m_start.service, now).tryTake(now); };
}

std::optional<TimePoint> Session::patienceEnd() const
{
    if (!m_attempt || m_attempt->isBlamed)
        return std::nullopt;
    if (m_hasBegun)
        return m_attempt->progressAt + m_router.m_options.streamIdleTimeout;
    const auto patience = toSeconds(m_start.route->latencyObjective) * m_router.m_options.attemptTimeoutFactor;
    const auto allowed = toSeconds(m_start.deadline - m_start.arrivedAt);
    return m_attempt->sentAt + fromSeconds(std::min(patience, allowed * m_router.m_options.attemptTimeoutShare));
}

void Session::armTimer()
{
    const auto now = m_router.now();
    auto at = m_start.deadline;
    const auto patience = patienceEnd();
    if (patience && *patience > now)
        at = std::min(at, *patience);
    m_timer.expires_after(std::max<Duration>(at - now, Duration::zero()));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->onTimer();
    });
}

bool Session::isDueElsewhere(TimePoint now) const
{
    const auto patience = patienceEnd();
    return patience && now >= *patience && m_start.deadline - now >= leastTimeForAttempt;
}

void Session::onTimer()
{
    const auto now = m_router.now();
    if (now >= m_start.deadline) {
        const bool wasSent = m_attempt != nullptr || m_plan.mayHaveRun();
        if (m_attempt) {
            upstream::ConnectionPool::cancel(m_attempt->handle);
            endAttempt(m_hasBegun ? Observation::None : Observation::Silent, now);
        }
        if (m_hasBegun)
            follow(RelayStep::Abort, "the time is over");
        else if (wasSent)
            answerUnknown(status::gatewayTimeout, "the time is over");
        else
            answerNotRun("the time is over");
        return;
    }
    if (isDueElsewhere(now) && m_plan.tryLeave(m_hasBegun, now, budget(now))) {
        const auto runner = m_attempt->runner;
        upstream::ConnectionPool::cancel(m_attempt->handle);
        endAttempt(Observation::Silent, now);
        telemetry::logInfo("attempt-left",
            { { "request", m_start.facts.attemptId }, { "runner", runner }, { "last_event", m_lastEvent } });
        follow(m_hasBegun ? RelayStep::SendRest : RelayStep::SendAgain, "the runner is silent");
        return;
    }
    if (isDueElsewhere(now))
        blame(now);
    armTimer();
}

void Session::onRunnerDead()
{
    if (m_isFinished || !m_attempt)
        return;
    upstream::ConnectionPool::cancel(m_attempt->handle);
    fail(AttemptFailure::Broken, Observation::None, "the runner cannot be reached");
}

void Session::blame(TimePoint now)
{
    // A request that may not run elsewhere waits on, but others should not meet the same silence.
    m_attempt->isBlamed = true;
    auto* runner = m_router.m_registry.find(m_attempt->runner);
    if (!runner)
        return;
    const bool isSuspended = m_router.m_registry.recordObservation(*runner, Observation::Silent, now);
    telemetry::logInfo("runner-silent",
        { { "request", m_start.facts.attemptId }, { "runner", m_attempt->runner },
            { "silence_ms", toMilliseconds(now - m_attempt->progressAt) }, { "failure_rate", runner->failureRate() },
            { "suspended", isSuspended } });
}

void Session::onCallerGone()
{
    if (m_isFinished)
        return;
    if (m_attempt) {
        const auto now = m_router.now();
        if (isDueElsewhere(now))
            blame(now);
        upstream::ConnectionPool::cancel(m_attempt->handle);
        endAttempt(Observation::None, now);
    }
    finish("caller-left", 0, {});
}

}
