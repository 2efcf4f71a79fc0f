#pragma once

#include "dispatch/CrashRegistry.h"
#include "dispatch/StreamOrigins.h"
#include "dispatch/WindowedRetryBudget.h"
#include "fleet/Members.h"
#include "gateway/Http.h"
#include "proxy/CacheQueries.h"
#include "proxy/Codec.h"
#include "proxy/ListingProofs.h"
#include "proxy/OriginDirectory.h"
#include "proxy/OriginPolicy.h"
#include "proxy/OverloadControl.h"
#include "proxy/PlacementControl.h"
#include "proxy/PromptIndex.h"
#include "proxy/RunnerReport.h"
#include "proxy/StopAdmission.h"
#include "routing/RouteTable.h"
#include "runners/PathLoss.h"
#include "runners/Placement.h"
#include "runners/Registry.h"
#include "runners/VersionHistory.h"
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

/// @brief Timeouts and limits of relaying.
struct RouterOptions {
    /// Data centre of this daemon; placement prefers runners in it.
    std::string dataCentre;
    /// Largest age of the newest freshness proof of the configuration with which credentials are accepted.
    Duration credentialLease = std::chrono::milliseconds(5000);
    dispatch::WindowedRetryBudget::Options retryBudget;
    PlacementControl::Options placement;
    runners::RegistryOptions registry;
    runners::VersionHistoryOptions versionHistory;
    dispatch::StreamOrigins::Options streamOrigins;
    upstream::ConnectionPoolOptions connections;
    /// Shortest time without an event after which a resumable stream that has begun continues at another runner.
    Duration streamIdleTimeout = std::chrono::milliseconds(1200);
    /// The same as a multiple of the longest pause that the stream's route allows, where that is longer.
    double streamIdleFactor = 3.0;
    /// Bytes of response bodies that all requests together may hold back until the bodies are complete. A response
    /// that would exceed them is given up: runners in trouble may send bodies without end.
    std::size_t responseBufferLimit = 24u << 20;
    /// Timeout of an attempt without a response, as a multiple of the route's latency objective. A repeatable request
    /// is then sent to another runner.
    double attemptTimeoutFactor = 2.0;
    /// Largest timeout of an attempt, as a share of the time from the arrival of the request to its deadline.
    double attemptTimeoutShare = 0.5;
    /// Prompts whose last runner is remembered; each takes about 150 bytes.
    std::size_t promptIndexCapacity = 20000;
    /// Port on which the other daemons serve callers; 0 to pass no requests on to them.
    std::uint16_t callerPort = 0;
    /// Log lines per second for requests that the first runner answered with a success; a busy daemon of the target
    /// size serves 76 requests per second.
    std::uint32_t routineLinesPerSecond = 150;
};

/// @brief Time without an event after which a resumable stream of a route continues at another runner.
Duration streamIdleTimeout(const routing::Route& route, const RouterOptions& options);

/// @brief Admits, places and relays the requests of one traffic thread. Not safe to share between threads.
class Router {
public:
    using Clock = std::function<TimePoint()>;

    /// @param clock returns the current time
    Router(asio::io_context& context, const RouterOptions& options, const Codec& codec, telemetry::Metrics& metrics,
        Clock clock);

    /// @brief Refuses a request of a caller, or relays it to a runner.
    void handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder);

    /// @brief Replaces the options, except those of the registry apart from the share of cold runners, the prompt
    /// index, the log and open connection pools.
    void setOptions(const RouterOptions& options);
    /// @brief Replaces the configuration for new requests; requests in flight keep the one they were admitted with.
    void setRoutes(std::shared_ptr<const routing::RouteTable> routes);
    /// @brief Replaces the list of runners and closes the connections of removed or restarted ones.
    void setRunners(std::span<const runners::RunnerEntry> entries);
    /// @brief Replaces the names of the data centres that are out of service. Their runners get no request, and those
    /// that wait for a connection to them are sent elsewhere.
    void setEvacuatedDataCentres(const std::set<std::string>& dataCentres);
    /// @brief Extends the credential lease after a freshness proof.
    /// @param confirmedAt time at which the configuration in force was current; ignored if older than an earlier proof
    void confirmConfiguration(TimePoint confirmedAt);
    /// @brief What this daemon tells the others about the runners.
    RunnerReport runnerReport(TimePoint now);
    /// @brief Requests that crashed runners, to be sent to the other daemons.
    std::vector<dispatch::CrashRecord> crashRecords(TimePoint now) const { return m_crashes.records(now); }
    /// @brief Replaces what the other daemons report on the load and health of the runners.
    void setPeerSummaries(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries);
    /// @brief Decides which requests are refused because of the load of their service.
    OverloadControl& overload() { return m_overload; }
    /// @brief Merges crash records of other daemons.
    void mergeCrashRecords(std::span<const dispatch::CrashRecord> records);
    /// @brief Merges what runners stated of themselves to other daemons.
    void mergeStatements(std::span<const fleet::RunnerStatement> statements);
    /// @brief Sets where origins of streams are shared with other daemons; null while they are not. Must outlive the
    /// router.
    void setOriginDirectory(OriginDirectory* directory) { m_directory = directory; }
    /// @brief Merges which versions other daemons know to have served alone.
    void mergeSoleVersions(std::span<const runners::SoleVersion> versions);
    /// @brief Merges which runners left before this daemon started, as other daemons know.
    void mergeDepartures(std::span<const runners::Departure> departures);
    /// @brief Sets the daemons among which the limits of runners are shared, by their addresses.
    void setFleet(std::string_view ownIp, std::span<const std::string> otherIps);
    /// @brief Begins a graceful stop: refuses new requests that may not end in time.
    /// @param cutAt time at which the requests in flight are cut off
    void beginStop(TimePoint cutAt);
    /// @brief Closes connections that were idle for too long, expires crash records, and detects services that are no
    /// longer overloaded; call a few times a second.
    void sweep(TimePoint now);
    /// @brief Closes idle connections after the process was suspended, since they may be dead.
    void onProcessResumed(TimePoint now);

    /// @brief Probes runners that are silent with requests in flight. Requests at an unreachable one fail at once
    /// instead of waiting for their timeouts.
    void probeSilentRunners();
    /// @brief Logs how many requests this daemon sent to each runner that limits its rate; call every few seconds.
    void logLimitUse();
    /// @brief Updates the gauges of this thread.
    void updateMetrics(TimePoint now);

    bool hasRoutes() const { return m_routes != nullptr; }
    bool hasRunners() const { return !m_registry.runners().empty(); }
    /// @brief Whether the configuration was confirmed recently enough for credentials to be accepted.
    bool isCredentialLeaseValid(TimePoint now) const;
    /// @brief Bytes of incomplete response bodies that are held back now.
    std::size_t bufferedResponseBytes() const { return m_inFlight->bufferedResponseBytes; }
    /// @brief Relayed requests in flight.
    std::size_t requestsInFlight() const { return m_inFlight->sessions.size(); }

private:
    friend class Session;

    using ProbeResult = upstream::ConnectionPool::ProbeResult;

    std::vector<fleet::RunnerState> runnerStates(TimePoint now) const;
    /// Newest limits of runners, ends of limits, and runners that leave.
    std::vector<fleet::RunnerStatement> recentStatements(TimePoint now) const;
    /// Logs that a runner begins, changes or ends a limit.
    /// @param request attempt id of the request whose response said so; empty if another daemon told of it
    void logLimit(const runners::Runner& runner, std::optional<double> before, std::string_view request) const;
    /// Logs that a runner states that it leaves, and sends the requests elsewhere that wait for a connection to it.
    /// @param request attempt id of the request whose response said so; empty if another daemon told of it
    void onRunnerLeaving(const runners::Runner& runner, std::string_view request, TimePoint now);
    /// Logs that a runner asks for a pause, and sends the requests elsewhere that wait for a connection to it.
    /// @param request attempt id of the request that it refused
    void onRunnerPaused(const runners::Runner& runner, std::string_view request, TimePoint now);
    /// Records what a response of a runner states about its being cold.
    /// @param request attempt id of the request whose response said so
    void recordColdStatement(runners::Runner& runner, const ResponseMetadata& metadata, std::string_view request);
    /// Logs the runners that became cold since the last call.
    void logColdRunners(TimePoint now);
    void updateColdMetrics(TimePoint now);
    /// Sends the requests elsewhere that wait for a connection to a runner.
    void recallRequests(std::string_view runner, std::string_view reason);
    /// Requests whose current attempt is at a runner.
    std::vector<std::shared_ptr<Session>> requestsAt(std::string_view runner) const;
    /// Whether a probe that began at @a begunAt shows that its runner cannot be reached.
    bool isUnreachable(ProbeResult result, TimePoint begunAt) const;

    /// What the sessions leave behind when they end. They share it, since handlers that the event loop has not called
    /// yet keep sessions beyond the life of their router.
    struct RequestsInFlight {
        std::set<Session*> sessions;
        /// Bytes of incomplete response bodies that the sessions hold back.
        std::size_t bufferedResponseBytes = 0;
    };

    /// A response that the daemon sends instead of relaying the request.
    struct Refusal {
        std::uint16_t status = 503;
        /// Code in the body of the response, the log and the metrics.
        const char* reason = "";
        std::optional<Duration> retryAfter;
    };

    /// Route and organisation of a request, or why it is refused.
    struct Admission {
        const routing::Route* route = nullptr;
        std::string organisation;
        /// Priority of the organisation if it has one, otherwise of the route.
        std::uint32_t priority = 0;
        std::optional<Refusal> refusal;
    };

    Admission admit(const gateway::HttpRequest& request, const RequestMetadata& metadata, TimePoint now) const;
    /// Refuses a request that its service cannot serve in time.
    std::optional<Refusal> refuseIfOverloaded(const RequestMetadata& metadata, const Admission& admission,
        const std::string& service, dispatch::RequestDigest digest, TimePoint now);
    /// Records which software sends a stream, and tells the other daemons if it may be continued.
    /// @param origins at least one, all of the same software
    void recordOrigins(std::span<const dispatch::StreamOrigin> origins, const routing::Route& route, TimePoint now);
    /// Gives the origins of all streams to the other daemons.
    void publishOrigins(TimePoint now);
    /// Gives the origins of streams to more daemons, once the versions that serve do not tell them any more.
    void spreadOrigins(TimePoint now);
    /// The service of a route in which a runner runs the software; empty if there is none.
    std::string destinationOf(const routing::Route& route, std::uint64_t software) const;
    /// Whether this daemon is cut off from all runners, as of the last sweep.
    bool isPathLost() const { return m_pathLostAt.has_value(); }
    /// Another daemon that may handle a request instead of this one; empty if there is none.
    /// @param excluded daemons that were tried
    std::string chooseDaemon(std::span<const std::string> excluded, TimePoint now);
    /// Records that another daemon refused a request because it reaches no runner itself.
    void recordUnservingDaemon(const std::string& ip, TimePoint now) { m_unservingSince[ip] = now; }
    /// Body of a refusal because no runner can be used.
    static constexpr std::string_view noRunnerBody = "no-runner\n";
    bool isDaemon(std::string_view ip) const;
    /// Connections to another daemon, as those of a caller.
    upstream::ConnectionPool& poolOfDaemon(const std::string& ip);
    /// Tests whether a runner can be reached again.
    void probePath();
    /// Logs that this daemon is cut off from all runners, and that it reaches one again.
    void logPath(TimePoint now);
    /// Probes a runner that lost a connection under a request, and records a crash if the runner is dead.
    /// @param suspects the request, and those parts of its prompt that may be the cause
    void probeAfterConnectionLoss(const std::string& runner, std::vector<dispatch::CrashSuspect> suspects);
    void refuse(gateway::Responder& responder, const RequestMetadata& metadata, const Refusal& refusal);
    /// A random duration from 50 % to 150 % of @a mean.
    Duration withJitter(Duration mean);
    upstream::ConnectionPool& poolOf(const runners::Runner& runner);
    /// Finds out whether a runner that closed its idle connections has ended.
    void onIdleConnectionsClosed(const std::string& id);
    /// Uniform random bits.
    std::uint64_t draw() { return m_random(); }
    /// Uniform random number in [0, 1).
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
    PlacementControl m_placement;
    std::map<std::string, std::unique_ptr<upstream::ConnectionPool>> m_pools;
    std::map<std::string, dispatch::WindowedRetryBudget> m_budgets;
    /// Connections that were opened to runners that have since been removed, by service.
    std::map<std::string, std::uint64_t> m_removedRunnerConnections;
    PromptIndex m_promptIndex;
    dispatch::CrashRegistry m_crashes;
    runners::VersionHistory m_versionHistory;
    OriginPolicy m_originPolicy;
    /// Decisions on where streams began that wait for the listing to be proven.
    ListingProofs m_listingProofs;
    /// Streams that this daemon relayed, with the software that began them.
    dispatch::StreamOrigins m_streamOrigins;
    OriginDirectory* m_directory = nullptr;
    CacheQueries m_cacheQueries;
    std::vector<std::string> m_otherIps;
    std::map<std::string, std::unique_ptr<upstream::ConnectionPool>> m_daemonPools;
    /// Daemons that refused a request because they reach no runner, with the time of the last refusal.
    std::map<std::string, TimePoint> m_unservingSince;
    bool m_isProbingPath = false;
    /// Set while this daemon is cut off from all runners.
    std::optional<TimePoint> m_pathLostAt;
    /// Set once a graceful stop has begun.
    std::optional<StopAdmission> m_stop;
    telemetry::LineBudget m_routineLines;
    /// Services of which it was logged that entries of runners lack the cold time.
    std::set<std::string> m_coldTimeMissing;
    /// Newest time at which the configuration in force was proven to be current.
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_startedAt;
    std::shared_ptr<RequestsInFlight> m_inFlight = std::make_shared<RequestsInFlight>();
};

}
