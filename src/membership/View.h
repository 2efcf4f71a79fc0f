#pragma once

#include "common/Time.h"
#include "membership/HostList.h"
#include <map>
#include <optional>
#include <span>

namespace eelgrassford::membership {

/// @brief State of a host as this daemon sees it.
enum class HostState {
    Live,
    /// Listed, but failing for this daemon; gets no new work until its suspicion ends.
    Suspect,
    /// The platform takes it away; finishes its work and gets nothing new.
    Leaving,
};

/// @brief Durations and limits of failure detection.
struct ViewOptions {
    /// Consecutive failures after which a host is suspect.
    std::uint32_t failuresToSuspect = 3;
    Duration firstSuspicion = std::chrono::seconds(1);
    Duration longestSuspicion = std::chrono::seconds(60);
    /// A host that stays live this long has its suspicion time reset.
    Duration flapMemory = std::chrono::minutes(5);
    /// Time over which a host that came or came back is given its full share.
    Duration slowStart = std::chrono::seconds(30);
    /// A longer gap between ticks means that this process itself was paused.
    Duration pauseThreshold = std::chrono::seconds(5);
    /// Largest share of the hosts of one role that may be suspect.
    double maximumSuspectShare = 0.34;
};

/// @brief Merges the platform's host list with this daemon's own observations.
///
/// Suspicion withholds work only. It never changes who is a witness of claims: under a partition both sides
/// suspect each other.
class View {
public:
    struct Member {
        Host host;
        HostState state = HostState::Live;
        std::uint32_t failures = 0;
        Duration nextSuspicion {};
        TimePoint suspectUntil {};
        /// Start of the present stretch of being live.
        TimePoint liveSince {};
        bool isSlowStarting = false;
    };

    explicit View(const ViewOptions& options = {});

    /// @brief Takes a host list of a greater revision; an older or an empty one changes nothing.
    /// @return whether the list was taken
    bool apply(const HostList& list, TimePoint now);
    /// @brief A call to the host failed in a way that speaks against the host.
    void reportFailure(const HostId& id, TimePoint now);
    void reportSuccess(const HostId& id, TimePoint now);
    /// @brief Ends suspicions that are over.
    void tick(TimePoint now);

    const Member* find(const HostId& id) const;
    /// @brief Whether new work may go to the host.
    bool isEligible(const HostId& id) const;
    /// @brief Share of its weight that a host should be given, from 0.1 at the begin of a slow start to 1.
    double slowStartFactor(const HostId& id, TimePoint now) const;
    const std::map<HostId, Member>& members() const { return m_members; }
    const HostList& list() const { return m_list; }
    std::uint64_t revision() const { return m_list.revision; }
    /// @brief Grows with each change of any member's eligibility.
    std::uint64_t generation() const { return m_generation; }
    std::uint64_t ignoredEmptyLists() const { return m_ignoredEmptyLists; }

private:
    bool mayBecomeSuspect(const Member& member) const;
    void becomeLive(Member& member, TimePoint now);

    ViewOptions m_options;
    HostList m_list;
    std::map<HostId, Member> m_members;
    std::uint64_t m_generation = 0;
    std::uint64_t m_ignoredEmptyLists = 0;
    TimePoint m_lastTick {};
    bool m_hasTicked = false;
};

}
