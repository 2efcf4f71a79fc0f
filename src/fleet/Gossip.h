#pragma once

#include "common/Time.h"
#include "fleet/Aggregation.h"
#include "fleet/Digest.h"
#include "fleet/FleetClock.h"
#include "fleet/Members.h"
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassford::fleet {

/// @brief Identity of a daemon in the messages that it sends.
struct GossipIdentity {
    std::string ip;
    /// Daemons exchange messages only within a region.
    std::string region;
    /// Differs for each start of the daemon.
    std::uint64_t incarnation = 0;
};

/// @brief State of a daemon that its messages carry.
struct LocalState {
    std::vector<RunnerState> runners;
    std::vector<dispatch::CrashRecord> crashes;
    std::vector<RunnerStatement> statements;
    /// Revision of the newest change of the store that the mirror holds.
    std::uint64_t changeRevision = 0;
    /// Time of the newest freshness proof, from the store or from another daemon.
    std::optional<TimePoint> provenAt;
    /// Work that the callers of this daemon request.
    std::vector<admission::ServiceDemand> demands;
};

/// @brief Decides which messages about load, health and members the daemons exchange. No I/O.
///
/// In a small fleet every daemon sends digests to every other; in a large one it reports to an aggregator
/// (Aggregation), and members without an aggregator, such as those that have just started or run an earlier release,
/// still get digests.
class Gossip {
public:
    struct Options {
        MembersOptions members;
        AggregationOptions aggregation;
        /// Members named in a digest to a member without aggregator, which may have just started, in a large fleet.
        std::size_t membersForNewcomer = 48;
        /// Members named in a summary.
        std::size_t membersPerSummary = 24;
        /// Time between digests to a random known member in a large fleet, by which its parts find each other again
        /// after a partition.
        Duration randomDigestInterval = std::chrono::seconds(1);
        /// Time after which seeds that were forgotten are known again.
        Duration seedInterval = std::chrono::seconds(30);
        /// Flows of each service that a summary names.
        std::size_t flowsPerSummary = 12;
    };
    /// @brief A datagram to send.
    struct Outgoing {
        std::string ip;
        std::string bytes;
    };
    /// @brief What a message says besides load, health and members.
    struct News {
        std::string ip;
        std::uint64_t changeRevision = 0;
        std::vector<dispatch::CrashRecord> crashes;
        std::vector<RunnerStatement> statements;
        /// Time at which a mirror that holds every change up to changeRevision is proven current.
        std::optional<TimePoint> provenAt;
    };
    /// Returns uniform numbers in [0, 1), for the choice of random members.
    using RandomSource = std::function<double()>;

    Gossip(const GossipIdentity& identity, const Options& options, RandomSource random);

    /// @brief Adds addresses at which daemons may run.
    void addSeeds(std::span<const std::string> ips, TimePoint now);
    /// @brief Messages that are due now.
    std::vector<Outgoing> takeDue(const LocalState& state, TimePoint now);
    /// @brief Makes the next messages due at once, as after a change that other daemons wait for.
    void expedite(TimePoint now);
    /// @brief Messages that tell the other daemons that this one leaves.
    std::vector<Outgoing> leave(const LocalState& state, TimePoint now);
    /// @brief Takes a message of another daemon.
    /// @return empty if the message was ignored
    std::optional<News> receive(const Digest& digest, TimePoint now);
    std::optional<News> receive(const Summary& summary, TimePoint now);

    /// @brief Sums the runner states of the other daemons.
    std::unordered_map<RunnerKey, RunnerSummary> summarize(TimePoint now) const;
    /// @brief Work that the callers of the other daemons request, with the heaviest flows.
    std::vector<admission::ServiceDemand> demandOfOthers(TimePoint now) const;
    /// @brief Time by which the clock of the fleet is ahead of this daemon's.
    Duration fleetClockLead() const { return m_clock.lead(); }
    /// @brief Addresses of the other daemons that are believed to be alive.
    std::vector<std::string> liveIps(TimePoint now) const;
    /// @brief Addresses of the other daemons that showed a sign of life lately, and may still send requests.
    std::vector<std::string> presentIps(TimePoint now) const { return m_members.presentIps(now); }
    /// @brief Number of other daemons whose state is known.
    std::size_t liveCount(TimePoint now) const;
    /// @brief Number of known daemons, live or not, without this one.
    std::size_t knownCount() const { return m_members.knownCount(); }
    const Aggregation& aggregation() const { return m_aggregation; }

private:
    Digest createDigest(const LocalState& state, TimePoint now);
    Summary createSummary(Summary::Scope scope, const LocalState& state, TimePoint now);
    void sendDirect(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing);
    void sendReport(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing);
    void sendSummaries(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing);
    void sendToRandomMember(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing);
    /// Sums the demands for the summaries of an aggregator.
    std::vector<admission::ServiceDemand> sumDemands(
        Summary::Scope scope, const LocalState& state, TimePoint now) const;
    /// Sums the group of this daemon as an aggregator, with its own state if it reports to itself.
    std::unordered_map<RunnerKey, RunnerSummary> sumGroup(const std::vector<RunnerState>& own, TimePoint now) const;

    GossipIdentity m_identity;
    Options m_options;
    RandomSource m_random;
    Members m_members;
    Aggregation m_aggregation;
    FleetClock m_clock;
    std::vector<std::string> m_seeds;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextReportAt {};
    TimePoint m_nextRandomDigestAt {};
    TimePoint m_nextSeedsAt {};
};

}
