#pragma once

#include "daemon/PeriodicTimer.h"
#include "edge/RelaySettings.h"
#include "gateway/StreamServer.h"
#include "proxy/Router.h"
#include <atomic>
#include <set>

namespace eelgrassford::edge {

/// @brief Serves callers on its own thread. Functions other than run() and setReportListener() may be called from any
/// thread.
class TrafficLoop {
public:
    TrafficLoop(const RelaySettings& settings, const proxy::Codec& codec, telemetry::Metrics& metrics);

    void run();
    void stop() { m_context.stop(); }
    void setRoutes(std::shared_ptr<const routing::RouteTable> routes);
    /// @param evacuated names of the data centres that are out of service
    void setRunners(std::vector<runners::RunnerEntry> entries, std::set<std::string> evacuated);
    void setSettings(const RelaySettings& settings);
    /// @brief Passes on the time of the newest freshness proof of the configuration.
    void confirmConfiguration(TimePoint provenAt);
    /// @brief Receives what this daemon knows about the runners on every tick, on this loop's thread.
    using ReportListener = std::function<void(proxy::RunnerReport)>;
    /// @brief Must be set before run().
    void setReportListener(ReportListener listener) { m_reportListener = std::move(listener); }
    /// @brief Sets what the other daemons together report of each runner.
    void setPeerSummaries(std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> summaries);
    /// @brief Sets the work that the callers of the other daemons request.
    /// @param clockLead time by which the clock of the fleet is ahead of this daemon's
    void setPeerDemand(std::vector<admission::ServiceDemand> demands, Duration clockLead);
    /// @brief Merges crash records of other daemons.
    void mergeCrashRecords(std::vector<dispatch::CrashRecord> records);
    /// @brief Merges what runners stated of themselves to other daemons.
    void mergeStatements(std::vector<fleet::RunnerStatement> statements);
    /// @brief Merges which versions other daemons know to have served alone.
    void mergeSoleVersions(std::vector<runners::SoleVersion> versions);
    void mergeDepartures(std::vector<runners::Departure> departures);
    /// @brief Sets where origins of streams are shared; must be called before run().
    void setOriginDirectory(proxy::OriginDirectory* directory) { m_router.setOriginDirectory(directory); }
    asio::io_context& context() { return m_context; }
    /// @brief Sets the other daemons, among which the limits of runners and the retry allowance are shared.
    void setFleet(std::vector<std::string> otherIps);
    /// @brief Begins a graceful stop.
    /// @param onStopped called on this loop's thread once no request is in flight or the grace period is over
    void beginStop(std::function<void()> onStopped);

private:
    void startServing();
    void applyCallerBudget();
    void updateCallerMetrics();
    /// Returns memory to the system after much of what was held for callers was freed.
    void returnMemory();
    void tick(TimePoint now);
    void tickStop(TimePoint now);

    RelaySettings m_settings;
    /// Daemons of the fleet, this one included.
    std::size_t m_daemons = 1;
    asio::io_context m_context { 1 };
    daemon::PeriodicTimer m_tickTimer;
    proxy::Router m_router;
    gateway::StreamServer m_server;
    ReportListener m_reportListener;
    telemetry::Metrics& m_metrics;
    /// Most bytes held for callers since memory was last returned.
    std::size_t m_mostHeldBytes = 0;
    TimePoint m_startedAt {};
    TimePoint m_lastTick {};
    TimePoint m_nextSweepAt {};
    TimePoint m_nextMetricsAt {};
    std::optional<TimePoint> m_stopAt;
    std::function<void()> m_onStopped;
};

}
