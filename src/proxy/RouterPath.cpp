#include "proxy/Router.h"

#include "telemetry/DecisionLog.h"
#include <algorithm>

namespace eelgrassford::proxy {

namespace {

    /// Time for which a daemon that reaches no runner is asked last.
    constexpr Duration unservingTime = std::chrono::seconds(1);

}

void Router::logPath(TimePoint now)
{
    const auto path = runners::pathState(m_registry, now);
    m_metrics.setGauge("eelgrassford_path_lost", path.isLost ? 1.0 : 0.0);
    if (path.isLost == m_pathLostAt.has_value())
        return;
    if (path.isLost) {
        m_pathLostAt = now;
        telemetry::logWarning("path-lost",
            { { "unreachable", static_cast<std::uint64_t>(path.unreachable) },
                { "runners", static_cast<std::uint64_t>(path.runners) }, { "served_for_others", path.servedForOthers },
                { "silence_ms", toMilliseconds(path.silence) } });
    } else {
        telemetry::logInfo("path-regained",
            { { "after_ms", toMilliseconds(now - *std::exchange(m_pathLostAt, std::nullopt)) },
                { "unreachable", static_cast<std::uint64_t>(path.unreachable) } });
    }
}

void Router::probePath()
{
    std::vector<runners::Runner*> candidates;
    for (const auto& [id, runner] : m_registry.runners()) {
        if (!runner->isLeaving())
            candidates.push_back(runner.get());
    }
    if (candidates.empty() || std::exchange(m_isProbingPath, true))
        return;
    const auto& chosen = *candidates[draw() % candidates.size()];
    poolOf(chosen).probe([this, id = chosen.entry.id](ProbeResult result) {
        m_isProbingPath = false;
        auto* runner = m_registry.find(id);
        if (!runner || result != ProbeResult::Accepted)
            return;
        m_registry.recordReceived(*runner, m_clock());
        logPath(m_clock());
    });
}

bool Router::isDaemon(std::string_view ip) const
{
    return std::find(m_otherIps.begin(), m_otherIps.end(), ip) != m_otherIps.end();
}

std::string Router::chooseDaemon(std::span<const std::string> excluded, TimePoint now)
{
    if (m_options.callerPort == 0)
        return {};
    std::erase_if(m_unservingSince, [&](const auto& daemon) { return now - daemon.second > unservingTime; });
    std::vector<std::string> candidates;
    std::vector<std::string> unserving;
    for (const auto& ip : m_otherIps) {
        if (std::find(excluded.begin(), excluded.end(), ip) == excluded.end())
            (m_unservingSince.contains(ip) ? unserving : candidates).push_back(ip);
    }
    // If this daemon reaches other runners, those of the service have ended, and nobody serves it.
    if (candidates.empty() && isPathLost())
        candidates = std::move(unserving);
    if (candidates.empty())
        return {};
    return candidates[draw() % candidates.size()];
}

upstream::ConnectionPool& Router::poolOf(const runners::Runner& runner)
{
    auto& pool = m_pools[runner.entry.id];
    if (!pool)
        pool = std::make_unique<upstream::ConnectionPool>(m_context, runner.entry.ip, runner.entry.port, m_clock,
            m_options.connections, [this, id = runner.entry.id] { onIdleConnectionsClosed(id); });
    return *pool;
}

void Router::onIdleConnectionsClosed(const std::string& id)
{
    auto* runner = m_registry.find(id);
    if (!runner)
        return;
    m_registry.recordDisconnection(*runner, now());
    poolOf(*runner).probe([this, id, begunAt = now()](ProbeResult result) {
        auto* probed = m_registry.find(id);
        if (!probed)
            return;
        const bool isDead = isUnreachable(result, begunAt);
        telemetry::logInfo("idle-connections-closed",
            { { "runner", id }, { "version", probed->entry.version }, { "reachable", result == ProbeResult::Accepted },
                { "dead", isDead } });
        if (result == ProbeResult::Accepted)
            m_registry.recordReconnection(*probed);
        else if (isDead)
            m_registry.recordObservation(*probed, runners::Observation::CannotConnect, now());
    });
}

upstream::ConnectionPool& Router::poolOfDaemon(const std::string& ip)
{
    auto& pool = m_daemonPools[ip];
    if (!pool)
        pool = std::make_unique<upstream::ConnectionPool>(
            m_context, ip, m_options.callerPort, m_clock, m_options.connections);
    return *pool;
}

}
