#pragma once

#include "dispatch/CrashRegistry.h"
#include "dispatch/WindowedRetryBudget.h"
#include "fleet/Members.h"
#include "gateway/Http.h"
#include "proxy/Codec.h"
#include "proxy/OverloadControl.h"
#include "proxy/PromptIndex.h"
#include "routing/RouteTable.h"
#include "runners/Placement.h"
#include "runners/Registry.h"
#include "telemetry/LineBudget.h"
#include "telemetry/Metrics.h"
#include "upstream/ConnectionPool.h"
#include <asio.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace eelgrassford::proxy {

class Session;

/// @brief Figures that decide how requests are relayed.
struct RouterOptions {
    std::string dataCentre;
    /// Oldest proof of contact with the source of the configuration with which credentials are honoured.
    Duration credentialLease = std::chrono::milliseconds(5000);
    dispatch::WindowedRetryBudget::Options retryBudget;
    runners::PlacementOptions placement;
    runners::RegistryOptions registry;
    upstream::ConnectionPoolOptions connections;
    /// Silence between events of a resumable stream after which it goes on elsewhere.
    Duration streamIdleTimeout = std::chrono::milliseconds(1200);
    /// Multiple of the route's latency objective after which an unanswered repeatable request is tried elsewhere.
    double attemptTimeoutFactor = 2.0;
    /// Largest part of the time of a request that the first runner may be silent.
    double attemptTimeoutShare = 0.5;
    /// Sessions whose last runner is remembered; a session takes about 150 bytes.
    std::size_t promptIndexCapacity = 20000;
    /// Log lines of plain requests in a second; a busy daemon of the target size serves 76 requests.
    std::uint32_t routineLinesPerSecond = 150;
};

/// @brief Everything that decides on relayed requests on one traffic thread. Not safe to share between threads.
class Router {
public:
    using Clock = std::function<TimePoint()>;

    Router(asio::io_context& context, const RouterOptions& options, const Codec& codec, telemetry::Metrics& metrics,
        Clock clock);

    /// @brief Handles one request of a caller.
    void handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder);

    void setOptions(const RouterOptions& options);
    void setRoutes(std::shared_ptr<const routing::RouteTable> routes) { m_routes = std::move(routes); }
    void setRunners(std::span<const runners::RunnerEntry> entries);
    /// @brief Takes the newest time at which the configuration in force was known to be current.
    void confirmConfiguration(TimePoint provenAt);
    /// @brief What this daemon knows of the runners, for the other daemons.
    std::vector<fleet::RunnerState> runnerStates(TimePoint now) const;
    std::vector<dispatch::CrashRecord> crashRecords() const { return m_crashes.records(); }
    /// @brief Takes what the other daemons know.
    void setPeerSummaries(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries);
    void learnCrashes(std::span<const dispatch::CrashRecord> records);
    /// @brief From now on only requests that surely end before @a end are taken.
    void beginStop(TimePoint end) { m_stopBy = end; }
    /// @brief Closes idle connections that are due; call a few times a second.
    void sweep(TimePoint now);
    /// @brief The process was suspended: kept connections may be dead.
    void onProcessResumed(TimePoint now);

    /// @brief Probes runners that fell silent under requests, so that these need not wait for a dead one.
    void probeSilentRunners();
    /// @brief Brings the gauges of this loop up to date.
    void updateMetrics(TimePoint now);

    bool hasRoutes() const { return m_routes != nullptr; }
    bool hasRunners() const { return !m_registry.runners().empty(); }
    bool isCredentialLeaseValid(TimePoint now) const;
    std::size_t requestsInFlight() const { return m_sessions.size(); }

private:
    friend class Session;

    using ProbeResult = upstream::ConnectionPool::ProbeResult;

    /// Whether a probe shows that a runner is gone.
    bool provesDeath(ProbeResult result, TimePoint begunAt) const;
    /// A runner could not be reached: nothing more is expected of it.
    void abandon(const std::string& runner);

    struct Refusal {
        std::uint16_t status = 503;
        const char* reason = "";
        std::optional<Duration> retryAfter;
    };

    /// What a request may have, or why it is refused.
    struct Admission {
        const routing::Route* route = nullptr;
        std::string organisation;
        /// The organisation's priority, or else the route's.
        std::uint32_t priority = 0;
        std::optional<Refusal> refusal;
    };

    Admission admit(const gateway::HttpRequest& request, const RequestMetadata& facts, TimePoint now) const;
    std::optional<Refusal> refuseWhileStopping(const routing::Route& route, TimePoint now) const;
    /// Refuses a request that its service cannot serve in time.
    std::optional<Refusal> refuseUnderOverload(
        const RequestMetadata& facts, const Admission& admission, const std::string& service, TimePoint now);
    /// Finds out whether a runner that broke a connection is dead, and whether the request may be the cause.
    void examine(const std::string& runner, dispatch::RequestDigest request);
    void refuse(gateway::Responder& responder, const RequestMetadata& facts, const Refusal& refusal);
    Duration jitter(Duration mean);
    upstream::ConnectionPool& poolOf(const runners::Runner& runner);
    std::uint64_t draw() { return m_random(); }
    double unitDraw() { return std::uniform_real_distribution<double>()(m_random); }
    dispatch::WindowedRetryBudget& budgetOf(const std::string& service, TimePoint now);
    TimePoint now() const { return m_clock(); }

    asio::io_context& m_context;
    RouterOptions m_options;
    const Codec& m_codec;
    telemetry::Metrics& m_metrics;
    Clock m_clock;
    std::mt19937_64 m_random;
    std::shared_ptr<const routing::RouteTable> m_routes;
    runners::Registry m_registry;
    OverloadControl m_overload;
    std::map<std::string, std::unique_ptr<upstream::ConnectionPool>> m_pools;
    std::map<std::string, dispatch::WindowedRetryBudget> m_budgets;
    /// Connections opened to runners that are gone, by service.
    std::map<std::string, std::uint64_t> m_pastConnections;
    PromptIndex m_prompts;
    dispatch::CrashRegistry m_crashes;
    std::optional<TimePoint> m_stopBy;
    telemetry::LineBudget m_plainLines;
    std::optional<TimePoint> m_provenAt;
    TimePoint m_startedAt;
    std::set<Session*> m_sessions;
};

}
