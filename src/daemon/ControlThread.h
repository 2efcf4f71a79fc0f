#pragma once

#include "admission/AdmissionController.h"
#include "claims/ClaimsNode.h"
#include "config/ConfigurationStore.h"
#include "daemon/PeriodicTimer.h"
#include "daemon/Routing.h"
#include "daemon/Settings.h"
#include "dispatch/QuarantineRegistry.h"
#include "gateway/AdminServer.h"
#include "membership/View.h"
#include "peer/Mesh.h"
#include "placement/RunnerPool.h"
#include "platform/PlatformWatcher.h"
#include "telemetry/Metrics.h"
#include "upstream/CurlClient.h"
#include <asio.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <set>

namespace eelgrassford::daemon {

/// @brief Owns all control state: configuration, membership, placement, admission, claims and quarantine.
///
/// The public functions may be called from any thread; they post to the control thread, and callbacks run there.
class ControlThread {
public:
    ControlThread(const Settings& settings, telemetry::Metrics& metrics);
    ~ControlThread();

    /// @brief Runs until stop(); call on the thread that is to own the state.
    void run();
    /// @brief Shows unready to the balancer; requests are still served.
    void becomeUnready();
    /// @brief Begins a graceful stop; @a drained runs once when no request is under way or the time is over.
    void beginStop(std::function<void()> drained);
    void stop();

    /// @brief The configuration in force.
    config::ConfigurationStore::Snapshot configuration() const;

    /// @brief Decides where a request goes, or what it is answered.
    void route(RouteRequest request, RouteCallback callback);
    /// @brief Chooses again for an admitted request.
    /// @param excluded upstreams that failed it
    void reroute(Ticket ticket, std::vector<std::string> excluded, RouteCallback callback);
    /// @brief Reports how an attempt ended.
    void attemptEnded(Ticket ticket, std::string upstream, AttemptEnd end);
    /// @brief Ends an admitted request. Every admitted ticket must be finished once.
    void finish(Ticket ticket, RequestEnd end, claims::Answer answer);

private:
    enum class Stage { Claiming, Queued, Running };
    struct Active {
        RouteRequest request;
        RouteCallback callback;
        Stage stage = Stage::Claiming;
        std::string upstream;
        double work = 0.0;
        TimePoint sendBefore {};
    };
    struct DeathCheck {
        TimePoint startedAt {};
        std::vector<dispatch::RequestDigest> running;
        /// Requests that wait for the result, with the upstreams that failed them.
        std::vector<std::pair<Ticket, std::vector<std::string>>> waiting;
    };

    void tick(TimePoint now);
    void onMessage(const peer::HostId& from, const peer::Message& message);
    void onHostList(const membership::HostList& list, bool isFromPlatform);
    void onConfigured(const config::Manifest& manifest, config::Configuration configuration);
    void offerFromPeer(const peer::ConfigurationReply& reply);
    void applyConfiguration();
    void refreshFleets(TimePoint now);
    void updateCapacity();

    void apply(claims::ClaimsNode::Actions actions);
    void apply(const std::vector<admission::Decision>& decisions);
    void settle(const claims::Settle& settle);
    void admit(Active& active);
    void place(Active& active, std::span<const std::string> excluded);
    void placeAgain(Ticket ticket, std::span<const std::string> excluded);
    void refuse(Ticket ticket, const gateway::Problem& problem);
    void releaseWork(Active& active);
    placement::RunnerPool* fleetOf(const RouteRequest& request);

    void pollReports();
    void pollReport(const std::string& upstream);
    void onReport(const std::string& upstream, TimePoint startedAt, const upstream::CallResult& result,
        std::uint16_t status, const std::string& body);
    void settleDeathCheck(const std::string& upstream, TimePoint reportStartedAt, bool isDead);

    void broadcast(const peer::Message& message);
    void shareDigests();
    void updateReadiness(TimePoint now);
    void updateMetrics(TimePoint now);
    std::string statusJson();

    Settings m_settings;
    telemetry::Metrics& m_metrics;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    daemon::PeriodicTimer m_ticker;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt;

    config::ConfigurationStore m_store;
    mutable std::mutex m_snapshotMutex;
    config::ConfigurationStore::Snapshot m_snapshot;

    membership::View m_view;
    std::uint64_t m_viewGeneration = 0;
    std::set<std::string> m_neighbours;
    admission::AdmissionController m_admission;
    dispatch::QuarantineRegistry m_quarantine;
    std::optional<claims::ClaimsNode> m_claims;
    std::optional<std::pair<membership::HostList, bool>> m_pendingEntryHosts;
    std::map<std::string, placement::RunnerPool> m_fleets;
    std::map<Ticket, Active> m_active;
    std::map<std::string, std::string> m_instances;
    std::map<std::string, DeathCheck> m_deathChecks;
    std::set<std::string> m_reportsUnderWay;

    upstream::CurlClient m_client;
    platform::PlatformWatcher m_platform;
    peer::Mesh m_mesh;
    std::unique_ptr<peer::Transport> m_transport;
    std::unique_ptr<gateway::AdminServer> m_admin;

    std::map<std::string, std::uint64_t> m_peerRevisions;
    bool m_isReady = false;
    bool m_isStopping = false;
    TimePoint m_stopBy {};
    std::function<void()> m_drained;
    TimePoint m_nextConfigurationRequestAt {};
    TimePoint m_nextHostListRequestAt {};
    TimePoint m_nextHeartbeatAt {};
    TimePoint m_nextDigestAt {};
    TimePoint m_nextReportAt {};
    TimePoint m_nextMetricsAt {};
    TimePoint m_nextRefreshAt {};
    TimePoint m_listedAt {};
};

}
