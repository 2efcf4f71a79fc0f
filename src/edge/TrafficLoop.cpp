#include "edge/TrafficLoop.h"

#include "daemon/SystemClock.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::edge {

using daemon::currentTime;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(100);
    constexpr Duration metricsInterval = std::chrono::seconds(2);
    constexpr Duration sweepInterval = std::chrono::milliseconds(300);
    /// Time after which callers are answered even if nothing is known yet. They give a connection one second; before
    /// that, a wait of some ten milliseconds for the configuration serves them better than a refusal.
    constexpr Duration longestStart = std::chrono::milliseconds(600);
    /// A longer gap between ticks means that the process was suspended.
    constexpr Duration suspendedThreshold = std::chrono::milliseconds(1500);
    /// Time in which the balancer is sure to have seen two failed readiness checks, one a second.
    constexpr Duration rotationTime = std::chrono::milliseconds(3000);
    /// Quiet time on the listener after which no caller is on its way.
    constexpr Duration quietTime = std::chrono::milliseconds(1000);
    /// Time before the end of the grace time at which what is left is cut.
    constexpr Duration endMargin = std::chrono::milliseconds(400);
    /// Hosts among which the fixed part of the retry allowance is divided at least; twice the present fleets, since
    /// hosts are added and restarted.
    constexpr double allowanceShares = 16.0;
    /// Part of the fleet's ratio that one daemon uses of its own requests; the rest covers late counting.
    constexpr double ratioShare = 0.85;
    /// Part of the load bound up to which placement goes; the rest covers load that is not known yet.
    constexpr double boundShare = 0.75;
    /// Part of the revocation time that a proof may age; the rest covers a watch that hears of a change late.
    constexpr double leaseShare = 0.8;

    proxy::RouterOptions routerOptions(const RelaySettings& settings)
    {
        proxy::RouterOptions options;
        options.dataCentre = settings.dataCentre;
        options.credentialLease = fromSeconds(toSeconds(settings.revocation) * leaseShare);
        options.retryBudget.ratio = settings.retryRatio * ratioShare;
        options.retryBudget.allowance = settings.retryAllowance / allowanceShares;
        options.retryBudget.window = settings.retryWindow;
        options.placement.loadBound = settings.loadBound * boundShare;
        return options;
    }

}

TrafficLoop::TrafficLoop(const RelaySettings& settings, const proxy::Codec& codec, telemetry::Metrics& metrics)
    : m_settings(settings)
    , m_ticker(m_context, tickInterval, [this](TimePoint now) { tick(now); })
    , m_router(m_context, routerOptions(settings), codec, metrics, currentTime)
    , m_server(m_context, settings.callers.ip, settings.callers.port, currentTime,
          [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
              m_router.handle(std::move(request), responder);
          })
    , m_lastTick(currentTime())
{
}

void TrafficLoop::run()
{
    m_startedAt = currentTime();
    m_ticker.start();
    m_context.run();
}

void TrafficLoop::setRoutes(std::shared_ptr<const routing::RouteTable> routes)
{
    asio::post(m_context, [this, routes = std::move(routes)] {
        m_server.setLimits(routes->configuration().limits);
        m_router.setRoutes(routes);
        startServing();
    });
}

void TrafficLoop::setRunners(std::vector<runners::RunnerEntry> entries)
{
    asio::post(m_context, [this, entries = std::move(entries)] {
        m_router.setRunners(entries);
        startServing();
    });
}

void TrafficLoop::startServing()
{
    const bool isOverdue = currentTime() - m_startedAt > longestStart;
    if ((m_router.hasRoutes() && m_router.hasRunners()) || isOverdue)
        m_server.startAccepting();
}

void TrafficLoop::setSettings(const RelaySettings& settings)
{
    asio::post(m_context, [this, settings] {
        m_settings = settings;
        m_router.setOptions(routerOptions(settings));
    });
}

void TrafficLoop::proveContact(TimePoint provenAt)
{
    asio::post(m_context, [this, provenAt] { m_router.confirmConfiguration(provenAt); });
}

void TrafficLoop::setPeerWord(std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> summaries)
{
    asio::post(m_context, [this, summaries = std::move(summaries)] { m_router.setPeerSummaries(summaries); });
}

void TrafficLoop::learnCrashes(std::vector<dispatch::CrashRecord> records)
{
    asio::post(m_context, [this, records = std::move(records)] { m_router.mergeCrashRecords(records); });
}

void TrafficLoop::beginStop(std::function<void()> ended)
{
    asio::post(m_context, [this, ended = std::move(ended)]() mutable {
        m_server.closeAfterResponses();
        m_stopAt = currentTime();
        m_router.beginStop(*m_stopAt + m_settings.grace - endMargin);
        m_ended = std::move(ended);
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
    }
    m_router.probeSilentRunners();
    if (now >= m_nextMetricsAt) {
        m_nextMetricsAt = now + metricsInterval;
        m_router.updateMetrics(now);
    }
    if (m_listener)
        m_listener(m_router.runnerStates(now), m_router.crashRecords());
    if (m_stopAt && m_ended)
        tickStop(now);
}

void TrafficLoop::tickStop(TimePoint now)
{
    const auto elapsed = now - *m_stopAt;
    const bool isOutOfRotation = elapsed >= rotationTime && now - m_server.lastAcceptedAt() >= quietTime;
    if (isOutOfRotation)
        m_server.closeIdle();
    const bool isIdle = m_router.requestsInFlight() == 0 && m_server.busyConnectionCount() == 0;
    const bool isOver = elapsed >= m_settings.grace - endMargin;
    if (!(isOutOfRotation && isIdle) && !isOver)
        return;
    telemetry::logInfo("stop-drained",
        { { "after_ms", toMilliseconds(elapsed) },
            { "cut", static_cast<std::uint64_t>(m_router.requestsInFlight()) } });
    std::exchange(m_ended, nullptr)();
}

}
