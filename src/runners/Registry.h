#pragma once

#include "runners/Availability.h"
#include "runners/ColdShare.h"
#include "runners/LimitShare.h"
#include "runners/Runner.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eelgrassford::runners {

/// @brief Durations and thresholds of failure detection.
struct RegistryOptions {
    /// Consecutive broken connections after which a runner is suspended; a single one may be due to the connection
    /// rather than the runner.
    std::uint32_t connectionFailuresToSuspend = 2;
    /// First and longest suspension after connection failures; the suspension doubles with each further one.
    Duration firstSuspension = std::chrono::milliseconds(500);
    Duration longestSuspension = std::chrono::seconds(4);
    /// Half-life of the counts of served and failed requests.
    Duration countHalfLife = std::chrono::seconds(3);
    /// Excess over the mean failure rate of the service's other runners at which a runner is suspended.
    double excessFailureRate = 0.25;
    /// Requests needed for a meaningful failure rate.
    double minimumSamples = 10.0;
    /// Suspension for an excessive failure rate.
    Duration failureSuspension = std::chrono::seconds(3);
    /// Time without a byte after which a runner with requests in flight is probed. A step of its engine takes some
    /// milliseconds, a long prompt some hundred.
    Duration silenceThreshold = std::chrono::milliseconds(400);
    AvailabilityOptions availability;
    /// Largest share of a service's runners that may be suspended.
    double maximumSuspendedShare = 0.5;
    /// Time for which a new runner counts as recently added: it lacks the prompts that the others have cached.
    Duration recentlyAddedPeriod = std::chrono::seconds(15);
    /// Time after the first listing during which listed runners are assumed to have existed before this daemon started.
    Duration initialListingPeriod = std::chrono::seconds(5);
    /// Time for which a runner that left the listing is remembered to have stated that it leaves. Runners go on serving
    /// for seconds after that, and an older copy of the listing may show them as ready.
    Duration leavingMemory = std::chrono::minutes(10);
    /// Time over which the daemons return to a runner after a pause that it asked for, and the largest share of the
    /// pause for it.
    Duration longestReturn = std::chrono::seconds(1);
    double returnShare = 0.25;
    /// Time between the first request after a pause and the next ones, in which the runner may refuse again.
    Duration returnInterval = std::chrono::milliseconds(250);
    /// Time after a refused or closed connection within which the listing shows that a runner has restarted.
    Duration restartListingTime = std::chrono::seconds(3);
    ColdShareOptions coldShare;
    /// Time after the first listing in which a daemon sends nothing to cold runners, until it knows the other daemons.
    Duration coldSettlingTime = std::chrono::seconds(3);
    /// Time after the end of an evacuation until the entries of the runners show that they are cold: a heartbeat and
    /// its propagation.
    Duration returnListingTime = std::chrono::milliseconds(1500);
    /// Age beyond which a reported load is ignored.
    Duration reportLifetime = std::chrono::milliseconds(1000);
};

/// @brief Tracks the runners of every service with their lifetimes, load and health. Does no I/O.
class Registry {
public:
    /// Called with the id of each runner that is about to be removed, also when a later lifetime replaces it.
    using RemovalHandler = std::function<void(const std::string& id)>;

    explicit Registry(const RegistryOptions& options = {});

    /// @brief Replaces the listing by the runners that the platform lists now. A runner whose service, address, start
    /// time or software version changed is removed and added anew, without its load and health.
    void apply(std::span<const RunnerEntry> entries, TimePoint now, const RemovalHandler& removed);

    /// @brief A data centre whose evacuation began or ended.
    struct EvacuationChange {
        std::string dataCentre;
        bool isEvacuated = false;
        /// Its listed runners.
        std::vector<Runner*> runners;
    };
    /// @brief Replaces the names of the data centres that are out of service. Their runners get no request, also those
    /// that are listed later. They come back without their cached prompts.
    /// @return what changed
    std::vector<EvacuationChange> setEvacuated(const std::set<std::string>& dataCentres, TimePoint now);

    /// @brief Replaces the cold starts of the services, by name. Services without one have no cold runners.
    void setColdStarts(std::map<std::string, ColdStart, std::less<>> coldStarts);
    /// @brief Replaces how the daemons share the rate of cold runners.
    void setColdShare(const ColdShareOptions& options);
    /// @brief Records that a response of a runner states that it is cold.
    void recordCold(Runner& runner, Duration remaining, TimePoint now);
    /// @brief Records that other daemons suspend a runner, which may have restarted without having been seen to.
    void recordSuspectedRestart(Runner& runner, TimePoint now);
    /// @brief Why a runner counts as cold.
    enum class ColdEvidence { Listed, Response, NewEntry, OwnSuspension, PeerSuspension, Returned };
    /// @brief A runner that was not cold before.
    struct ColdNews {
        std::string runner;
        ColdEvidence evidence = ColdEvidence::Listed;
    };
    /// @brief Runners that became cold since the last call.
    std::vector<ColdNews> takeColdNews() { return std::exchange(m_coldNews, {}); }

    /// @return the runner, or null if none is listed under this id
    Runner* find(std::string_view id);
    /// @brief Whether a runner can be trusted to run the software that its entry states. One that refused connections
    /// lately has ended, one that closed its idle connections may have, and a process that answers at its address may
    /// run other software than is listed yet.
    bool isSoftwareCertain(const Runner& runner, TimePoint now) const;
    /// @brief All runners of a service, including leaving and suspended ones.
    std::span<Runner* const> runnersOf(std::string_view service) const;
    const std::map<std::string, std::unique_ptr<Runner>, std::less<>>& runners() const { return m_runners; }

    /// @brief Whether a runner may get another request now, and if not, why and until when.
    Availability availability(const Runner& runner, TimePoint now) const
    {
        return availabilityOf(runner, m_options.availability, now);
    }
    bool isUsable(const Runner& runner, TimePoint now) const { return availability(runner, now).isAvailable(); }
    /// @brief Whether a runner was listed recently, after the initial listing of this daemon, or lost its cached
    /// prompts otherwise.
    bool isRecentlyAdded(const Runner& runner, TimePoint now) const;
    /// @brief Requests in flight to a runner from all daemons: the sum of the daemons' counts, or the load that the
    /// runner reported where that is higher.
    double load(const Runner& runner, TimePoint now) const;

    /// @brief Records that a request was sent to a runner.
    void recordDispatch(Runner& runner, TimePoint now);
    /// @brief Records that bytes arrived from a runner.
    void recordReceived(Runner& runner, TimePoint now);
    /// @brief Time at which bytes last arrived from any runner.
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }
    /// @brief Runners to probe: those with requests of this daemon in flight that sent nothing for too long while
    /// others did, and that are not being probed. If no runner sends anything, the cause is this host's own link.
    std::vector<Runner*> silentRunners() const;
    /// @brief Records the end of a dispatched request.
    /// @return whether this suspended the runner
    bool recordCompletion(Runner& runner, Observation observation, TimePoint now);
    /// @brief Records an observation without ending a request, for example from a probe.
    /// @return whether this suspended the runner
    bool recordObservation(Runner& runner, Observation observation, TimePoint now);
    /// @brief Records that idle connections to a runner were closed, as if its process had ended.
    void recordDisconnection(Runner& runner, TimePoint now) { runner.disconnectedAt = now; }
    /// @brief Records that a runner whose idle connections were closed accepts new ones, as if it had gone on.
    void recordReconnection(Runner& runner) { runner.disconnectedAt.reset(); }
    /// @brief Records the load that a runner reported in a response.
    void recordReportedLoad(Runner& runner, const ReportedLoad& load, TimePoint now);
    /// @brief Records whether a response of a runner states a limit of its request rate. A response without one ends
    /// the limit only if its request was sent after the limit was last stated, since responses may overtake each other.
    /// @param sentAt time at which the request was sent
    /// @return whether the limit began, ended or changed noticeably
    bool recordLimit(Runner& runner, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);
    /// @brief Takes what another daemon knows of the limit of a runner, if it is newer.
    /// @return whether the limit began, ended or changed noticeably
    bool mergeLimit(Runner& runner, const StatedLimit& limit, TimePoint now);
    /// @brief Records that a runner refused a request and asked for a pause. Of several pauses the one that ends last
    /// holds: each of them was asked for.
    /// @return whether this is news
    bool recordPause(Runner& runner, Duration length, TimePoint now);
    /// @brief Records that a response of a runner states that it leaves.
    /// @return whether this is news
    bool recordLeaving(Runner& runner, TimePoint now);
    /// @brief Takes from another daemon that a runner stated at a time that it leaves.
    /// @return whether this is news
    bool mergeLeaving(Runner& runner, TimePoint statedAt);
    /// @brief Sets the daemons among which the limits of runners are shared.
    void setFleet(FleetView fleet, TimePoint now);
    const FleetView& fleet() const { return m_fleet; }
    /// @brief Reports of all other daemons about a runner, summed up.
    struct PeerSummary {
        /// Their requests in flight to the runner.
        std::uint32_t inFlight = 0;
        /// Their decayed counts of requests that the runner served and failed.
        double served = 0.0;
        double failed = 0.0;
        /// Number of daemons that suspend the runner.
        std::uint32_t suspendedBy = 0;
    };
    /// @brief Decayed counts of the requests of this daemon that a runner served and failed, in this order.
    std::pair<double, double> recentCounts(const Runner& runner, TimePoint now) const;
    void setPeerSummary(Runner& runner, const PeerSummary& summary);

private:
    void countRequest(Runner& runner, bool hasFailed, TimePoint now);
    bool suspend(Runner& runner, Duration duration, TimePoint now);
    bool suspendForConnectionFailures(Runner& runner, TimePoint now);
    bool canSuspend(const Runner& runner, TimePoint now) const;
    /// @brief Remembers that a runner that is removed from the listing stated that it leaves.
    void rememberLeaving(const Runner& runner);
    bool replaceLimit(Runner& runner, const StatedLimit& limit, TimePoint now);
    /// @brief Extends the time for which a runner counts as cold.
    void extendCold(Runner& runner, TimePoint until, ColdEvidence evidence, TimePoint now);
    void setColdStart(Runner& runner);
    void updateColdInterval(Runner& runner) const;
    /// @brief Computes this daemon's share of the limit of a runner.
    void updateRateShare(Runner& runner, TimePoint now) const;
    /// @brief Mean failure rate of the other runners of the same service.
    double meanFailureRate(const Runner& except) const;

    RegistryOptions m_options;
    std::optional<TimePoint> m_firstListedAt;
    TimePoint m_lastReceivedAt {};
    FleetView m_fleet;
    std::map<std::string, std::unique_ptr<Runner>, std::less<>> m_runners;
    /// Times at which runners that are not listed stated that they leave, by their identity.
    std::map<std::uint64_t, TimePoint> m_unlistedLeaving;
    std::map<std::string, std::vector<Runner*>, std::less<>> m_byService;
    std::set<std::string> m_evacuated;
    std::map<std::string, ColdStart, std::less<>> m_coldStarts;
    std::vector<ColdNews> m_coldNews;
};

}
