#include "edge/TrafficLoop.h"

#include "daemon/EventLoop.h"
#include "daemon/SystemClock.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::edge {

using daemon::currentTime;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(100);
    constexpr Duration metricsInterval = std::chrono::seconds(2);
    constexpr Duration sweepInterval = std::chrono::milliseconds(300);
    /// Time after which connections are accepted even without a configuration or runners. Callers wait one second for
    /// a connection; waiting some ten milliseconds for the configuration serves them better than a refusal.
    constexpr Duration maxStartupWait = std::chrono::milliseconds(600);
    /// A longer gap between ticks means that the process was suspended.
    constexpr Duration suspendedThreshold = std::chrono::milliseconds(1500);
    /// Time within which the load balancer is certain to have seen two failed readiness checks, made once a second.
    constexpr Duration rotationRemovalTime = std::chrono::milliseconds(3000);
    /// Time without a new connection after which no further caller is expected.
    constexpr Duration listenerQuietTime = std::chrono::milliseconds(1000);
    /// Time before the end of the grace period at which the remaining requests are cut off.
    constexpr Duration cutoffMargin = std::chrono::milliseconds(400);
    /// Share of the fleet's retry ratio that one daemon applies to its own requests; the rest covers late counting.
    constexpr double localRatioShare = 0.85;
    /// Share of the load bound up to which placement fills a runner; the rest covers load that is not known yet.
    constexpr double placementBoundShare = 0.75;
    /// Largest age of a freshness proof as a share of the revocation deadline; the rest covers a watch that reports a
    /// change late.
    constexpr double leaseShare = 0.8;
    /// Part of the budget for callers that responses may take while they are incomplete.
    constexpr std::size_t responsePart = 2;
    /// Bytes held for callers that must have been freed before the allocator is asked to return them, which takes some
    /// milliseconds.
    constexpr std::size_t returnedBytes = 4u << 20;

    gateway::CallerBudgetOptions callerBudgetOf(const RelaySettings& settings)
    {
        return callerBudget(hostLimits(settings.limits), settings.limits.minBytesPerSecond);
    }

    proxy::RouterOptions routerOptions(const RelaySettings& settings, std::size_t daemons)
    {
        proxy::RouterOptions options;
        options.dataCentre = settings.dataCentre;
        options.credentialLease = fromSeconds(toSeconds(settings.revocationDeadline) * leaseShare);
        options.retryBudget.ratio = settings.retryRatio * localRatioShare;
        options.retryBudget.allowance
            = dispatch::WindowedRetryBudget::shareOfAllowance(settings.retryAllowance, daemons);
        options.retryBudget.window = settings.retryWindow;
        options.callerPort = settings.callerAddress.port;
        options.placement.bound.loadBound = settings.loadBound * placementBoundShare;
        options.placement.toleratedDataCentreLosses = settings.toleratedDataCentreLosses;
        options.placement.followsReports = settings.placesByReports;
        options.placement.admitsAllByWork = settings.fleetDataCentreLosses > 0;
        options.responseBufferLimit
            = std::min(options.responseBufferLimit, callerBudgetOf(settings).bytes / responsePart);
        options.registry.coldShare.overage = settings.coldOverage;
        options.registry.coldShare.slack = settings.coldSlack;
        return options;
    }

}

TrafficLoop::TrafficLoop(const RelaySettings& settings, const proxy::Codec& codec, telemetry::Metrics& metrics)
    : m_settings(settings)
    , m_tickTimer(m_context, tickInterval, [this](TimePoint now) { tick(now); })
    , m_router(m_context, routerOptions(settings, m_daemons), codec, metrics, currentTime)
    , m_server(m_context, settings.callerAddress.ip, settings.callerAddress.port, currentTime,
          [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
              m_router.handle(std::move(request), responder);
          })
    , m_metrics(metrics)
    , m_lastTick(currentTime())
{
    applyCallerBudget();
}

void TrafficLoop::run()
{
    m_startedAt = currentTime();
    m_tickTimer.start();
    daemon::runEventLoop(m_context, "traffic");
}

void TrafficLoop::setRoutes(std::shared_ptr<const routing::RouteTable> routes)
{
    asio::post(m_context, [this, routes = std::move(routes)] {
        m_server.setLimits(routes->configuration().limits);
        m_router.setRoutes(routes);
        startServing();
    });
}

void TrafficLoop::setRunners(std::vector<runners::RunnerEntry> entries, std::set<std::string> evacuated)
{
    // One handler, so that no request is placed between the two.
    asio::post(m_context, [this, entries = std::move(entries), evacuated = std::move(evacuated)] {
        m_router.setRunners(entries);
        m_router.setEvacuatedDataCentres(evacuated);
        startServing();
    });
}

void TrafficLoop::startServing()
{
    const bool isOverdue = currentTime() - m_startedAt > maxStartupWait;
    if ((m_router.hasRoutes() && m_router.hasRunners()) || isOverdue)
        m_server.startAccepting();
}

void TrafficLoop::setSettings(const RelaySettings& settings)
{
    asio::post(m_context, [this, settings] {
        m_settings = settings;
        applyCallerBudget();
        m_router.setOptions(routerOptions(settings, m_daemons));
    });
}

void TrafficLoop::applyCallerBudget()
{
    const auto budget = callerBudgetOf(m_settings);
    m_server.setBudget(budget);
    telemetry::logInfo("caller-budget",
        { { "bytes", static_cast<std::uint64_t>(budget.bytes) },
            { "descriptors", static_cast<std::uint64_t>(budget.descriptors) },
            { "min_bytes_per_second", budget.minBytesPerSecond } });
}

void TrafficLoop::updateCallerMetrics()
{
    using gateway::CallerRejection;
    const auto& budget = m_server.budget();
    m_metrics.setGauge("eelgrassford_caller_bytes", static_cast<double>(budget.heldBytes()));
    m_metrics.setGauge("eelgrassford_caller_bytes_budget", static_cast<double>(budget.options().bytes));
    m_metrics.setGauge("eelgrassford_caller_connections", static_cast<double>(budget.connections()));
    m_metrics.setGauge("eelgrassford_caller_descriptors", static_cast<double>(budget.descriptors()));
    m_metrics.setGauge("eelgrassford_caller_descriptors_budget", static_cast<double>(budget.options().descriptors));
    for (const auto reason : { CallerRejection::Memory, CallerRejection::Descriptors, CallerRejection::Slow })
        m_metrics.setTotal("eelgrassford_callers_rejected_total", static_cast<double>(budget.rejections(reason)),
            { { "reason", std::string(nameOf(reason)) } });
}

void TrafficLoop::returnMemory()
{
    const auto held = m_server.budget().heldBytes();
    m_mostHeldBytes = std::max(m_mostHeldBytes, held);
    if (m_mostHeldBytes - held < returnedBytes)
        return;
    m_mostHeldBytes = held;
    returnFreeMemory();
}

void TrafficLoop::confirmConfiguration(TimePoint provenAt)
{
    asio::post(m_context, [this, provenAt] { m_router.confirmConfiguration(provenAt); });
}

void TrafficLoop::setPeerSummaries(std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> summaries)
{
    asio::post(m_context, [this, summaries = std::move(summaries)] { m_router.setPeerSummaries(summaries); });
}

void TrafficLoop::setPeerDemand(std::vector<admission::ServiceDemand> demands, Duration clockLead)
{
    asio::post(m_context, [this, demands = std::move(demands), clockLead] {
        m_router.overload().setPeerDemand(demands, clockLead, currentTime());
    });
}

void TrafficLoop::mergeCrashRecords(std::vector<dispatch::CrashRecord> records)
{
    asio::post(m_context, [this, records = std::move(records)] { m_router.mergeCrashRecords(records); });
}

void TrafficLoop::mergeStatements(std::vector<fleet::RunnerStatement> statements)
{
    asio::post(m_context, [this, statements = std::move(statements)] { m_router.mergeStatements(statements); });
}

void TrafficLoop::mergeSoleVersions(std::vector<runners::SoleVersion> versions)
{
    asio::post(m_context, [this, versions = std::move(versions)] { m_router.mergeSoleVersions(versions); });
}

void TrafficLoop::mergeDepartures(std::vector<runners::Departure> departures)
{
    asio::post(m_context, [this, departures = std::move(departures)] { m_router.mergeDepartures(departures); });
}

void TrafficLoop::setFleet(std::vector<std::string> otherIps)
{
    asio::post(m_context, [this, otherIps = std::move(otherIps)] {
        m_daemons = otherIps.size() + 1;
        m_router.setFleet(m_settings.ip, otherIps);
        m_router.setOptions(routerOptions(m_settings, m_daemons));
    });
}

void TrafficLoop::beginStop(std::function<void()> onStopped)
{
    asio::post(m_context, [this, onStopped = std::move(onStopped)]() mutable {
        m_server.closeAfterResponses();
        m_stopAt = currentTime();
        m_router.beginStop(*m_stopAt + m_settings.stopGracePeriod - cutoffMargin);
        m_onStopped = std::move(onStopped);
    });
}

void TrafficLoop::tick(TimePoint now)
{
    if (now - m_lastTick > suspendedThreshold)
        m_router.onProcessResumed(now);
    m_lastTick = now;
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + sweepInterval;
        startServing();
        m_server.enforceTimeouts(now);
        m_router.sweep(now);
        returnMemory();
    }
    m_router.probeSilentRunners();
    if (now >= m_nextMetricsAt) {
        m_nextMetricsAt = now + metricsInterval;
        m_router.updateMetrics(now);
        updateCallerMetrics();
        m_router.logLimitUse();
    }
    if (m_reportListener)
        m_reportListener(m_router.runnerReport(now));
    if (m_stopAt && m_onStopped)
        tickStop(now);
}

void TrafficLoop::tickStop(TimePoint now)
{
    const auto elapsed = now - *m_stopAt;
    const bool isOutOfRotation = elapsed >= rotationRemovalTime && now - m_server.lastAcceptedAt() >= listenerQuietTime;
    if (isOutOfRotation)
        m_server.closeIdle();
    const bool isIdle = m_router.requestsInFlight() == 0 && m_server.busyConnectionCount() == 0;
    const bool hasGraceExpired = elapsed >= m_settings.stopGracePeriod - cutoffMargin;
    if (!(isOutOfRotation && isIdle) && !hasGraceExpired)
        return;
    telemetry::logInfo("stop-drained",
        { { "after_ms", toMilliseconds(elapsed) },
            { "cut", static_cast<std::uint64_t>(m_router.requestsInFlight()) } });
    std::exchange(m_onStopped, nullptr)();
}

}
