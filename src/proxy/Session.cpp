#include "proxy/Session.h"

#include "common/Buffer.h"
#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

using dispatch::AttemptFailure;
using dispatch::RelayStep;
using runners::Observation;

namespace {

    /// Largest body, in bytes, of a response that is not relayed as a stream.
    constexpr std::size_t responseBodyLimit = 16u << 20;
    /// Tokens of a cached prefix from which fetching it from another runner costs less than recomputing it.
    constexpr std::uint32_t minTokensToFetch = 1024;

    /// Largest part of the latency objective for which a request waits until a runner may take it.
    constexpr double maxWaitShare = 0.125;

    std::string_view contentTypeOf(const http::MessageHead& head) { return head.header("Content-Type").value_or(""); }

    bool isSuccess(std::uint16_t status) { return status / 100 == 2; }

    /// Whether callers take a status to mean that the request was not run.
    bool isNotRunStatus(std::uint16_t status)
    {
        return status == status::requestTimeout || status == status::misdirected || status == status::tooManyRequests
            || status == status::unavailable;
    }

    dispatch::RelayPlan::Options planOptions(const Session::AdmittedRequest& admitted)
    {
        dispatch::RelayPlan::Options options;
        options.isRepeatable = admitted.route->isRepeatable();
        options.isResumable = admitted.route->isResumable;
        options.maxAttempts = admitted.route->maxAttempts;
        options.deadline = admitted.deadline;
        return options;
    }

}

Session::Session(Router& router, AdmittedRequest admitted, std::shared_ptr<gateway::Responder> responder)
    : m_router(router)
    , m_inFlight(router.m_inFlight)
    , m_admitted(std::move(admitted))
    , m_responder(std::move(responder))
    , m_plan(planOptions(m_admitted))
    , m_affinity(affinityOf(m_admitted.metadata.model, m_admitted.metadata.prompt))
    , m_timer(router.m_context)
    , m_lastEvent(m_admitted.metadata.lastEvent.value_or(0))
{
    m_inFlight->sessions.insert(this);
}

Session::~Session() { m_inFlight->sessions.erase(this); }

void Session::start()
{
    m_responder->onCallerDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    if (m_router.isPathLost() && m_router.isDaemon(m_admitted.request.remoteIp)) {
        execute(RelayStep::RefuseNotRun, "this daemon is cut off from all runners");
        return;
    }
    if (m_router.isPathLost() && tryPassOn()) {
        armTimer();
        return;
    }
    if (m_admitted.route->kind == routing::RequestKind::Stream && m_admitted.metadata.isContinuation)
        continueStream();
    else
        send();
    if (!m_isFinished)
        armTimer();
}

void Session::send()
{
    const auto now = m_router.now();
    // An earlier attempt may have been the crash by which a part of the prompt was found out.
    if (m_plan.attempts() > 0 && m_router.m_crashes.findQuarantined(m_admitted.suspects, now)) {
        execute(m_hasResponseStarted  ? RelayStep::Abort
                : m_plan.mayHaveRun() ? RelayStep::FailUnknown
                                      : RelayStep::RefuseNotRun,
            "it crashes runners");
        return;
    }
    runners::PlacementRequest request;
    request.service = m_admitted.service;
    request.affinityKey = m_affinity.prefixHash;
    request.previousRunner = m_router.m_promptIndex.lastRunner(m_affinity.promptHash);
    request.dataCentre = m_router.m_options.dataCentre;
    request.excluded = m_excludedRunners;
    request.software = m_software;
    request.tieBreaker = m_router.draw();
    m_placement = m_router.m_placement.place(request, workRequest(), now);
    auto* runner = m_placement.runner;
    if (!runner) {
        onNoRunner(now);
        return;
    }
    m_lastTryAt.reset();
    beginAttempt(runner->entry.id, now);
    m_router.m_registry.recordDispatch(*runner, now);
    m_attempt->work = m_router.m_placement.begin(request, workRequest(), m_placement, now);
    m_lastVersion = runner->entry.version;
    if (m_router.m_registry.isSoftwareCertain(*runner, now))
        m_attempt->software = runner->software;
    startExchange(m_router.poolOf(*runner), encode(*runner, m_placement, now));
}

void Session::beginAttempt(const std::string& target, TimePoint now)
{
    m_plan.beginAttempt();
    m_lastRunner = target;
    m_attempt = std::make_unique<Attempt>(m_inFlight->bufferedResponseBytes);
    m_attempt->runner = target;
    m_attempt->sentAt = now;
    m_attempt->lastProgressAt = now;
}

void Session::startExchange(upstream::ConnectionPool& pool, std::string bytes)
{
    upstream::Exchange exchange;
    exchange.bytes = std::move(bytes);
    exchange.body = m_admitted.request.body;
    exchange.bodyOwner = shared_from_this();
    exchange.isBodyless = m_admitted.request.method == "HEAD";
    exchange.isAnswer = [&codec = m_router.m_codec, id = m_admitted.metadata.attemptId](const http::MessageHead& head) {
        const auto metadata = codec.decodeResponse(head);
        return !metadata.attemptId || *metadata.attemptId == id;
    };
    const auto self = shared_from_this();
    m_attempt->handle = pool.start(std::move(exchange),
        { [self](http::MessageHead& head) { self->onHead(head); },
            [self](std::string_view received) { self->onBytes(received); },
            [self](const upstream::ExchangeResult& result) { self->onEnded(result); } });
}

void Session::onNoRunner(TimePoint now)
{
    if (tryWaitForRunner(now))
        return;
    if (m_hasResponseStarted)
        execute(RelayStep::Abort, "no runner is left");
    else if (m_plan.mayHaveRun())
        execute(RelayStep::FailUnknown, "no runner is left");
    else if (m_placement.awaited == runners::Exclusion::Paused)
        execute(RelayStep::RefuseNotRun, "all runners ask for a pause");
    else if (m_placement.awaited == runners::Exclusion::Cold)
        execute(RelayStep::RefuseNotRun, "all runners are cold");
    else if (m_placement.availableAt)
        execute(RelayStep::RefuseNotRun, "the rate limits of all runners are used up");
    else if (m_software)
        execute(RelayStep::RefuseNotRun, "no runner of the software that began the stream is usable");
    else
        execute(RelayStep::RefuseNotRun, "no runner is usable");
}

bool Session::tryWaitForRunner(TimePoint now)
{
    if (!m_placement.availableAt)
        return false;
    if (!m_lastTryAt)
        m_lastTryAt = now + fromSeconds(toSeconds(m_admitted.route->latencyObjective) * maxWaitShare);
    if (*m_placement.availableAt > *m_lastTryAt || now >= *m_lastTryAt)
        return false;
    m_nextTryAt = m_placement.availableAt;
    return true;
}

std::string Session::encode(const runners::Runner& runner, const runners::Placement& placement, TimePoint now) const
{
    ForwardMetadata metadata;
    metadata.organisation = m_admitted.organisation;
    metadata.runner = runner.entry.id;
    metadata.priority = m_admitted.priority;
    metadata.timeLeft = m_admitted.deadline - now;
    if (m_lastEvent > 0)
        metadata.lastEvent = m_lastEvent;
    if (placement.prefixSource && m_affinity.prefixTokens >= minTokensToFetch)
        metadata.fetchPromptFrom
            = placement.prefixSource->entry.ip + ":" + std::to_string(placement.prefixSource->entry.port);
    return encode(m_router.m_codec.encodeRequest(m_admitted.request.headers, metadata));
}

std::string Session::encode(const gateway::Headers& headers) const
{
    const auto& request = m_admitted.request;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    return text;
}

void Session::onHead(http::MessageHead& head)
{
    auto& attempt = *m_attempt;
    attempt.metadata = m_router.m_codec.decodeResponse(head);
    attempt.head = head;
    attempt.hasHead = true;
    attempt.lastProgressAt = m_router.now();
    // Runners repeat the id of a request. A response without it may be a late copy of one to an earlier request.
    if (!attempt.metadata.attemptId) {
        failMalformed("the response does not name its request");
        return;
    }
    auto* runner = m_router.m_registry.find(attempt.runner);
    if (runner)
        m_router.m_registry.recordReceived(*runner, attempt.lastProgressAt);
    if (runner && attempt.metadata.load) {
        m_router.m_registry.recordReportedLoad(*runner, *attempt.metadata.load, attempt.lastProgressAt);
        m_router.m_placement.recordReport(*runner, *attempt.metadata.load, attempt.lastProgressAt);
    }
    if (runner && !attempt.metadata.isMisdirected)
        recordStatements(*runner);
    attempt.isStreaming = isStream(head, attempt.metadata);
}

bool Session::isStream(const http::MessageHead& head, const ResponseMetadata& metadata) const
{
    if (m_admitted.route->kind != routing::RequestKind::Stream || !isSuccess(head.status) || !metadata.hasDigest
        || metadata.isEncoded || metadata.hasNotRun)
        return false;
    return !m_hasResponseStarted || (head.status == m_responseStatus && contentTypeOf(head) == m_responseType);
}

void Session::startResponse()
{
    const auto& head = m_attempt->head;
    m_hasResponseStarted = true;
    m_responseStatus = head.status;
    m_responseType = contentTypeOf(head);
    m_responder->begin(head.status, m_router.m_codec.encodeResponse(head.headers));
}

void Session::onBytes(std::string_view bytes)
{
    auto& attempt = *m_attempt;
    if (auto* runner = m_router.m_registry.find(attempt.runner))
        m_router.m_registry.recordReceived(*runner, m_router.now());
    if (attempt.isStreaming) {
        attempt.events.feed(bytes);
        if (!relayEvents())
            failMalformed("the stream holds something other than events");
        else if (attempt.events.isTooLarge())
            failMalformed("an event of the stream is too large");
        else
            m_responder->holdBytes(attempt.events.bufferedBytes());
    } else if (hasRoomFor(bytes.size())) {
        appendSteadily(attempt.body, bytes);
        attempt.bufferedBytes += bytes.size();
        m_responder->holdBytes(attempt.body.capacity());
    } else {
        failMalformed("the response is too large");
    }
}

void Session::failMalformed(std::string_view detail)
{
    upstream::ConnectionPool::cancel(m_attempt->handle);
    fail(AttemptFailure::Broken, Observation::Failed, detail);
}

bool Session::hasRoomFor(std::size_t bytes) const
{
    return m_attempt->body.size() + bytes <= responseBodyLimit
        && m_inFlight->bufferedResponseBytes + bytes <= m_router.m_options.responseBufferLimit;
}

std::vector<dispatch::CrashSuspect> Session::crashSuspects() const
{
    auto result = m_admitted.suspects;
    if (m_attempt->hasBegunAnswer())
        result.resize(1);
    return result;
}

void Session::onEnded(const upstream::ExchangeResult& result)
{
    if (m_isFinished || !m_attempt)
        return;
    const auto now = m_router.now();
    auto& attempt = *m_attempt;
    if (attempt.hasHead && attempt.metadata.hasNotRun) {
        const auto observation = attempt.metadata.isMisdirected ? Observation::Replaced : Observation::Declined;
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
    // The other daemon has decided on attempts and refusals.
    if (attempt.isPassedOn && status == status::unavailable && attempt.body == Router::noRunnerBody) {
        m_router.recordUnservingDaemon(attempt.runner, now);
        fail(AttemptFailure::NeverConnected, Observation::None, "the other daemon reaches no runner either");
        return;
    }
    if (attempt.isPassedOn && !isSuccess(status)) {
        relayWhole();
        return;
    }
    if (isSuccess(status) && (!attempt.metadata.hasDigest || attempt.metadata.isEncoded)) {
        fail(AttemptFailure::Broken, Observation::Failed, "the response is not the runner's own");
        return;
    }
    if (status >= status::serverError && tryAbandonAttempt(Observation::Failed, "the runner failed it", now))
        return;
    if (m_hasResponseStarted) {
        fail(AttemptFailure::Broken, Observation::Failed, "the stream was not resumed");
        return;
    }
    // Callers would take such a status to mean that the request was not run, which the runner did not state.
    if (isNotRunStatus(status)) {
        fail(AttemptFailure::Broken, Observation::Failed, "the runner refused it without saying that it did not run");
        return;
    }
    relayWhole();
}

void Session::relayWhole()
{
    const auto now = m_router.now();
    auto& attempt = *m_attempt;
    gateway::HttpResponse response;
    response.status = attempt.head.status;
    response.headers = m_router.m_codec.encodeResponse(attempt.head.headers);
    response.body = attempt.takeBody();
    recordFirstByte(now);
    const auto status = attempt.head.status;
    endAttempt(status >= status::serverError ? Observation::Failed : Observation::Served, now);
    m_responder->respond(response);
    finish(isSuccess(status) ? "answered" : "failed-by-runner", status, {});
}

void Session::recordFirstByte(TimePoint now)
{
    m_firstByteAt = now;
    const bool isLate = now - m_admitted.arrivedAt > m_admitted.route->latencyObjective;
    m_router.m_overload.recordFirstByte(m_admitted.service, isLate, now);
}

void Session::endAttempt(Observation observation, TimePoint now)
{
    if (!m_attempt)
        return;
    const auto attempt = std::move(m_attempt);
    m_router.m_placement.end(attempt->work, workRequest(), observation, now);
    if (!attempt->body.empty())
        m_responder->holdBytes(0);
    if (observation == Observation::Served)
        m_router.m_overload.recordServiceTime(m_admitted.service, m_admitted.route->name, now - attempt->sentAt, now);
    auto* runner = m_router.m_registry.find(attempt->runner);
    if (!runner)
        return;
    if (!m_router.m_registry.recordCompletion(*runner, observation, now))
        return;
    telemetry::logWarning("runner-suspended",
        { { "runner", attempt->runner }, { "request", m_admitted.metadata.attemptId },
            { "losses", runner->consecutiveConnectionFailures }, { "failure_rate", runner->failureRate() },
            { "for_ms", toMilliseconds(runner->suspendedUntil - now) } });
}

void Session::fail(AttemptFailure failure, Observation observation, std::string_view detail)
{
    const auto now = m_router.now();
    const auto runner = m_attempt->runner;
    const auto elapsed = now - m_attempt->sentAt;
    auto suspects = crashSuspects();
    const bool wasPassedOn = m_attempt->isPassedOn;
    m_hasFailedToConnect |= failure == AttemptFailure::NeverConnected;
    endAttempt(observation, now);
    if (observation == Observation::ConnectionLost && !wasPassedOn)
        m_router.probeAfterConnectionLoss(runner, std::move(suspects));
    auto step = m_plan.fail(failure, m_hasResponseStarted, now, retryBudget(now));
    // Only the other daemon knows which software began the stream.
    if (wasPassedOn && m_hasResponseStarted)
        step = RelayStep::Abort;
    m_router.m_metrics.countAttemptFailure(std::string(dispatch::nameOf(failure)));
    telemetry::logInfo("attempt-failed",
        { { "request", m_admitted.metadata.attemptId }, { "runner", runner }, { "failure", dispatch::nameOf(failure) },
            { "detail", detail }, { "after_ms", toMilliseconds(elapsed) }, { "attempt", m_plan.attempts() },
            { "last_event", m_lastEvent }, { "next", dispatch::nameOf(step) } });
    execute(step, detail);
}

void Session::execute(RelayStep step, std::string_view detail)
{
    switch (step) {
    case RelayStep::SendAgain:
    case RelayStep::SendRest:
        m_excludedRunners.push_back(m_lastRunner);
        if (!m_router.isPathLost() || !tryPassOn())
            send();
        if (!m_isFinished)
            armTimer();
        return;
    case RelayStep::RefuseNotRun:
        if (m_hasFailedToConnect && m_router.now() < m_admitted.deadline && tryPassOn()) {
            armTimer();
            return;
        }
        answerNotRun(detail);
        return;
    case RelayStep::FailUnknown:
        answerOutcomeUnknown(
            m_router.now() >= m_admitted.deadline ? status::gatewayTimeout : status::badGateway, detail);
        return;
    case RelayStep::Abort:
        m_responder->abort();
        finish("cut", 0, detail);
        return;
    }
}

dispatch::RelayPlan::Budget Session::retryBudget(TimePoint now)
{
    return [this, now] { return m_router.budgetOf(m_admitted.service, now).tryTake(now); };
}

void Session::recall(std::string_view detail)
{
    if (m_isFinished || !m_attempt || !upstream::ConnectionPool::tryRecall(m_attempt->handle))
        return;
    fail(AttemptFailure::NeverConnected, Observation::None, detail);
}

void Session::onCallerDisconnected()
{
    if (m_isFinished)
        return;
    if (m_attempt) {
        const auto now = m_router.now();
        if (shouldTryElsewhere(now))
            reportSilence(now);
        upstream::ConnectionPool::cancel(m_attempt->handle);
        endAttempt(Observation::None, now);
    }
    finish("caller-left", 0, {});
}

}
