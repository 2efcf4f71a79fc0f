#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
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
    /// @brief Addresses of members to name in the next digest; in a large fleet, successive calls go round all members.
    std::vector<std::string> sampleMembers();
    /// @brief Makes a digest due to every live member at once, as after a change that they wait for.
    void expediteDigests(TimePoint now);

    /// @brief Sums the runner states of the live members.
    std::unordered_map<RunnerKey, RunnerSummary> summarize(TimePoint now) const;
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
        TimePoint knownSince {};
        TimePoint nextDigestAt {};
    };

    bool isLive(const Member& member, TimePoint now) const;
    void add(const std::string& ip, TimePoint now);

    std::string m_ownIp;
    std::uint64_t m_ownIncarnation;
    MembersOptions m_options;
    std::map<std::string, Member> m_members;
    /// Last address of the previous sample, after which the next one begins.
    std::string m_lastSampled;
};

}
