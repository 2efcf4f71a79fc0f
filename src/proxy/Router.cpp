#include "proxy/Router.h"

#include "proxy/Status.h"

#include "common/Hash.h"
#include "proxy/Session.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Mean time after which a caller is asked to come back while this daemon knows too little.
    constexpr Duration retryAfterNotReady = std::chrono::milliseconds(500);
    /// Time after which a caller is asked to come back, to another daemon, while this one stops.
    constexpr Duration retryAfterStopping = std::chrono::milliseconds(50);
    /// Time after which a request that crashes runners may be tried again.
    constexpr Duration retryAfterQuarantine = std::chrono::minutes(10);
    /// Longest that a stream is expected to take: the users' longest has 223 events of about 20 ms, behind a prompt.
    constexpr Duration expectedStreamTime = std::chrono::milliseconds(4700);
    constexpr Duration expectedRequestTime = std::chrono::milliseconds(1500);
    constexpr double tenths = 10.0;
    /// Fewer served requests than this say too little of a runner to be told, in tenths.
    constexpr std::uint32_t leastServedTenths = 10;

    dispatch::RequestDigest digestOf(const gateway::HttpRequest& request, const RequestMetadata& facts)
    {
        return hash64(request.body, hash64(request.target, hash64(facts.host, hash64(facts.credential))));
    }

    Duration timeAllowed(const routing::Route& route, const RequestMetadata& facts)
    {
        return std::min(route.timeout, facts.callerTimeout.value_or(route.timeout));
    }

}

Router::Router(asio::io_context& context, const RouterOptions& options, const Codec& codec, telemetry::Metrics& metrics,
    Clock clock)
    : m_context(context)
    , m_options(options)
    , m_codec(codec)
    , m_metrics(metrics)
    , m_clock(std::move(clock))
    , m_random(std::random_device {}())
    , m_registry(options.registry)
    , m_overload(m_registry)
    , m_prompts(options.promptIndexCapacity)
    , m_plainLines(options.routineLinesPerSecond)
    , m_startedAt(m_clock())
{
}

void Router::handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder)
{
    const auto now = m_clock();
    auto facts = m_codec.decodeRequest(request);
    if (!facts) {
        telemetry::logInfo("request-refused", { { "reason", "malformed" }, { "detail", facts.error().what } });
        refuse(*responder, {}, { status::badRequest, "malformed-request", {} });
        return;
    }
    const auto digest = digestOf(request, *facts);
    auto admission = admit(request, *facts, now);
    if (!admission.refusal && m_crashes.isQuarantined(digest))
        admission.refusal = Refusal { status::unavailable, "crashes-runners", retryAfterQuarantine };
    std::string service;
    if (!admission.refusal) {
        service = routing::chooseDestination(*admission.route, draw());
        admission.refusal = refuseUnderOverload(*facts, admission, service, now);
    }
    if (admission.refusal) {
        telemetry::logInfo("request-refused",
            { { "request", facts->attemptId }, { "reason", admission.refusal->reason },
                { "status", static_cast<int>(admission.refusal->status) },
                { "revision", m_routes ? m_routes->revision() : 0 },
                { "proof_age_ms", m_provenAt ? toMilliseconds(now - *m_provenAt) : -1.0 } });
        m_metrics.countOutcome(admission.refusal->reason);
        refuse(*responder, *facts, *admission.refusal);
        return;
    }
    Session::Start start;
    start.route = admission.route;
    start.service = std::move(service);
    start.routes = m_routes;
    start.organisation = std::move(admission.organisation);
    start.arrivedAt = now;
    start.deadline = now + timeAllowed(*start.route, *facts);
    start.request = std::move(request);
    start.facts = std::move(*facts);
    start.digest = digest;
    start.priority = admission.priority;
    budgetOf(start.service, now).recordFirst(now);
    std::make_shared<Session>(*this, std::move(start), responder)->run();
}

Router::Admission Router::admit(const gateway::HttpRequest& request, const RequestMetadata& facts, TimePoint now) const
{
    Admission result;
    if (!m_routes) {
        result.refusal = Refusal { status::unavailable, "not-configured", retryAfterNotReady };
        return result;
    }
    result.route = m_routes->findRoute(routing::hostName(facts.host), request.path());
    if (!result.route) {
        result.refusal = Refusal { status::notFound, "unknown-route", {} };
        return result;
    }
    result.priority = result.route->priority;
    result.refusal = refuseWhileStopping(*result.route, now);
    if (result.refusal || result.route->isPublic || !m_routes->hasOrganisations())
        return result;
    // Credentials may have been withdrawn since this daemon last knew the configuration to be current.
    if (!isCredentialLeaseValid(now)) {
        result.refusal = Refusal { status::unavailable, "credentials-not-verifiable", retryAfterNotReady };
        return result;
    }
    const auto* organisation = m_routes->findOrganisation(facts.credential);
    if (!organisation) {
        result.refusal = Refusal { status::unauthorized, "unknown-credential", {} };
        return result;
    }
    result.organisation = organisation->name;
    result.priority = organisation->priority.value_or(result.priority);
    return result;
}

std::optional<Router::Refusal> Router::refuseWhileStopping(const routing::Route& route, TimePoint now) const
{
    if (!m_stopBy)
        return std::nullopt;
    const auto expected = route.kind == routing::RequestKind::Stream ? expectedStreamTime
                                                                     : std::min(route.timeout, expectedRequestTime);
    if (now + expected < *m_stopBy)
        return std::nullopt;
    return Refusal { status::unavailable, "stopping", retryAfterStopping };
}

std::optional<Router::Refusal> Router::refuseUnderOverload(
    const RequestMetadata& facts, const Admission& admission, const std::string& service, TimePoint now)
{
    admission::AdmissionRequest offer;
    offer.organisation = admission.organisation;
    offer.route = admission.route->name;
    offer.priority = admission.priority;
    offer.latencyObjective = admission.route->latencyObjective;
    offer.timeLeft = timeAllowed(*admission.route, facts);
    offer.admissionDraw = unitDraw();
    offer.retryDraw = unitDraw();
    if (const auto retryAfter = m_overload.refuse(service, facts.attemptId, offer, now))
        return Refusal { status::unavailable, "overloaded", *retryAfter };
    return std::nullopt;
}

void Router::examine(const std::string& id, dispatch::RequestDigest request)
{
    const auto* runner = m_registry.find(id);
    if (!runner)
        return;
    poolOf(*runner).probe([this, id, request, begunAt = m_clock()](ProbeResult result) {
        auto* suspect = m_registry.find(id);
        if (!suspect || !provesDeath(result, begunAt))
            return;
        const auto time = m_clock();
        m_registry.recordObservation(*suspect, runners::Observation::CannotConnect, time);
        m_crashes.recordCrash(request, suspect->identity, time);
        telemetry::logWarning("runner-dead",
            { { "runner", id }, { "suspect", toHex(request) }, { "quarantined", m_crashes.isQuarantined(request) } });
    });
}

std::vector<fleet::RunnerState> Router::runnerStates(TimePoint now) const
{
    std::vector<fleet::RunnerState> result;
    for (const auto& [id, runner] : m_registry.runners()) {
        fleet::RunnerState state;
        state.runner = static_cast<fleet::RunnerKey>(runner->identity);
        state.inFlight = runner->ownLoad;
        const auto [served, failed] = m_registry.recentCounts(*runner, now);
        state.servedTenths = static_cast<std::uint32_t>(served * tenths);
        state.failedTenths = static_cast<std::uint32_t>(failed * tenths);
        if (now < runner->suspendedUntil)
            state.suspendedMs = static_cast<std::uint32_t>(toMilliseconds(runner->suspendedUntil - now));
        const bool isWorthTelling = state.inFlight > 0 || state.suspendedMs > 0 || state.failedTenths > 0
            || state.servedTenths >= leastServedTenths;
        if (isWorthTelling)
            result.push_back(state);
    }
    return result;
}

void Router::setPeerSummaries(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries)
{
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto found = summaries.find(static_cast<fleet::RunnerKey>(runner->identity));
        const auto summary = found == summaries.end() ? fleet::RunnerSummary {} : found->second;
        m_registry.setPeerSummary(*runner, { summary.inFlight, summary.served, summary.failed, summary.suspendedBy });
    }
}

void Router::learnCrashes(std::span<const dispatch::CrashRecord> records)
{
    const auto time = m_clock();
    for (const auto& record : records)
        m_crashes.learn(record, time);
}

void Router::refuse(gateway::Responder& responder, const RequestMetadata& facts, const Refusal& refusal)
{
    gateway::HttpResponse response;
    response.status = refusal.status;
    response.headers = m_codec.encodeRefusal(facts.attemptId, refusal.retryAfter);
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(refusal.reason) + "\n";
    responder.respond(response);
}

Duration Router::jitter(Duration mean)
{
    // Returns are spread over half to three halves of the mean.
    return fromSeconds(toSeconds(mean) * (0.5 + unitDraw()));
}

upstream::ConnectionPool& Router::poolOf(const runners::Runner& runner)
{
    auto& pool = m_pools[runner.entry.id];
    if (!pool)
        pool = std::make_unique<upstream::ConnectionPool>(
            m_context, runner.entry.ip, runner.entry.port, m_clock, m_options.connections);
    return *pool;
}

dispatch::WindowedRetryBudget& Router::budgetOf(const std::string& service, TimePoint now)
{
    return m_budgets.try_emplace(service, m_options.retryBudget, std::min(now, m_startedAt)).first->second;
}

void Router::setOptions(const RouterOptions& options)
{
    m_options = options;
    for (auto& [service, budget] : m_budgets)
        budget.setOptions(options.retryBudget);
}

void Router::setRunners(std::span<const runners::RunnerEntry> entries)
{
    m_registry.apply(entries, m_clock(), [this](const std::string& id) {
        const auto pool = m_pools.find(id);
        if (pool == m_pools.end())
            return;
        m_pastConnections[m_registry.find(id)->entry.service] += pool->second->opened();
        m_pools.erase(pool);
    });
}

void Router::confirmConfiguration(TimePoint provenAt)
{
    if (!m_provenAt || provenAt > *m_provenAt)
        m_provenAt = provenAt;
}

bool Router::isCredentialLeaseValid(TimePoint now) const
{
    return m_provenAt && now - *m_provenAt < m_options.credentialLease;
}

void Router::sweep(TimePoint now)
{
    m_crashes.tick(now);
    m_overload.sweep(now);
    if (const auto skipped = m_plainLines.takeSkipped())
        telemetry::logInfo("lines-skipped", { { "plain_requests", skipped } });
    for (auto& [id, pool] : m_pools)
        pool->sweep(now);
}

void Router::probeSilentRunners()
{
    for (auto* silent : m_registry.silentRunners()) {
        silent->isBeingProbed = true;
        const auto begunAt = m_clock();
        const auto silence = begunAt - silent->lastActivityAt;
        poolOf(*silent).probe([this, id = silent->entry.id, begunAt, silence](ProbeResult result) {
            auto* runner = m_registry.find(id);
            if (!runner)
                return;
            runner->isBeingProbed = false;
            const bool isDead = runner->lastActivityAt < begunAt && provesDeath(result, begunAt);
            telemetry::logInfo("silent-runner-probed",
                { { "runner", id }, { "reachable", result == ProbeResult::Accepted }, { "dead", isDead },
                    { "silence_ms", toMilliseconds(silence) }, { "requests", runner->ownLoad } });
            runner->lastActivityAt = std::max(runner->lastActivityAt, begunAt);
            if (!isDead)
                return;
            m_registry.recordObservation(*runner, runners::Observation::CannotConnect, m_clock());
            abandon(id);
        });
    }
}

bool Router::provesDeath(ProbeResult result, TimePoint begunAt) const
{
    // Silence proves nothing if no runner was heard meanwhile: then the link of this host may be held up.
    return result == ProbeResult::Refused || (result == ProbeResult::NoAnswer && m_registry.lastReceivedAt() > begunAt);
}

void Router::abandon(const std::string& runner)
{
    std::vector<std::shared_ptr<Session>> waiting;
    for (auto* session : m_sessions) {
        if (session->isWaitingFor(runner))
            waiting.push_back(session->shared_from_this());
    }
    for (const auto& session : waiting)
        session->onRunnerDead();
}

void Router::updateMetrics(TimePoint now)
{
    m_metrics.setGauge("eelgrassford_relayed_requests", static_cast<double>(m_sessions.size()));
    std::map<std::string, std::map<std::string, double>> states;
    auto connections = m_pastConnections;
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto& service = runner->entry.service;
        auto& counts = states[service];
        const bool isSuspended = now < runner->suspendedUntil;
        for (const auto& [state, isIn] : { std::pair { "leaving", runner->entry.isLeaving },
                 { "suspended", !runner->entry.isLeaving && isSuspended },
                 { "usable", !runner->entry.isLeaving && !isSuspended } })
            counts[state] += isIn ? 1.0 : 0.0;
        const auto pool = m_pools.find(id);
        connections[service] += pool == m_pools.end() ? 0 : pool->second->opened();
    }
    for (const auto& [service, counts] : states) {
        for (const auto& [state, count] : counts)
            m_metrics.setGauge("eelgrassford_runners", count, { { "service", service }, { "state", state } });
    }
    for (const auto& [service, count] : connections)
        m_metrics.setTotal(
            "eelgrassford_runner_connections_total", static_cast<double>(count), { { "service", service } });
    m_overload.updateMetrics(m_metrics, now);
    for (auto& [service, budget] : m_budgets)
        m_metrics.setGauge("eelgrassford_retries_left", budget.remaining(now), { { "service", service } });
}

void Router::onProcessResumed(TimePoint now)
{
    telemetry::logWarning("process-resumed", { { "uptime_s", toSeconds(now - m_startedAt) } });
    for (auto& [id, pool] : m_pools)
        pool->closeIdle();
}

}
