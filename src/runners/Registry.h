#pragma once

#include "runners/Runner.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassford::runners {

/// @brief Durations and limits of failure detection.
struct RegistryOptions {
    /// Consecutive broken connections after which a runner is suspended; one alone may be the connection's fault.
    std::uint32_t connectionFailuresToSuspend = 2;
    Duration firstSuspension = std::chrono::milliseconds(500);
    Duration longestSuspension = std::chrono::seconds(4);
    /// Time in which what is counted of a runner halves.
    Duration countHalfLife = std::chrono::seconds(3);
    /// Failure rate above the mean of the service at which a runner is suspended.
    double excessFailureRate = 0.25;
    /// Requests before a failure rate means anything.
    double minimumSamples = 10.0;
    Duration failureSuspension = std::chrono::seconds(3);
    /// Silence of a runner with requests after which it is probed; a step of its engine takes some milliseconds, a long
    /// prompt some hundred.
    Duration silenceThreshold = std::chrono::milliseconds(400);
    /// A runner that served this lately is not avoided on the word of others.
    Duration ownSuccessLifetime = std::chrono::milliseconds(300);
    /// Largest share of a service's runners that may be suspended.
    double maximumSuspendedShare = 0.5;
    /// Time in which a runner that came counts as young: it lacks the prompts that the others hold.
    Duration recentlyAddedPeriod = std::chrono::seconds(15);
    /// Time after the first listing in which runners are taken to have been there before.
    Duration initialListingPeriod = std::chrono::seconds(5);
    /// Age at which a reported load is no longer used.
    Duration reportLifetime = std::chrono::milliseconds(1000);
};

/// @brief The runners of every service, with their lifetimes, load and health. No I/O.
class Registry {
public:
    /// Called for each runner, or lifetime of one, that is gone.
    using RemovalHandler = std::function<void(const std::string& id)>;

    explicit Registry(const RegistryOptions& options = {});

    /// @brief Takes the runners that the platform lists now; a changed lifetime or address begins a new runner.
    void apply(std::span<const RunnerEntry> entries, TimePoint now, const RemovalHandler& removed);

    Runner* find(std::string_view id);
    /// @brief Runners of a service, leaving and suspended ones among them.
    std::span<Runner* const> runnersOf(std::string_view service) const;
    const std::map<std::string, std::unique_ptr<Runner>, std::less<>>& runners() const { return m_runners; }

    /// @brief Whether new requests may go to a runner.
    bool isUsable(const Runner& runner, TimePoint now) const;
    /// @brief Whether a runner came lately, after this daemon had known the others for a while.
    bool isRecentlyAdded(const Runner& runner, TimePoint now) const;
    /// @brief Requests under way at a runner: what daemons know of each other, or its own word where that is more.
    double load(const Runner& runner, TimePoint now) const;

    void recordDispatch(Runner& runner, TimePoint now);
    void recordReceived(Runner& runner, TimePoint now);
    /// @brief Time at which any runner was heard last.
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }
    /// @brief Runners that have requests of this daemon, were silent for too long while others were heard, and are not
    /// being probed. Where nothing is heard, this host's own link is the cause.
    std::vector<Runner*> silentRunners() const;
    /// @brief An attempt at a runner ended.
    /// @return whether the runner was suspended by that
    bool recordCompletion(Runner& runner, Observation observation, TimePoint now);
    /// @brief Takes what an attempt showed without ending one, as when a peer tells of it.
    bool recordObservation(Runner& runner, Observation observation, TimePoint now);
    void recordReportedLoad(Runner& runner, const ReportedLoad& load, TimePoint now);
    /// @brief What the other daemons together say of a runner.
    struct PeerSummary {
        std::uint32_t inFlight = 0;
        double served = 0.0;
        double failed = 0.0;
        std::uint32_t suspendedBy = 0;
    };
    /// @brief Requests that a runner lately served and failed here.
    std::pair<double, double> recentCounts(const Runner& runner, TimePoint now) const;
    void setPeerSummary(Runner& runner, const PeerSummary& word);

private:
    void count(Runner& runner, bool hasFailed, TimePoint now);
    bool suspend(Runner& runner, Duration time, TimePoint now);
    bool suspendForLosses(Runner& runner, TimePoint now);
    bool maySuspend(const Runner& runner, TimePoint now) const;
    double meanFailureRate(const Runner& except) const;

    RegistryOptions m_options;
    std::optional<TimePoint> m_firstListedAt;
    TimePoint m_lastReceivedAt {};
    std::map<std::string, std::unique_ptr<Runner>, std::less<>> m_runners;
    std::map<std::string, std::vector<Runner*>, std::less<>> m_byService;
};

}
