#pragma once

#include "daemon/PeriodicTimer.h"
#include "edge/DocumentCodec.h"
#include "edge/FleetDirectory.h"
#include "edge/FleetLink.h"
#include "edge/RelaySettings.h"
#include "edge/TrafficLoop.h"
#include "fleet/StartupComparison.h"
#include "gateway/AdminServer.h"
#include "store/Mirror.h"
#include "upstream/CurlClient.h"
#include <random>
#include <set>

namespace eelgrassford::edge {

/// @brief Tracks the published configuration and runners on its own thread and passes changes to the traffic loop.
class ControlLoop {
public:
    /// @param settingsPath file from which the settings are reloaded on a SIGHUP or a change
    ControlLoop(const RelaySettings& settings, std::string settingsPath, const store::Protocol& protocol,
        const DocumentCodec& documents, TrafficLoop& traffic, telemetry::Metrics& metrics);

    /// @brief Runs until a stop signal has been handled and the traffic loop has stopped.
    void run();

private:
    void tick(TimePoint now);
    void query(const store::Query& query);
    void onResponse(const upstream::CallResult& result, const upstream::Response& response);
    /// Logs that the store answers from another copy of its data.
    void logEra(std::optional<std::uint64_t> before) const;
    void publish();
    /// Compares the configuration with those of other daemons before it is first used.
    /// @return whether it may be used from now on
    bool compareConfiguration(TimePoint now);
    void fetchConfiguration(const std::string& ip);
    void publishConfiguration(const store::Item& item);
    void publishRunners();
    void updateFreshness(TimePoint now);
    void updateMetrics(TimePoint now);
    std::unique_ptr<gateway::AdminServer> createMetricsServer(const RelaySettings& settings);
    void reloadSettings(const char* trigger);
    void waitForSignal();
    void beginStop();
    bool isReady() const;
    std::string statusJson() const;

    RelaySettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    const store::Protocol& m_protocol;
    const DocumentCodec& m_documents;
    TrafficLoop& m_traffic;
    telemetry::Metrics& m_metrics;
    asio::io_context m_context { 1 };
    daemon::PeriodicTimer m_tickTimer;
    asio::signal_set m_signals;
    std::mt19937_64 m_random;
    upstream::CurlClient m_client;
    store::Mirror m_mirror;
    gateway::AdminServer m_admin;
    /// Serves the metrics on the additional address; null if the settings name none.
    std::unique_ptr<gateway::AdminServer> m_metricsServer;
    FleetLink m_fleet;
    FleetDirectory m_directory;
    std::uint64_t m_configurationRevision = 0;
    /// Document that was read last, in force or not.
    std::string m_configurationDocument;
    fleet::StartupComparison m_comparison;
    /// Configurations of other daemons that have answered.
    std::vector<store::Item> m_otherConfigurations;
    bool m_isConfigurationCompared = false;
    std::vector<runners::RunnerEntry> m_runners;
    /// Data centres that are out of service.
    std::set<std::string> m_evacuated;
    /// Revisions of the entries that cannot be read, by key. Each is logged once.
    std::map<std::string, store::Revision> m_unreadableRunners;
    /// Runners of which an unusable cold time was logged.
    std::set<std::string> m_unusableColdTimes;
    /// Addresses of the other daemons that the traffic loop was told of.
    std::vector<std::string> m_otherIps;
    /// Time of the newest freshness proof of the configuration, from the store or from another daemon.
    std::optional<TimePoint> m_provenAt;
    upstream::CallId m_queryCall = 0;
    TimePoint m_lastTick {};
    TimePoint m_nextSettingsCheckAt {};
    TimePoint m_nextLogFlushAt {};
    TimePoint m_nextMetricsAt {};
    bool m_hasStoreFailed = true;
    bool m_isStopping = false;
};

}
