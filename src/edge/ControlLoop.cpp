#include "edge/ControlLoop.h"

#include "common/ScopeExit.h"
#include "daemon/EventLoop.h"
#include "daemon/SystemClock.h"
#include "telemetry/DecisionLog.h"
#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace eelgrassford::edge {

using daemon::currentTime;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(75);
    /// A longer gap between ticks means that the process was suspended.
    constexpr Duration suspendedThreshold = std::chrono::milliseconds(1500);
    /// The file is also polled, since it may change without a SIGHUP.
    constexpr Duration settingsCheckInterval = std::chrono::seconds(2);
    constexpr Duration logFlushInterval = std::chrono::milliseconds(300);
    constexpr Duration metricsInterval = std::chrono::seconds(2);
    constexpr Duration connectTimeout = std::chrono::milliseconds(500);

    store::Mirror::Options mirrorOptions()
    {
        store::Mirror::Options options;
        options.firstWatchDelay = std::chrono::milliseconds(600);
        return options;
    }

    runners::RunnerEntry withoutColdTime(runners::RunnerEntry entry)
    {
        entry.coldRemaining.reset();
        entry.coldRevision = 0;
        return entry;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

}

ControlLoop::ControlLoop(const RelaySettings& settings, std::string settingsPath, const store::Protocol& protocol,
    const DocumentCodec& documents, TrafficLoop& traffic, telemetry::Metrics& metrics)
    : m_settings(settings)
    , m_settingsPath(std::move(settingsPath))
    , m_settingsText(readFile(m_settingsPath))
    , m_protocol(protocol)
    , m_documents(documents)
    , m_traffic(traffic)
    , m_metrics(metrics)
    , m_tickTimer(m_context, tickInterval, [this](TimePoint now) { tick(now); })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_random(std::random_device {}())
    , m_client(m_context)
    , m_mirror(
          protocol, mirrorOptions(), [this] { return std::uniform_real_distribution<double>()(m_random); },
          [&documents](std::string_view key, std::string_view left, std::string_view right) {
              return documents.compareStates(key, left, right);
          })
    , m_admin(m_context, settings.adminAddress.ip, settings.adminAddress.port,
          gateway::AdminServer::Sources {
              [this] { return isReady(); }, [this] { return m_metrics.serialize(); }, [this] { return statusJson(); } },
          settings.readinessPath)
    , m_metricsServer(createMetricsServer(settings))
    , m_fleet(m_context, settings, m_random(), m_mirror, m_client,
          [this] { return std::uniform_real_distribution<double>()(m_random); },
          { [this] { publish(); },
              [this](std::vector<dispatch::CrashRecord> records) { m_traffic.mergeCrashRecords(std::move(records)); },
              [this](
                  std::vector<fleet::RunnerStatement> statements) { m_traffic.mergeStatements(std::move(statements)); },
              [this](std::vector<runners::SoleVersion> versions) { m_traffic.mergeSoleVersions(std::move(versions)); },
              [this](
                  std::vector<runners::Departure> departures) { m_traffic.mergeDepartures(std::move(departures)); } })
    , m_directory(m_context, traffic.context(), m_fleet)
    , m_lastTick(currentTime())
{
    m_traffic.setOriginDirectory(&m_directory);
    m_traffic.setReportListener([this](proxy::RunnerReport report) {
        asio::post(m_context, [this, report = std::move(report)]() mutable { m_fleet.setReport(std::move(report)); });
    });
}

std::unique_ptr<gateway::AdminServer> ControlLoop::createMetricsServer(const RelaySettings& settings)
{
    if (!settings.metricsAddress)
        return nullptr;
    return std::make_unique<gateway::AdminServer>(m_context, settings.metricsAddress->ip, settings.metricsAddress->port,
        gateway::AdminServer::Sources {
            [this] { return isReady(); }, [this] { return m_metrics.serialize(); }, [this] { return statusJson(); } });
}

void ControlLoop::run()
{
    waitForSignal();
    tick(currentTime());
    m_tickTimer.start();
    daemon::runEventLoop(m_context, "control");
}

void ControlLoop::tick(TimePoint now)
{
    if (now - m_lastTick > suspendedThreshold) {
        m_client.cancel(m_queryCall);
        m_mirror.restartQuery(now);
        m_fleet.onProcessResumed();
    }
    m_lastTick = now;
    if (m_mirror.dropExpired(now))
        publish();
    m_fleet.tick(now);
    m_traffic.setPeerSummaries(m_fleet.gossip().summarize(now));
    m_traffic.setPeerDemand(m_fleet.gossip().demandOfOthers(now), m_fleet.gossip().fleetClockLead());
    if (auto others = m_fleet.gossip().presentIps(now); others != m_otherIps) {
        m_otherIps = others;
        m_traffic.setFleet(std::move(others));
    }
    if (compareConfiguration(now))
        publish();
    updateFreshness(now);
    if (const auto next = m_mirror.nextQuery(now))
        query(*next);
    if (now >= m_nextLogFlushAt) {
        m_nextLogFlushAt = now + logFlushInterval;
        telemetry::flushLog();
    }
    if (now >= m_nextMetricsAt) {
        m_nextMetricsAt = now + metricsInterval;
        updateMetrics(now);
    }
    if (now >= m_nextSettingsCheckAt) {
        m_nextSettingsCheckAt = now + settingsCheckInterval;
        if (readFile(m_settingsPath) != m_settingsText)
            reloadSettings("change");
    }
}

void ControlLoop::query(const store::Query& query)
{
    upstream::Call call;
    call.url
        = "http://" + m_settings.storeAddress.ip + ":" + std::to_string(m_settings.storeAddress.port) + query.target;
    call.timeout = query.timeout;
    call.connectTimeout = connectTimeout;
    m_queryCall
        = m_client.collect(call, [this](const upstream::CallResult& result, const upstream::Response& response) {
              onResponse(result, response);
          });
}

void ControlLoop::onResponse(const upstream::CallResult& result, const upstream::Response& response)
{
    const auto now = currentTime();
    bool hasChanged = false;
    const auto era = m_mirror.era();
    if (result.end == upstream::CallEnd::Complete)
        hasChanged
            = m_mirror.handleResponse(response.status, response.body, now, m_protocol.decodeEra(response.headers));
    else
        m_mirror.handleFailure(result.detail, now);
    logEra(era);
    if (hasChanged) {
        m_fleet.announce(now);
        compareConfiguration(now);
        publish();
    }
    updateFreshness(now);
    if (const auto next = m_mirror.nextQuery(now))
        query(*next);
}

void ControlLoop::logEra(std::optional<std::uint64_t> before) const
{
    if (m_mirror.era() == before)
        return;
    telemetry::logWarning("store-era",
        { { "era", m_mirror.era().value_or(0) }, { "before", before.value_or(0) },
            { "store_revision", store::storeRevisionOf(m_mirror.completeRevision()) } });
}

void ControlLoop::updateFreshness(TimePoint now)
{
    const auto provenAt = m_fleet.provenAt();
    const bool hasFailed = !m_mirror.isComplete() || !m_mirror.failure().empty();
    if (hasFailed != m_hasStoreFailed) {
        m_hasStoreFailed = hasFailed;
        telemetry::logWarning(hasFailed ? "store-lost" : "store-regained",
            { { "detail", m_mirror.failure() },
                { "proof_age_ms", provenAt ? toMilliseconds(now - *provenAt) : -1.0 } });
    }
    if (!provenAt || (m_provenAt && *provenAt <= *m_provenAt))
        return;
    m_provenAt = provenAt;
    m_traffic.confirmConfiguration(*provenAt);
}

void ControlLoop::publish()
{
    for (const auto& [key, item] : m_mirror.items()) {
        if (m_documents.isConfigurationKey(key) && item.value != m_configurationDocument && m_isConfigurationCompared)
            publishConfiguration(item);
    }
    publishRunners();
}

bool ControlLoop::compareConfiguration(TimePoint now)
{
    if (m_isConfigurationCompared)
        return false;
    m_comparison.begin(now);
    const auto others = m_fleet.knownIps(now);
    while (const auto other = m_comparison.next(others, m_random()))
        fetchConfiguration(*other);
    if (!m_comparison.isOver(others, now) || !m_mirror.items().contains(std::string(m_documents.configurationKey())))
        return false;
    m_isConfigurationCompared = true;
    const auto later = std::ranges::count_if(
        m_otherConfigurations, [&](const auto& configuration) { return m_mirror.takeLaterState(configuration); });
    telemetry::logInfo("configuration-compared",
        { { "answers", static_cast<std::uint64_t>(m_comparison.answers()) },
            { "later", static_cast<std::uint64_t>(later) } });
    m_otherConfigurations.clear();
    return true;
}

void ControlLoop::fetchConfiguration(const std::string& ip)
{
    m_fleet.fetchItem(
        ip, std::string(m_documents.configurationKey()), [this](const std::optional<std::vector<store::Item>>& items) {
            m_comparison.recordResult(items.has_value());
            if (items)
                m_otherConfigurations.insert(m_otherConfigurations.end(), items->begin(), items->end());
            if (compareConfiguration(currentTime()))
                publish();
        });
}

void ControlLoop::publishConfiguration(const store::Item& item)
{
    m_configurationDocument = item.value;
    auto configuration = m_documents.decodeConfiguration(item.value);
    if (!configuration) {
        telemetry::logError("configuration-unreadable",
            { { "store_revision", store::storeRevisionOf(item.revision) }, { "detail", configuration.error().what } });
        return;
    }
    if (configuration->revision <= m_configurationRevision) {
        telemetry::logWarning("configuration-ignored",
            { { "offered", configuration->revision }, { "revision", m_configurationRevision } });
        return;
    }
    m_configurationRevision = configuration->revision;
    telemetry::logInfo("configuration-adopted",
        { { "revision", configuration->revision }, { "store_revision", store::storeRevisionOf(item.revision) },
            { "routes", static_cast<std::uint64_t>(configuration->routes.size()) },
            { "organisations", static_cast<std::uint64_t>(configuration->organisations.size()) } });
    for (const auto& service : configuration->services) {
        if (service.hasUnusableColdStart)
            telemetry::logWarning(
                "cold-start-unusable", { { "service", service.name }, { "revision", configuration->revision } });
    }
    m_traffic.setRoutes(std::make_shared<const routing::RouteTable>(std::move(*configuration)));
}

void ControlLoop::publishRunners()
{
    std::vector<runners::RunnerEntry> entries;
    std::set<std::string> evacuated;
    std::map<std::string, store::Revision> unreadable;
    for (const auto& [key, item] : m_mirror.items()) {
        if (auto dataCentre = m_documents.evacuatedDataCentre(key))
            evacuated.insert(std::move(*dataCentre));
        if (!m_documents.isRunnerKey(key))
            continue;
        auto entry = m_documents.decodeRunner(key, item.value);
        if (entry) {
            if (entry->coldRemaining > Duration::zero())
                entry->coldRevision = item.revision;
            if (entry->hasUnusableColdTime && m_unusableColdTimes.insert(entry->id).second)
                telemetry::logWarning("cold-time-unusable", { { "runner", entry->id }, { "request", "" } });
            entries.push_back(std::move(*entry));
            continue;
        }
        unreadable[key] = item.revision;
        const auto logged = m_unreadableRunners.find(key);
        if (logged == m_unreadableRunners.end() || logged->second != item.revision)
            telemetry::logWarning("runner-unreadable", { { "key", key }, { "detail", entry.error().what } });
    }
    m_unreadableRunners = std::move(unreadable);
    if (entries == m_runners && evacuated == m_evacuated)
        return;
    // Cold runners state the time left with each heartbeat.
    if (!std::ranges::equal(entries, m_runners, {}, withoutColdTime, withoutColdTime)) {
        const auto leaving
            = std::count_if(entries.begin(), entries.end(), [](const auto& entry) { return entry.isLeaving; });
        telemetry::logInfo("runners-changed",
            { { "before", static_cast<std::uint64_t>(m_runners.size()) },
                { "runners", static_cast<std::uint64_t>(entries.size()) },
                { "leaving", static_cast<std::uint64_t>(leaving) } });
    }
    m_runners = entries;
    m_evacuated = evacuated;
    m_traffic.setRunners(std::move(entries), std::move(evacuated));
}

void ControlLoop::updateMetrics(TimePoint now)
{
    const auto& socket = m_fleet.socket();
    m_metrics.setGauge("eelgrassford_configuration_revision", static_cast<double>(m_configurationRevision));
    m_metrics.setGauge("eelgrassford_ready", isReady() ? 1.0 : 0.0);
    m_metrics.setGauge("eelgrassford_proof_age_seconds", m_provenAt ? toSeconds(now - *m_provenAt) : -1.0);
    m_metrics.setGauge("eelgrassford_members_heard", static_cast<double>(m_fleet.gossip().liveCount(now)));
    m_metrics.setGauge("eelgrassford_store_reader", m_fleet.isReader(now) ? 1.0 : 0.0);
    m_metrics.setGauge("eelgrassford_store_era", static_cast<double>(m_mirror.era().value_or(0)));
    m_metrics.setGauge("eelgrassford_kept_stream_origins", static_cast<double>(m_fleet.keptOrigins()));
    m_metrics.setTotal("eelgrassford_store_queries_total", static_cast<double>(m_mirror.queryCount()));
    m_metrics.setTotal("eelgrassford_peer_fetches_total", static_cast<double>(m_fleet.fetchCount()));
    m_metrics.setTotal("eelgrassford_fleet_sent_bytes_total", static_cast<double>(socket.sentBytes()));
    m_metrics.setTotal("eelgrassford_fleet_received_bytes_total", static_cast<double>(socket.receivedBytes()));
    m_metrics.setTotal("eelgrassford_fleet_rejected_total", static_cast<double>(socket.rejectedCount()));
    m_metrics.setTotal("eelgrassford_log_dropped_total", static_cast<double>(telemetry::droppedLines()));
}

void ControlLoop::reloadSettings(const char* trigger)
{
    m_settingsText = readFile(m_settingsPath);
    const auto settings = parseRelaySettings(m_settingsText);
    if (!settings) {
        telemetry::logError("reload-failed", { { "trigger", trigger }, { "detail", settings.error().message() } });
        return;
    }
    m_settings = *settings;
    m_fleet.applySettings(m_settings, currentTime());
    m_traffic.setSettings(m_settings);
    telemetry::logInfo("reload", { { "trigger", trigger }, { "host", m_settings.host } });
}

void ControlLoop::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        const ScopeExit waitForNext([this] { waitForSignal(); });
        if (signal == SIGHUP)
            reloadSettings("signal");
        else
            beginStop();
    });
}

void ControlLoop::beginStop()
{
    if (std::exchange(m_isStopping, true))
        return;
    telemetry::logInfo("stop-begin", {});
    m_traffic.beginStop([this] {
        asio::post(m_context, [this] {
            m_fleet.leave(currentTime());
            m_context.stop();
        });
    });
}

bool ControlLoop::isReady() const
{
    if (m_isStopping || m_configurationRevision == 0 || m_runners.empty() || !m_provenAt)
        return false;
    return currentTime() - *m_provenAt < m_settings.revocationDeadline;
}

std::string ControlLoop::statusJson() const
{
    const auto now = currentTime();
    const nlohmann::json status = {
        { "host", m_settings.host },
        { "ready", isReady() },
        { "configuration_revision", m_configurationRevision },
        { "runners", m_runners.size() },
        { "evacuated", m_evacuated },
        { "store_queries", m_mirror.queryCount() },
        { "proof_age_seconds", m_provenAt ? toSeconds(now - *m_provenAt) : -1.0 },
    };
    return status.dump() + "\n";
}

}
