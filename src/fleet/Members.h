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

/// @brief Durations of the membership of daemons.
struct MembersOptions {
    /// Time between digests to a daemon that answers; grows with the fleet, so that the traffic of one daemon is
    /// bounded.
    Duration interval = std::chrono::milliseconds(150);
    /// Time that each daemon adds to the interval.
    Duration intervalPerMember = std::chrono::milliseconds(8);
    /// Age at which what a daemon said of runners is no longer used.
    Duration digestLifetime = std::chrono::milliseconds(1500);
    /// Silence after which a daemon is asked seldom.
    Duration silence = std::chrono::seconds(3);
    Duration silentInterval = std::chrono::seconds(1);
    /// Silence after which a daemon is forgotten.
    Duration forget = std::chrono::seconds(60);
    /// Addresses that one digest names.
    std::size_t namedMembers = 8;
};

/// @brief What the other daemons together say of one runner.
struct RunnerSummary {
    std::uint32_t underWay = 0;
    double served = 0.0;
    double failed = 0.0;
    /// Daemons that avoid it now.
    std::uint32_t suspendedBy = 0;
};

/// @brief The daemons that this one knows, and the newest digest of each. No I/O.
///
/// A daemon joins by telling its seeds, which may be stale; every digest names some members, so that all meet.
class Members {
public:
    Members(std::string ownIp, std::uint64_t ownIncarnation, const MembersOptions& options = {});

    /// @brief Takes addresses that may be daemons.
    void addSeeds(std::span<const std::string> ips, TimePoint now);
    /// @brief Takes a digest; an older one of the same life, or one of its own, is ignored.
    /// @return whether it was taken
    bool receive(const Digest& digest, TimePoint now);
    /// @brief Addresses to which a digest is due now; they are taken to be told.
    std::vector<std::string> takeDue(TimePoint now);
    /// @brief Some daemons for a digest, other ones each time if they are many.
    std::vector<std::string> sampleMembers();
    /// @brief Makes a digest due to everyone, as after a change that others wait for.
    void expediteDigests(TimePoint now);

    /// @brief Sums what the daemons with a fresh digest say.
    std::unordered_map<RunnerKey, RunnerSummary> summarize(TimePoint now) const;
    /// @brief Addresses of the daemons heard of lately, without this one.
    std::vector<std::string> liveIps(TimePoint now) const;
    /// @brief Daemons heard of lately, without this one.
    std::size_t liveCount(TimePoint now) const;
    std::size_t knownCount() const { return m_members.size(); }

private:
    struct Member {
        std::optional<Digest> digest;
        TimePoint heardAt {};
        TimePoint knownSince {};
        TimePoint nextAt {};
    };

    bool isFresh(const Member& member, TimePoint now) const;
    void add(const std::string& ip, TimePoint now);

    std::string m_ownIp;
    std::uint64_t m_ownIncarnation;
    MembersOptions m_options;
    std::map<std::string, Member> m_members;
    std::string m_lastNamed;
};

}
