#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
#include <deque>
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
    std::size_t namedMembers = 24;
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
    std::vector<std::string> due(TimePoint now);
    /// @brief Some daemons for a digest, other ones each time if they are many.
    std::vector<MemberReference> nameSome();
    /// @brief Notes when a digest of this daemon was made.
    void recordSent(std::uint64_t sequence, TimePoint now);

    /// @brief Sums what the daemons with a fresh digest say.
    std::unordered_map<std::uint64_t, RunnerSummary> summarize(TimePoint now) const;
    /// @brief The newest proof of contact that a daemon with the same revision vouches for.
    ///
    /// Its age counts from the time of the own digest that the other daemon had received when it wrote, so that time
    /// spent on the way or in a suspended process makes a proof older, never newer.
    std::optional<TimePoint> vouchedProof(std::uint64_t revision, TimePoint now) const;
    /// @brief Daemons heard of lately, without this one.
    std::size_t heard(TimePoint now) const;
    std::size_t known() const { return m_members.size(); }

private:
    struct Member {
        std::optional<Digest> digest;
        TimePoint heardAt {};
        TimePoint knownSince {};
        TimePoint nextAt {};
        /// Time before which the digest cannot have been written; nothing if it names no digest of this daemon.
        std::optional<TimePoint> writtenAfter;
    };
    struct Sent {
        std::uint64_t sequence = 0;
        TimePoint at {};
    };

    std::optional<TimePoint> echoOf(const Digest& digest) const;
    bool isFresh(const Member& member, TimePoint now) const;
    void add(const std::string& ip, TimePoint now);

    std::string m_ownIp;
    std::uint64_t m_ownIncarnation;
    MembersOptions m_options;
    std::map<std::string, Member> m_members;
    std::string m_lastNamed;
    std::deque<Sent> m_sent;
};

}
