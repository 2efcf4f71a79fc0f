#pragma once

#include "daemon/PeriodicTimer.h"
#include "edge/DocumentCodec.h"
#include "edge/FleetLink.h"
#include "edge/RelaySettings.h"
#include "edge/TrafficLoop.h"
#include "gateway/AdminServer.h"
#include "store/Mirror.h"
#include "upstream/CurlClient.h"
#include <random>

namespace eelgrassford::edge {

/// @brief Follows the published configuration and runners on one thread, and tells the traffic loop.
class ControlLoop {
public:
    ControlLoop(const RelaySettings& settings, std::string settingsPath, const store::Protocol& protocol,
        const DocumentCodec& documents, TrafficLoop& traffic, telemetry::Metrics& metrics);

    void run();

private:
    void tick(TimePoint now);
    void query(const store::Query& query);
    void onResponse(const upstream::CallResult& result, std::uint16_t status, const std::string& body);
    void publish();
    void publishConfiguration(const store::Item& item);
    void publishRunners();
    void noteContact(TimePoint now);
    void updateMetrics(TimePoint now);
    std::unique_ptr<gateway::AdminServer> makeMetricsServer(const RelaySettings& settings);
    void reloadSettings(const char* trigger);
    void waitForSignal();
    void beginStop();
    bool isReady() const;
    std::string statusJson() const;

    RelaySettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    const DocumentCodec& m_documents;
    TrafficLoop& m_traffic;
    telemetry::Metrics& m_metrics;
    asio::io_context m_context { 1 };
    daemon::PeriodicTimer m_ticker;
    asio::signal_set m_signals;
    std::mt19937_64 m_random;
    upstream::CurlClient m_client;
    store::Mirror m_mirror;
    gateway::AdminServer m_admin;
    /// Serves the metrics on an address of their own, where the settings name one.
    std::unique_ptr<gateway::AdminServer> m_metricsServer;
    FleetLink m_fleet;
    std::uint64_t m_configurationRevision = 0;
    std::uint64_t m_configurationItemRevision = 0;
    std::vector<runners::RunnerEntry> m_runners;
    /// Newest proof that the configuration is current, own or vouched for.
    std::optional<TimePoint> m_provenAt;
    upstream::CallId m_call = 0;
    TimePoint m_lastTick {};
    TimePoint m_nextSettingsCheckAt {};
    TimePoint m_nextReportAt {};
    TimePoint m_nextMetricsAt {};
    bool m_hasFailed = true;
    bool m_isStopping = false;
};

}
