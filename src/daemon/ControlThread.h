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
/// One thread owns the state and executes run(). The other public functions may be called from any thread: they post
/// their work to the control thread, where the callbacks run too. configuration() reads a locked snapshot instead.
class ControlThread {
public:
    ControlThread(const Settings& settings, telemetry::Metrics& metrics);
    ~ControlThread();

    /// @brief Runs the event loop until stop(); the calling thread becomes the control thread.
    void run();
    /// @brief Reports "not ready" to the load balancer's health check; requests are still served.
    void becomeUnready();
    /// @brief Begins a graceful stop.
    /// @param onDrained called once when no request is in flight or Settings::stopTimeout has passed
    void beginStop(std::function<void()> onDrained);
    /// @brief Closes the peer connections and makes run() return.
    void stop();

    /// @brief Returns the configuration in force.
    config::ConfigurationStore::Snapshot configuration() const;

    /// @brief Claims, admits and places a request.
    /// @param callback called at most once, with a route, the kept answer of an earlier request with the same key, or a
    /// refusal
    void route(RouteRequest request, RouteCallback callback);
    /// @brief Chooses another upstream for an admitted request.
    /// @param excluded upstreams whose attempts failed, in the order of the attempts
    void reroute(Ticket ticket, std::vector<std::string> excluded, RouteCallback callback);
    /// @brief Records how an attempt at an upstream ended and releases the work that the request placed on it.
    void recordAttemptEnd(Ticket ticket, std::string upstream, AttemptEnd end);
    /// @brief Ends a request and its claim. Every admitted request must be finished once; an unknown ticket is ignored.
    /// @param answer kept for later requests with the same idempotency key if @a end is Answered
    void finish(Ticket ticket, RequestEnd end, claims::Answer answer);

private:
    enum class Stage { Claiming, Queued, Running };
    struct ActiveRequest {
        RouteRequest request;
        RouteCallback callback;
        Stage stage = Stage::Claiming;
        /// Upstream of the attempt that is running; empty if there is none.
        std::string upstream;
        /// Estimated work that was added to the upstream's load.
        double work = 0.0;
        /// The request must not be sent after this time: the deadline of the caller or of the claim.
        TimePoint sendBefore {};
    };
    /// Finds out whether an upstream crashed after a connection to it broke.
    struct CrashCheck {
        TimePoint startedAt {};
        /// Requests that ran on the upstream when the connection broke.
        std::vector<dispatch::RequestDigest> running;
        /// Retries that wait for the result, each with the upstreams to exclude.
        std::vector<std::pair<Ticket, std::vector<std::string>>> waiting;
    };

    void tick(TimePoint now);
    void onMessage(const peer::HostId& from, const peer::Message& message);
    void onHostList(const membership::HostList& list, bool isFromPlatform);
    void adoptConfiguration(const config::Manifest& manifest, config::Configuration configuration);
    void adoptFromPeer(const peer::ConfigurationReply& reply);
    void applyConfiguration();
    void refreshPools(TimePoint now);
    void updateCapacity();

    void performActions(claims::ClaimsNode::Actions actions);
    void applyDecisions(const std::vector<admission::Decision>& decisions);
    void deliverOutcome(const claims::Settle& settle);
    void submitForAdmission(ActiveRequest& active);
    void place(ActiveRequest& active, std::span<const std::string> excluded);
    void retryPlacement(Ticket ticket, std::span<const std::string> excluded);
    void refuse(Ticket ticket, const gateway::Problem& problem);
    void releaseWork(ActiveRequest& active);
    placement::RunnerPool* findPool(const RouteRequest& request);

    void pollLoadReports();
    void pollLoadReport(const std::string& upstream);
    void onLoadReport(const std::string& upstream, TimePoint startedAt, const upstream::CallResult& result,
        std::uint16_t status, const std::string& body);
    void resolveCrashCheck(const std::string& upstream, TimePoint reportStartedAt, bool hasCrashed);

    void broadcast(const peer::Message& message);
    void broadcastDigests();
    void updateReadiness(TimePoint now);
    void updateMetrics(TimePoint now);
    std::string statusJson();

    Settings m_settings;
    telemetry::Metrics& m_metrics;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    daemon::PeriodicTimer m_tickTimer;
    std::mt19937_64 m_random;
    /// Distinguishes this run of the daemon from earlier runs on the same host.
    std::uint64_t m_incarnation;
    TimePoint m_startedAt;

    config::ConfigurationStore m_store;
    /// Guards m_snapshot, which the traffic threads read.
    mutable std::mutex m_snapshotMutex;
    config::ConfigurationStore::Snapshot m_snapshot;

    membership::View m_view;
    std::uint64_t m_viewGeneration = 0;
    /// Daemons that this daemon sends its heartbeats and digests to.
    std::set<std::string> m_neighbours;
    admission::AdmissionController m_admission;
    dispatch::QuarantineRegistry m_quarantine;
    /// Empty until the first configuration and the first host list have arrived.
    std::optional<claims::ClaimsNode> m_claims;
    std::optional<std::pair<membership::HostList, bool>> m_pendingEntryHosts;
    /// By model name, or by "service:" and the name of an application service.
    std::map<std::string, placement::RunnerPool> m_pools;
    std::map<Ticket, ActiveRequest> m_active;
    /// Instance id of each upstream's last load report; a new one means that the upstream restarted.
    std::map<std::string, std::string> m_upstreamInstances;
    std::map<std::string, CrashCheck> m_crashChecks;
    /// Upstreams whose load report is being fetched.
    std::set<std::string> m_pendingLoadReports;

    upstream::CurlClient m_client;
    platform::PlatformWatcher m_platform;
    peer::Mesh m_mesh;
    std::unique_ptr<peer::Transport> m_transport;
    std::unique_ptr<gateway::AdminServer> m_admin;

    /// Configuration revision of each peer, as of its last heartbeat.
    std::map<std::string, std::uint64_t> m_peerRevisions;
    bool m_isReady = false;
    bool m_isStopping = false;
    TimePoint m_stopDeadline {};
    std::function<void()> m_onDrained;
    TimePoint m_nextConfigurationRequestAt {};
    TimePoint m_nextHostListRequestAt {};
    TimePoint m_nextHeartbeatAt {};
    TimePoint m_nextDigestAt {};
    TimePoint m_nextLoadReportAt {};
    TimePoint m_nextMetricsAt {};
    TimePoint m_nextPoolRefreshAt {};
    TimePoint m_firstHostListAt {};
};

}
