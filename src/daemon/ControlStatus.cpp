#include "daemon/ControlThread.h"
#include "daemon/SystemClock.h"
#include <nlohmann/json.hpp>

namespace eelgrassford::daemon {

namespace {

    std::string_view nameOf(membership::HostState state)
    {
        switch (state) {
        case membership::HostState::Live:
            return "live";
        case membership::HostState::Suspect:
            return "suspect";
        case membership::HostState::Leaving:
            return "leaving";
        }
        return "unknown";
    }

    std::string_view nameOf(membership::HostRole role)
    {
        switch (role) {
        case membership::HostRole::Entry:
            return "entry";
        case membership::HostRole::ModelRunner:
            return "model-runner";
        case membership::HostRole::ApplicationRunner:
            return "application-runner";
        }
        return "unknown";
    }

}

void ControlThread::updateMetrics(TimePoint now)
{
    m_metrics.setGauge("eelgrassford_configuration_revision", static_cast<double>(m_store.revision()));
    m_metrics.setGauge("eelgrassford_configuration_age_seconds",
        m_store.revision() > 0 ? toSeconds(m_store.confirmationAge(now)) : 0.0);
    m_metrics.setTotal("eelgrassford_configuration_conflicts_total", static_cast<double>(m_store.conflictCount()));
    m_metrics.setGauge("eelgrassford_host_list_revision", static_cast<double>(m_view.revision()));
    m_metrics.setTotal("eelgrassford_host_lists_ignored_total", static_cast<double>(m_view.ignoredEmptyLists()));
    m_metrics.setTotal("eelgrassford_platform_calls_total", static_cast<double>(m_platform.callCount()));
    m_metrics.setGauge("eelgrassford_peers_connected", static_cast<double>(m_mesh.connectedHosts().size()));
    m_metrics.setGauge("eelgrassford_ready", m_isReady && !m_isStopping ? 1.0 : 0.0);
    m_metrics.setGauge("eelgrassford_claims_ready", m_claims && m_claims->isReady() ? 1.0 : 0.0);
    m_metrics.setGauge("eelgrassford_claims_grants", m_claims ? static_cast<double>(m_claims->grantCount()) : 0.0);
    m_metrics.setGauge("eelgrassford_claims_records", m_claims ? static_cast<double>(m_claims->recordCount()) : 0.0);
    m_metrics.setGauge("eelgrassford_requests_running", static_cast<double>(m_admission.running()));
    m_metrics.setGauge("eelgrassford_requests_queued", static_cast<double>(m_admission.queued()));
    m_metrics.setGauge("eelgrassford_quarantined_requests", static_cast<double>(m_quarantine.size()));
    std::map<std::pair<std::string, std::string>, double> hosts;
    for (const auto& [id, member] : m_view.members())
        hosts[{ std::string(nameOf(member.host.role)), std::string(nameOf(member.state)) }] += 1.0;
    for (const auto role : { "entry", "model-runner", "application-runner" }) {
        for (const auto state : { "live", "suspect", "leaving" })
            m_metrics.setGauge("eelgrassford_hosts", hosts[{ role, state }], { { "role", role }, { "state", state } });
    }
    for (auto& [name, pool] : m_pools) {
        m_metrics.setGauge("eelgrassford_load_skew", pool.skew(), { { "model", name } });
        m_metrics.setGauge(
            "eelgrassford_placement_exceptions", static_cast<double>(pool.exceptions().size()), { { "model", name } });
        for (const auto& member : pool.members())
            m_metrics.setGauge("eelgrassford_runner_load", pool.loads().load(member.index),
                { { "model", name }, { "upstream", pool.idOf(member.index) } });
    }
    for (std::size_t kind = 0; kind < m_mesh.counters().size(); ++kind) {
        const auto& counters = m_mesh.counters()[kind];
        const telemetry::Metrics::Labels labels { { "kind", std::string(peer::kindName(kind)) } };
        m_metrics.setTotal("eelgrassford_peer_sent_bytes_total", static_cast<double>(counters.bytesSent), labels);
        m_metrics.setTotal(
            "eelgrassford_peer_received_bytes_total", static_cast<double>(counters.bytesReceived), labels);
        m_metrics.setTotal("eelgrassford_peer_sent_messages_total", static_cast<double>(counters.messagesSent), labels);
    }
    m_metrics.setTotal("eelgrassford_peer_rejected_frames_total", static_cast<double>(m_mesh.rejectedFrames()));
    m_metrics.setTotal("eelgrassford_peer_dropped_frames_total", static_cast<double>(m_mesh.droppedFrames()));
}

std::string ControlThread::statusJson()
{
    const auto now = currentTime();
    nlohmann::json status {
        { "host", m_settings.host },
        { "region", m_settings.region },
        { "data_centre", m_settings.dataCentre },
        { "ready", m_isReady && !m_isStopping },
        { "stopping", m_isStopping },
        { "uptime_seconds", toSeconds(now - m_startedAt) },
        { "configuration",
            { { "revision", m_store.revision() }, { "hash", m_store.manifest().hash },
                { "age_seconds", toSeconds(m_store.confirmationAge(now)) },
                { "conflicts", m_store.conflictCount() } } },
        { "host_list", { { "revision", m_view.revision() } } },
        { "claims",
            { { "ready", m_claims && m_claims->isReady() }, { "grants", m_claims ? m_claims->grantCount() : 0 },
                { "records", m_claims ? m_claims->recordCount() : 0 } } },
        { "requests", { { "running", m_admission.running() }, { "queued", m_admission.queued() } } },
        { "peers", m_mesh.connectedHosts() },
    };
    for (const auto& [id, member] : m_view.members()) {
        status["hosts"].push_back({ { "id", id }, { "role", nameOf(member.host.role) },
            { "data_centre", member.host.dataCentre }, { "state", nameOf(member.state) } });
    }
    for (auto& [name, pool] : m_pools) {
        nlohmann::json runners = nlohmann::json::array();
        for (const auto& member : pool.members())
            runners.push_back({ { "id", pool.idOf(member.index) }, { "load", pool.loads().load(member.index) } });
        status["models"].push_back({ { "name", name }, { "skew", pool.skew() }, { "mean_load", pool.loads().mean() },
            { "runners", runners } });
    }
    return status.dump();
}

}
