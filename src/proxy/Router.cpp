#include "proxy/Router.h"

#include "common/Hash.h"
#include "proxy/Session.h"
#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Retry-After of a refusal because the configuration is missing or its freshness proof is too old.
    constexpr Duration retryAfterNotReady = std::chrono::milliseconds(500);
    /// Retry-After while this daemon stops; short, since the caller may go to another daemon.
    constexpr Duration retryAfterStopping = std::chrono::milliseconds(50);
    /// Retry-After of a request that crashes runners, after which it may be tried again.
    constexpr Duration retryAfterQuarantine = std::chrono::minutes(10);
    constexpr double tenthsPerRequest = 10.0;
    /// Served requests, in tenths, from which an otherwise idle and healthy runner is reported to other daemons. Fewer
    /// say too little about it.
    constexpr std::uint32_t minServedTenths = 10;

    dispatch::RequestDigest digestOf(const gateway::HttpRequest& request, const RequestMetadata& metadata)
    {
        return hash64(request.body, hash64(request.target, hash64(metadata.host, hash64(metadata.credential))));
    }

    /// The request and the parts of its prompt that others may share, which may crash runners.
    std::vector<dispatch::CrashSuspect> suspectsOf(const gateway::HttpRequest& request, const RequestMetadata& metadata)
    {
        std::vector<dispatch::CrashSuspect> result { { digestOf(request, metadata) } };
        for (const auto part : sharedPartDigests(metadata.model, metadata.prompt))
            result.push_back({ part, static_cast<std::uint32_t>(result.size() - 1) });
        return result;
    }

    std::string joinHex(std::span<const dispatch::CrashSuspect> suspects)
    {
        std::string result;
        for (const auto& suspect : suspects)
            result.append(result.empty() ? "" : ",").append(toHex(suspect.digest));
        return result;
    }

    Duration effectiveTimeout(const routing::Route& route, const RequestMetadata& metadata)
    {
        return std::min(route.timeout, metadata.callerTimeout.value_or(route.timeout));
    }

}

Duration streamIdleTimeout(const routing::Route& route, const RouterOptions& options)
{
    const auto allowed = fromSeconds(toSeconds(route.eventGapObjective) * options.streamIdleFactor);
    return std::max(options.streamIdleTimeout, allowed);
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
    , m_placement(m_registry, options.placement)
    , m_promptIndex(options.promptIndexCapacity)
    , m_versionHistory(options.versionHistory)
    , m_originPolicy(m_versionHistory)
    , m_streamOrigins(options.streamOrigins)
    , m_cacheQueries(
          context, codec, m_registry,
          m_versionHistory, [this](const runners::Runner& runner) -> auto& { return poolOf(runner); }, m_clock)
    , m_routineLines(options.routineLinesPerSecond)
    , m_startedAt(m_clock())
{
}

void Router::handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder)
{
    const auto now = m_clock();
    auto metadata = m_codec.decodeRequest(request);
    if (!metadata) {
        telemetry::logInfo("request-refused", { { "reason", "malformed" }, { "detail", metadata.error().what } });
        refuse(*responder, {}, { status::badRequest, "malformed-request", {} });
        return;
    }
    auto suspects = suspectsOf(request, *metadata);
    auto admission = admit(request, *metadata, now);
    const auto quarantined = m_crashes.findQuarantined(suspects, now);
    if (!admission.refusal && quarantined)
        admission.refusal = Refusal { status::unavailable, "crashes-runners", retryAfterQuarantine };
    std::string service;
    if (!admission.refusal) {
        service = routing::chooseDestination(*admission.route, draw());
        admission.refusal = refuseIfOverloaded(*metadata, admission, service, suspects.front().digest, now);
    }
    if (admission.refusal) {
        telemetry::logInfo("request-refused",
            { { "request", metadata->attemptId }, { "reason", admission.refusal->reason },
                { "status", static_cast<int>(admission.refusal->status) },
                { "revision", m_routes ? m_routes->revision() : 0 },
                { "proof_age_ms", m_confirmedAt ? toMilliseconds(now - *m_confirmedAt) : -1.0 },
                { "suspect", quarantined ? toHex(quarantined->digest) : "" } });
        m_metrics.countOutcome(admission.refusal->reason);
        refuse(*responder, *metadata, *admission.refusal);
        return;
    }
    Session::AdmittedRequest admitted;
    admitted.route = admission.route;
    admitted.service = std::move(service);
    admitted.routes = m_routes;
    admitted.organisation = std::move(admission.organisation);
    admitted.arrivedAt = now;
    admitted.deadline = now + effectiveTimeout(*admitted.route, *metadata);
    admitted.request = std::move(request);
    admitted.metadata = std::move(*metadata);
    admitted.suspects = std::move(suspects);
    admitted.priority = admission.priority;
    budgetOf(admitted.service, now).recordFirstAttempt(now);
    std::make_shared<Session>(*this, std::move(admitted), responder)->start();
}

Router::Admission Router::admit(
    const gateway::HttpRequest& request, const RequestMetadata& metadata, TimePoint now) const
{
    Admission result;
    if (!m_routes) {
        result.refusal = Refusal { status::unavailable, "not-configured", retryAfterNotReady };
        return result;
    }
    result.route = m_routes->findRoute(routing::hostName(metadata.host), request.path());
    if (!result.route) {
        result.refusal = Refusal { status::notFound, "unknown-route", {} };
        return result;
    }
    result.priority = result.route->priority;
    if (m_stop && !m_stop->mayAccept(*result.route, effectiveTimeout(*result.route, metadata), now))
        result.refusal = Refusal { status::unavailable, "stopping", retryAfterStopping };
    if (result.refusal || result.route->isPublic || !m_routes->requiresCredentials())
        return result;
    // Credentials may have been revoked since the configuration was last confirmed to be current.
    if (!isCredentialLeaseValid(now)) {
        result.refusal = Refusal { status::unavailable, "credentials-not-verifiable", retryAfterNotReady };
        return result;
    }
    const auto* organisation = m_routes->findOrganisation(metadata.credential);
    if (!organisation) {
        result.refusal = Refusal { status::unauthorized, "unknown-credential", {} };
        return result;
    }
    result.organisation = organisation->name;
    result.priority = organisation->priority.value_or(result.priority);
    return result;
}

std::optional<Router::Refusal> Router::refuseIfOverloaded(const RequestMetadata& metadata, const Admission& admission,
    const std::string& service, dispatch::RequestDigest digest, TimePoint now)
{
    admission::AdmissionRequest admissionRequest;
    admissionRequest.organisation = admission.organisation;
    admissionRequest.route = admission.route->name;
    admissionRequest.priority = admission.priority;
    admissionRequest.latencyObjective = admission.route->latencyObjective;
    admissionRequest.timeLeft = effectiveTimeout(*admission.route, metadata);
    admissionRequest.admissionDraw = unitDraw();
    admissionRequest.retryDraw = unitDraw();
    admissionRequest.hash = digest;
    m_overload.setWorkAware(service, m_placement.admitsByWork(service, now));
    if (const auto retryAfter = m_overload.refuseIfOverloaded(service, metadata.attemptId, admissionRequest, now))
        return Refusal { status::unavailable, "overloaded", *retryAfter };
    return std::nullopt;
}

void Router::probeAfterConnectionLoss(const std::string& id, std::vector<dispatch::CrashSuspect> suspects)
{
    const auto* runner = m_registry.find(id);
    if (!runner)
        return;
    poolOf(*runner).probe([this, id, suspects = std::move(suspects), begunAt = m_clock()](ProbeResult result) {
        auto* dead = m_registry.find(id);
        if (!dead || !isUnreachable(result, begunAt))
            return;
        const auto time = m_clock();
        m_registry.recordObservation(*dead, runners::Observation::CannotConnect, time);
        m_crashes.recordCrash(suspects, dead->identity, time);
        const auto quarantined = m_crashes.findQuarantined(suspects, time);
        telemetry::logWarning("runner-dead",
            { { "runner", id }, { "suspects", joinHex(suspects) },
                { "quarantined", quarantined ? toHex(quarantined->digest) : "" } });
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
        state.servedTenths = static_cast<std::uint32_t>(served * tenthsPerRequest);
        state.failedTenths = static_cast<std::uint32_t>(failed * tenthsPerRequest);
        if (now < runner->suspendedUntil)
            state.suspendedMs = static_cast<std::uint32_t>(toMilliseconds(runner->suspendedUntil - now));
        state.remaining = m_placement.remaining(*runner);
        const bool shouldReport = state.inFlight > 0 || state.suspendedMs > 0 || state.failedTenths > 0
            || state.servedTenths >= minServedTenths;
        if (shouldReport)
            result.push_back(state);
    }
    return result;
}

RunnerReport Router::runnerReport(TimePoint now)
{
    return { runnerStates(now), m_crashes.records(now), recentStatements(now), m_versionHistory.soleVersions(now),
        m_cacheQueries.departures(), m_overload.demand(now) };
}

void Router::setFleet(std::string_view ownIp, std::span<const std::string> otherIps)
{
    runners::FleetView fleet { hash64(ownIp), {} };
    for (const auto& ip : otherIps)
        fleet.others.push_back(hash64(ip));
    m_registry.setFleet(std::move(fleet), m_clock());
    m_otherIps.assign(otherIps.begin(), otherIps.end());
}

void Router::setPeerSummaries(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries)
{
    m_placement.setPeers(summaries);
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto found = summaries.find(static_cast<fleet::RunnerKey>(runner->identity));
        const auto summary = found == summaries.end() ? fleet::RunnerSummary {} : found->second;
        m_registry.setPeerSummary(*runner, { summary.inFlight, summary.served, summary.failed, summary.suspendedBy });
        if (summary.suspendedBy > 0)
            m_registry.recordSuspectedRestart(*runner, m_clock());
    }
}

void Router::mergeCrashRecords(std::span<const dispatch::CrashRecord> records) { m_crashes.merge(records, m_clock()); }

void Router::refuse(gateway::Responder& responder, const RequestMetadata& metadata, const Refusal& refusal)
{
    gateway::HttpResponse response;
    response.status = refusal.status;
    response.headers = m_codec.encodeRefusal(metadata.attemptId, refusal.retryAfter);
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(refusal.reason) + "\n";
    responder.respond(response);
}

Duration Router::withJitter(Duration mean)
{
    // Spreads the retries of callers that were refused at the same time.
    return fromSeconds(toSeconds(mean) * (0.5 + unitDraw()));
}

dispatch::WindowedRetryBudget& Router::budgetOf(const std::string& service, TimePoint now)
{
    return m_budgets.try_emplace(service, m_options.retryBudget, std::min(now, m_startedAt)).first->second;
}

void Router::setOptions(const RouterOptions& options)
{
    m_options = options;
    m_placement.setOptions(options.placement);
    m_registry.setColdShare(options.registry.coldShare);
    for (auto& [service, budget] : m_budgets)
        budget.setOptions(options.retryBudget);
}

void Router::setRunners(std::span<const runners::RunnerEntry> entries)
{
    m_versionHistory.recordListing(entries, m_clock());
    spreadOrigins(m_clock());
    m_registry.apply(entries, m_clock(), [this](const std::string& id) {
        const auto* removed = m_registry.find(id);
        m_cacheQueries.onRunnerRemoved(*removed);
        const auto pool = m_pools.find(id);
        if (pool == m_pools.end())
            return;
        m_removedRunnerConnections[removed->entry.service] += pool->second->openedCount();
        m_pools.erase(pool);
    });
    m_cacheQueries.onRunnersChanged();
}

void Router::confirmConfiguration(TimePoint confirmedAt)
{
    m_versionHistory.recordProof(confirmedAt);
    m_listingProofs.record(confirmedAt);
    if (!m_confirmedAt || confirmedAt > *m_confirmedAt)
        m_confirmedAt = confirmedAt;
}

bool Router::isCredentialLeaseValid(TimePoint now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_options.credentialLease;
}

void Router::sweep(TimePoint now)
{
    m_crashes.tick(now);
    spreadOrigins(now);
    m_listingProofs.expire(now);
    m_overload.sweep(now);
    m_placement.sweep(now);
    logPath(now);
    logColdRunners(now);
    if (isPathLost())
        probePath();
    for (auto& [ip, pool] : m_daemonPools)
        pool->closeExpired(now);
    if (const auto skipped = m_routineLines.takeSkipped())
        telemetry::logInfo("lines-skipped", { { "plain_requests", skipped } });
    for (auto& [id, pool] : m_pools)
        pool->closeExpired(now);
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
            const bool isDead = runner->lastActivityAt < begunAt && isUnreachable(result, begunAt);
            telemetry::logInfo("silent-runner-probed",
                { { "runner", id }, { "reachable", result == ProbeResult::Accepted }, { "dead", isDead },
                    { "silence_ms", toMilliseconds(silence) }, { "requests", runner->ownLoad } });
            runner->lastActivityAt = std::max(runner->lastActivityAt, begunAt);
            if (!isDead)
                return;
            m_registry.recordObservation(*runner, runners::Observation::CannotConnect, m_clock());
            for (const auto& session : requestsAt(id))
                session->onRunnerUnreachable(result == ProbeResult::Refused);
        });
    }
}

bool Router::isUnreachable(ProbeResult result, TimePoint begunAt) const
{
    // If no runner was heard from since the probe began, the missing answer may be due to this host's own link.
    return result == ProbeResult::Refused || (result == ProbeResult::NoAnswer && m_registry.lastReceivedAt() > begunAt);
}

std::vector<std::shared_ptr<Session>> Router::requestsAt(std::string_view runner) const
{
    std::vector<std::shared_ptr<Session>> result;
    for (auto* session : m_inFlight->sessions) {
        if (session->isWaitingFor(runner))
            result.push_back(session->shared_from_this());
    }
    return result;
}

void Router::updateMetrics(TimePoint now)
{
    m_metrics.setGauge("eelgrassford_relayed_requests", static_cast<double>(requestsInFlight()));
    std::map<std::string, std::map<std::string, double>> states;
    std::map<std::string, double> limited;
    auto connections = m_removedRunnerConnections;
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto& service = runner->entry.service;
        auto& counts = states[service];
        if (counts.empty()) {
            counts["usable"] = 0.0;
            for (std::size_t i = 0; i < runners::exclusionCount; ++i)
                counts[std::string(nameOf(static_cast<runners::Exclusion>(i)))] = 0.0;
        }
        const auto exclusion = m_registry.availability(*runner, now).exclusion;
        counts[exclusion ? std::string(nameOf(*exclusion)) : "usable"] += 1.0;
        limited[service] += runner->limit.perSecond ? 1.0 : 0.0;
        const auto pool = m_pools.find(id);
        connections[service] += pool == m_pools.end() ? 0 : pool->second->openedCount();
    }
    for (const auto& [service, counts] : states) {
        for (const auto& [state, count] : counts)
            m_metrics.setGauge("eelgrassford_runners", count, { { "service", service }, { "state", state } });
    }
    for (const auto& [service, count] : limited)
        m_metrics.setGauge("eelgrassford_limited_runners", count, { { "service", service } });
    for (const auto& [service, count] : connections)
        m_metrics.setTotal(
            "eelgrassford_runner_connections_total", static_cast<double>(count), { { "service", service } });
    m_overload.updateMetrics(m_metrics, now);
    updateColdMetrics(now);
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
