#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassford::fleet {

/// @brief Intervals and limits of the gossip between daemons.
struct MembersOptions {
    /// Shortest time between digests to a member that is not silent.
    Duration digestInterval = std::chrono::milliseconds(150);
    /// Time between digests for each known member, if the product is longer than digestInterval; bounds the traffic
    /// of a daemon in a large fleet.
    Duration digestIntervalPerMember = std::chrono::milliseconds(8);
    /// Age at which a digest expires: its sender no longer counts as live and its runner states are ignored.
    Duration digestLifetime = std::chrono::milliseconds(1500);
    /// Time without a digest after which a member counts as silent.
    Duration silenceTimeout = std::chrono::seconds(3);
    /// Time between digests to a silent member.
    Duration silentDigestInterval = std::chrono::seconds(1);
    /// Time without a digest after which a member is removed.
    Duration forgetTimeout = std::chrono::seconds(60);
    /// Most addresses of members that one digest names.
    std::size_t membersPerDigest = 8;
    /// Time since the last sign of life for which a member counts as present.
    Duration presenceTimeout = std::chrono::seconds(15);
    /// Age of the newest digest up to which this daemon reports a member to others.
    Duration reportTimeout = std::chrono::seconds(3);
    /// Most digests, in a fleet with aggregation, that are sent at a time to members without it.
    std::size_t directDigestsPerTurn = 16;
};

/// @brief How a daemon learnt that a member is alive.
enum class Evidence {
    /// Named by a daemon that has digests of it.
    Reported,
    /// Named by a daemon that may know it from others.
    Repeated,
};

/// @brief State of one runner, summed over the other daemons.
struct RunnerSummary {
    /// Requests of the other daemons in flight on the runner.
    std::uint32_t inFlight = 0;
    /// Decaying counts of the requests of the other daemons that the runner served and failed.
    double served = 0.0;
    double failed = 0.0;
    /// Daemons that suspend the runner now.
    std::uint32_t suspendedBy = 0;
    /// Work that is left of the requests of the other daemons.
    RemainingWork remaining {};
};

/// @brief Gossip membership: the other daemons that this one knows, with the newest digest of each. No I/O.
///
/// A daemon joins by sending digests to its seeds, some of which may be stale. Every digest names some members, so that
/// all daemons learn of each other. A member is live while its newest digest has not expired and does not say that it
/// is leaving.
class Members {
public:
    Members(std::string ownIp, std::uint64_t ownIncarnation, const MembersOptions& options = {});

    /// @brief Adds addresses at which daemons may run.
    void addSeeds(std::span<const std::string> ips, TimePoint now);
    /// @brief Stores a digest and adds the members that it names. Ignores a repeated or older digest of the same
    /// incarnation, and one of this daemon itself.
    /// @return whether the digest was stored
    bool receive(const Digest& digest, TimePoint now);
    /// @brief Addresses to which a digest is due now; also schedules the next digest to each, and removes members whose
    /// forget timeout has passed.
    std::vector<std::string> takeDue(TimePoint now);
    /// @brief Addresses of the members without an aggregator to which a digest is due now, for a daemon that reports to
    /// an aggregator; also removes members whose forget timeout has passed.
    std::vector<std::string> takeDueDirect(TimePoint now);
    /// @brief Stores that other daemons know of members.
    void mention(std::span<const std::string> ips, Evidence evidence, TimePoint now);
    /// @brief Addresses of members to name in the next digest; in a large fleet, successive calls go round all members.
    std::vector<std::string> sampleMembers();
    /// @brief Like sampleMembers(), of the members that this daemon heard within the report timeout.
    std::vector<std::string> sampleHeard(std::size_t count, TimePoint now);
    /// @brief Like sampleHeard(), with the members that were reported to this daemon.
    std::vector<std::string> samplePresent(std::size_t count, TimePoint now);
    /// @brief Makes a digest due to every live member at once, as after a change that they wait for.
    void expediteDigests(TimePoint now);

    /// @brief Sums the runner states of the live members.
    std::unordered_map<RunnerKey, RunnerSummary> summarize(TimePoint now) const;
    /// @brief Adds the runner states of the live members that name @a aggregator as theirs.
    void addTotals(
        std::string_view aggregator, TimePoint now, std::unordered_map<RunnerKey, RunnerSummary>& totals) const;
    /// @brief Adds the demands of the live members, or of those that name @a aggregator as theirs.
    void addDemands(std::optional<std::string_view> aggregator, TimePoint now, admission::DemandSum& sum) const;
    /// @brief A live member that reports to a daemon.
    struct Reporter {
        std::string ip;
        /// Sequence of its newest digest.
        std::uint64_t sequence = 0;
    };
    /// @brief Live members that name @a aggregator as theirs.
    std::vector<Reporter> reportersTo(std::string_view aggregator, TimePoint now) const;
    /// @brief Addresses of all members, live or not, without this daemon.
    std::vector<std::string> knownIps() const;
    /// @brief Addresses of the members that showed a sign of life within the presence timeout.
    std::vector<std::string> presentIps(TimePoint now) const;
    /// @brief Addresses of the live members, without this daemon.
    std::vector<std::string> liveIps(TimePoint now) const;
    /// @brief Number of live members, without this daemon.
    std::size_t liveCount(TimePoint now) const;
    /// @brief Number of members, live or not, without this daemon.
    std::size_t knownCount() const { return m_members.size(); }

private:
    struct Member {
        std::optional<Digest> digest;
        TimePoint heardAt {};
        /// Last time at which a daemon that hears the member named it, and at which any daemon named it.
        TimePoint reportedAt {};
        TimePoint repeatedAt {};
        TimePoint knownSince {};
        TimePoint nextDigestAt {};

        TimePoint lastSignOfLife() const { return std::max({ heardAt, reportedAt, repeatedAt, knownSince }); }
    };

    bool isLive(const Member& member, TimePoint now) const;
    void forgetSilent(TimePoint now);
    static void addStates(const Member& member, TimePoint now, std::unordered_map<RunnerKey, RunnerSummary>& totals);
    static std::vector<std::string> takeSample(
        std::vector<std::string> candidates, std::size_t count, std::string& lastSampled);
    void add(const std::string& ip, TimePoint now);

    std::string m_ownIp;
    std::uint64_t m_ownIncarnation;
    MembersOptions m_options;
    std::map<std::string, Member> m_members;
    /// Last addresses of the previous samples, after which the next ones begin.
    std::string m_lastSampled;
    std::string m_lastHeardSampled;
    std::string m_lastPresentSampled;
};

}
