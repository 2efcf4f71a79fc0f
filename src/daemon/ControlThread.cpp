#include "daemon/ControlThread.h"

#include "common/Hash.h"
#include "daemon/EventLoop.h"
#include "daemon/SystemClock.h"
#include "membership/Neighbours.h"
#include "peer/WebSocketTransport.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::daemon {

using telemetry::logError;
using telemetry::logInfo;
using telemetry::logWarning;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(10);
    constexpr Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time that a peer has to reply before another one is asked.
    constexpr Duration peerRequestInterval = std::chrono::milliseconds(500);
    constexpr Duration digestInterval = std::chrono::milliseconds(200);
    constexpr Duration metricsInterval = std::chrono::seconds(1);
    constexpr Duration poolRefreshInterval = std::chrono::seconds(1);
    /// Time without confirmation of its configuration after which a daemon that is not a reader reads the service
    /// itself.
    constexpr Duration fallbackReadDelay = std::chrono::seconds(10);
    /// Time that a starting daemon waits for its neighbours' heartbeats, which may announce a newer revision.
    constexpr Duration startupGracePeriod = std::chrono::seconds(2);
    constexpr std::size_t nonceLength = 16;
    constexpr std::size_t maxExceptionsPerDigest = 64;

    platform::PlatformWatcher::Options platformOptions(const Settings& settings)
    {
        platform::PlatformWatcher::Options options;
        options.configurationUrl = settings.configurationUrl;
        options.hostListUrl = settings.hostListUrl;
        return options;
    }

    admission::AdmissionController::Options admissionOptions(const Settings& settings)
    {
        admission::AdmissionController::Options options;
        options.queueLimit = settings.queueLimit;
        return options;
    }

    std::uint64_t newIncarnation()
    {
        // Only needs to differ between two runs of the daemon on one host.
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    }

    std::string newNonce()
    {
        std::random_device device;
        std::string nonce;
        while (nonce.size() < nonceLength) {
            const auto word = device();
            nonce.append(reinterpret_cast<const char*>(&word), sizeof(word));
        }
        return nonce;
    }

}

ControlThread::ControlThread(const Settings& settings, telemetry::Metrics& metrics)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_workGuard(m_context.get_executor())
    , m_tickTimer(m_context, tickInterval, [this](TimePoint now) { tick(now); })
    , m_random(std::random_device {}())
    , m_incarnation(newIncarnation())
    , m_startedAt(currentTime())
    , m_snapshot(m_store.snapshot())
    , m_admission(admissionOptions(settings), m_startedAt)
    , m_client(m_context)
    , m_platform(m_client, platformOptions(settings),
          { [this](const config::Manifest& manifest) {
               const auto result = m_store.evaluate(manifest);
               if (result == config::AdoptionResult::Current)
                   m_store.confirmCurrent(currentTime());
               if (result == config::AdoptionResult::Conflict) {
                   m_store.adopt(manifest, {}, currentTime());
                   logError("configuration-conflict",
                       { { "revision", manifest.revision }, { "offered_hash", manifest.hash },
                           { "hash", m_store.manifest().hash } });
               }
               return result == config::AdoptionResult::Adopted;
           },
              [this](const config::Manifest& manifest, config::Configuration configuration) {
                  adoptConfiguration(manifest, std::move(configuration));
              },
              [this](const membership::HostList& list) { onHostList(list, true); },
              [](const std::string& source, const std::string& detail) {
                  logWarning("platform-failure", { { "source", source }, { "detail", detail } });
              } },
          [this] { return std::uniform_real_distribution<double>()(m_random); })
    , m_mesh({ { settings.host, m_incarnation, settings.region, settings.dataCentre }, settings.fleetKeys }, newNonce,
          [this](const peer::HostId& from, const peer::Message& message) { onMessage(from, message); })
    , m_transport(peer::makeWebSocketTransport(m_context,
          { [this](peer::ConnectionId id, bool isAccepted) { m_mesh.handleOpened(id, isAccepted); },
              [this](peer::ConnectionId id, const std::string& frame) { m_mesh.handleFrame(id, frame); },
              [this](peer::ConnectionId id) { m_mesh.handleClosed(id, currentTime()); } }))
{
    m_mesh.setTransport(*m_transport);
    m_transport->listen(settings.peerListen.ip, settings.peerListen.port);
    m_admin = std::make_unique<gateway::AdminServer>(m_context, settings.adminListen.ip, settings.adminListen.port,
        gateway::AdminServer::Sources { [this] { return m_isReady && !m_isStopping; },
            [this] { return m_metrics.serialize(); }, [this] { return statusJson(); } });
}

ControlThread::~ControlThread() = default;

void ControlThread::run()
{
    m_tickTimer.start();
    runEventLoop(m_context, "control");
}

void ControlThread::stop()
{
    asio::post(m_context, [this] {
        m_transport->stop();
        m_workGuard.reset();
        m_context.stop();
    });
}

void ControlThread::becomeUnready()
{
    asio::post(m_context, [this] { m_isStopping = true; });
}

void ControlThread::beginStop(std::function<void()> onDrained)
{
    asio::post(m_context, [this, onDrained = std::move(onDrained)]() mutable {
        m_isStopping = true;
        m_onDrained = std::move(onDrained);
        m_stopDeadline = currentTime() + m_settings.stopTimeout;
        logInfo("stop-begin", { { "requests", static_cast<std::uint64_t>(m_active.size()) } });
    });
}

config::ConfigurationStore::Snapshot ControlThread::configuration() const
{
    const std::scoped_lock lock(m_snapshotMutex);
    return m_snapshot;
}

void ControlThread::tick(TimePoint now)
{
    m_view.tick(now);
    m_quarantine.tick(now);
    m_mesh.tick(now);
    const bool isFallbackReader = m_store.confirmationAge(now) >= fallbackReadDelay;
    m_platform.setConfigurationReader(
        isFallbackReader || membership::isConfigurationReader(m_view.list(), m_settings.host));
    m_platform.tick(now);
    if (m_view.generation() != m_viewGeneration || now >= m_nextPoolRefreshAt) {
        m_viewGeneration = m_view.generation();
        m_nextPoolRefreshAt = now + poolRefreshInterval;
        refreshPools(now);
    }
    if (m_claims)
        performActions(m_claims->tick(now));
    applyDecisions(m_admission.tick(now));
    if (now >= m_nextHeartbeatAt) {
        m_nextHeartbeatAt = now + heartbeatInterval;
        broadcast(peer::Heartbeat { m_store.revision(), m_store.manifest().hash, m_view.revision(), m_isReady });
    }
    if (now >= m_nextDigestAt) {
        m_nextDigestAt = now + digestInterval;
        broadcastDigests();
    }
    if (now >= m_nextLoadReportAt) {
        m_nextLoadReportAt = now + m_settings.reportInterval;
        pollLoadReports();
    }
    updateReadiness(now);
    if (now >= m_nextMetricsAt) {
        m_nextMetricsAt = now + metricsInterval;
        updateMetrics(now);
    }
    if (m_onDrained && (m_active.empty() || now >= m_stopDeadline)) {
        if (m_claims)
            performActions(m_claims->replicateAnswers(now));
        logInfo("stop-drained", { { "cut", static_cast<std::uint64_t>(m_active.size()) } });
        std::exchange(m_onDrained, nullptr)();
    }
}

void ControlThread::onMessage(const peer::HostId& from, const peer::Message& message)
{
    const auto now = currentTime();
    if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&message)) {
        m_peerRevisions[from] = heartbeat->configurationRevision;
        if (heartbeat->configurationRevision == m_store.revision() && m_store.revision() > 0) {
            if (heartbeat->configurationHash == m_store.manifest().hash)
                m_store.confirmCurrent(now);
            else
                logError("configuration-conflict", { { "revision", m_store.revision() }, { "peer", from } });
        }
        // Asks one peer at a time, not every peer that has a newer revision.
        if (heartbeat->configurationRevision > m_store.revision() && now >= m_nextConfigurationRequestAt) {
            m_nextConfigurationRequestAt = now + peerRequestInterval;
            peer::ConfigurationRequest request;
            for (const auto& [hash, text] : m_platform.parts())
                request.heldParts.push_back(hash);
            m_mesh.send(from, request);
        }
        if (heartbeat->hostListRevision > m_view.revision() && now >= m_nextHostListRequestAt) {
            m_nextHostListRequestAt = now + peerRequestInterval;
            m_mesh.send(from, peer::HostListRequest {});
        }
    } else if (const auto* request = std::get_if<peer::ConfigurationRequest>(&message)) {
        peer::ConfigurationReply reply { m_store.manifest(), {} };
        for (const auto& hash : reply.manifest.parts) {
            const auto found = m_platform.parts().find(hash);
            const bool isHeld
                = std::find(request->heldParts.begin(), request->heldParts.end(), hash) != request->heldParts.end();
            if (!isHeld && found != m_platform.parts().end())
                reply.parts.push_back(found->second);
        }
        m_mesh.send(from, reply);
    } else if (const auto* reply = std::get_if<peer::ConfigurationReply>(&message)) {
        adoptFromPeer(*reply);
    } else if (std::holds_alternative<peer::HostListRequest>(message)) {
        m_mesh.send(from, peer::HostListReply { m_view.list() });
    } else if (const auto* list = std::get_if<peer::HostListReply>(&message)) {
        onHostList(list->list, false);
    } else if (const auto* digest = std::get_if<peer::PlacementDigest>(&message)) {
        const auto found = m_pools.find(digest->model);
        if (found == m_pools.end())
            return;
        for (const auto& delta : digest->workDeltas)
            found->second.addPeerWork(delta.runner, delta.work, now);
        for (const auto& item : digest->exceptions) {
            const auto runner = found->second.indexOf(item.runner);
            if (item.runner.empty() || runner != placement::noRunner)
                found->second.exceptions().applyFromPeer(
                    { item.chat, runner, found->second.indexOf(item.previous), item.tokens });
        }
    } else if (const auto* demand = std::get_if<peer::DemandDigest>(&message)) {
        m_admission.recordPeerDemand(from, demand->demand, now);
    } else if (const auto* notice = std::get_if<peer::QuarantineNotice>(&message)) {
        m_quarantine.quarantine(notice->requestDigest, now);
        logWarning("quarantine-learned", { { "request", toHex(notice->requestDigest) }, { "peer", from } });
    } else if (m_claims) {
        std::visit(
            [&](const auto& content) {
                if constexpr (std::is_constructible_v<claims::Message, decltype(content)>)
                    performActions(m_claims->receive(from, content, now));
            },
            message);
    }
}

void ControlThread::onHostList(const membership::HostList& list, bool isFromPlatform)
{
    const auto now = currentTime();
    if (m_view.apply(list, now)) {
        logInfo("host-list",
            { { "revision", list.revision }, { "hosts", static_cast<std::uint64_t>(list.hosts.size()) },
                { "source", isFromPlatform ? "platform" : "peer" } });
        if (m_firstHostListAt == TimePoint {})
            m_firstHostListAt = now;
        m_platform.setKnownRevisions(0, list.revision);
        m_neighbours = membership::chooseNeighbours(list, m_settings.host);
        std::vector<peer::PeerAddress> peers;
        for (const auto& host : list.hosts) {
            const auto address = Address::parse(host.peerAddress);
            if (host.role == membership::HostRole::Entry && address)
                peers.push_back({ host.id, address->ip, address->port });
        }
        m_mesh.setPeers(peers);
        broadcast(peer::Heartbeat { m_store.revision(), m_store.manifest().hash, m_view.revision(), m_isReady });
    }
    if (!m_claims || list.revision < m_view.revision())
        return;
    std::vector<claims::EntryHost> hosts;
    for (const auto& host : list.hosts) {
        if (host.role == membership::HostRole::Entry)
            hosts.push_back({ host.id, host.dataCentre });
    }
    performActions(m_claims->setHosts(list.revision, hosts, isFromPlatform, now));
}

void ControlThread::adoptConfiguration(const config::Manifest& manifest, config::Configuration configuration)
{
    if (m_store.adopt(manifest, std::move(configuration), currentTime()) != config::AdoptionResult::Adopted)
        return;
    logInfo("configuration-adopted", { { "revision", manifest.revision }, { "hash", manifest.hash } });
    m_platform.setKnownRevisions(manifest.revision, 0);
    m_platform.removeUnlistedParts(manifest);
    applyConfiguration();
    broadcast(peer::Heartbeat { m_store.revision(), m_store.manifest().hash, m_view.revision(), m_isReady });
}

void ControlThread::adoptFromPeer(const peer::ConfigurationReply& reply)
{
    if (m_store.evaluate(reply.manifest) != config::AdoptionResult::Adopted)
        return;
    for (const auto& part : reply.parts)
        m_platform.addPart(part);
    auto configuration
        = config::assemble(reply.manifest, [this](const std::string& hash) -> std::optional<std::string> {
              const auto found = m_platform.parts().find(hash);
              return found == m_platform.parts().end() ? std::nullopt : std::optional(found->second);
          });
    if (configuration)
        adoptConfiguration(reply.manifest, std::move(*configuration));
    else
        logWarning("configuration-refused",
            { { "revision", reply.manifest.revision }, { "detail", configuration.error().message() } });
}

void ControlThread::applyConfiguration()
{
    const auto now = currentTime();
    const auto snapshot = m_store.snapshot();
    {
        const std::scoped_lock lock(m_snapshotMutex);
        m_snapshot = snapshot;
    }
    std::vector<admission::OrganisationLimits> limits;
    for (const auto& organisation : snapshot->organisations)
        limits.push_back({ organisation.name, organisation.weight, organisation.ratePerSecond,
            static_cast<double>(organisation.concurrency) });
    m_admission.setLimits(limits, now);
    refreshPools(now);
}

void ControlThread::refreshPools(TimePoint now)
{
    const auto snapshot = m_store.snapshot();
    auto refresh = [&](const std::string& name, const std::string& strategy, double loadBound, auto&& serves) {
        const auto random = [this] { return m_random(); };
        const auto [position, isNew] = m_pools.try_emplace(name, placement::RunnerPool::Options {}, nullptr);
        auto& pool = position->second;
        pool.setLoadBound(loadBound);
        if (!pool.setStrategy(strategy, random)) {
            pool.setStrategy("bounded-load", random);
            if (isNew)
                logError("unknown-strategy", { { "model", name }, { "strategy", strategy } });
        }
        std::vector<membership::Host> hosts;
        for (const auto& host : m_view.list().hosts) {
            if (host.region == m_settings.region && serves(host))
                hosts.push_back(host);
        }
        pool.update(hosts, m_view, now);
    };
    auto contains = [](const auto& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    for (const auto& model : snapshot->models) {
        refresh(model.name, model.strategy, model.loadBound, [&](const membership::Host& host) {
            return host.role == membership::HostRole::ModelRunner && contains(host.models, model.name);
        });
    }
    for (const auto& service : snapshot->services) {
        if (service.kind == config::ServiceKind::Application) {
            refresh("service:" + service.name, "two-choices", 2.0, [&](const membership::Host& host) {
                return host.role == membership::HostRole::ApplicationRunner && contains(host.services, service.name);
            });
        }
    }
    updateCapacity();
}

void ControlThread::updateCapacity()
{
    double capacity = 0.0;
    std::size_t daemons = 0;
    for (const auto& [id, member] : m_view.members()) {
        if (member.host.role == membership::HostRole::Entry)
            daemons += member.state == membership::HostState::Leaving ? 0 : 1;
        else if (m_view.isEligible(id))
            capacity += member.host.weight * m_settings.requestsPerRunner;
    }
    m_admission.setFleetSize(daemons);
    m_admission.setCapacity(capacity / static_cast<double>(std::max<std::size_t>(1, daemons)));
}

void ControlThread::broadcast(const peer::Message& message)
{
    for (const auto& neighbour : m_neighbours)
        m_mesh.send(neighbour, message);
}

void ControlThread::broadcastDigests()
{
    for (auto& [name, pool] : m_pools) {
        peer::PlacementDigest digest;
        digest.model = name;
        for (const auto& delta : pool.takeWorkDeltas())
            digest.workDeltas.push_back({ delta.runner, delta.work });
        for (const auto& item : pool.exceptions().takeChanges(maxExceptionsPerDigest))
            digest.exceptions.push_back({ item.chat, pool.idOf(item.runner), item.tokens, pool.idOf(item.previous) });
        if (!digest.workDeltas.empty() || !digest.exceptions.empty())
            broadcast(digest);
    }
    const auto demand = m_admission.demand(currentTime());
    if (!demand.empty())
        broadcast(peer::DemandDigest { demand });
}

void ControlThread::updateReadiness(TimePoint now)
{
    const bool hasInitialState = m_store.revision() > 0 && m_view.revision() > 0;
    if (hasInitialState && !m_claims) {
        claims::ClaimsNode::Options options;
        options.self = m_settings.host;
        options.incarnation = m_incarnation;
        options.timing.retention = m_settings.claimRetention;
        options.isFirstStart = m_settings.firstStartRevision == m_store.revision();
        m_claims.emplace(options, m_startedAt);
        onHostList(m_view.list(), false);
    }
    if (m_isReady || !hasInitialState)
        return;
    // Waits for the neighbours' revisions, because a stale configuration service must not return a running fleet to an
    // older configuration.
    const bool hasHeardFromAllNeighbours = std::all_of(
        m_neighbours.begin(), m_neighbours.end(), [&](const auto& id) { return m_peerRevisions.contains(id); });
    const bool isBehind = std::any_of(m_peerRevisions.begin(), m_peerRevisions.end(),
        [&](const auto& item) { return item.second > m_store.revision(); });
    if (isBehind || (!hasHeardFromAllNeighbours && now - m_firstHostListAt < startupGracePeriod))
        return;
    m_isReady = true;
    logInfo("ready",
        { { "revision", m_store.revision() },
            { "peers", static_cast<std::uint64_t>(m_mesh.connectedHosts().size()) } });
}

}
