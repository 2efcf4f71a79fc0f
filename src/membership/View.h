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
    /// Listed as live, but this daemon's calls to it failed; gets no new work until its suspicion ends.
    Suspect,
    /// Being removed by the platform; finishes its work and gets no new work.
    Leaving,
};

/// @brief Durations and limits of failure detection.
struct ViewOptions {
    /// Consecutive failures after which a host is suspect.
    std::uint32_t failuresToSuspect = 3;
    /// Duration of a host's first suspicion; each further one lasts twice as long.
    Duration initialSuspicion = std::chrono::seconds(1);
    /// Longest duration of a suspicion.
    Duration maximumSuspicion = std::chrono::seconds(60);
    /// A host that stays live for this long has its next suspicion reset to the initial duration.
    Duration suspicionResetDelay = std::chrono::minutes(5);
    /// Time over which the share of a host that joined or recovered rises to its full weight.
    Duration slowStartDuration = std::chrono::seconds(30);
    /// A longer gap between ticks means that this process itself was paused.
    Duration pauseThreshold = std::chrono::seconds(5);
    /// Largest share of the hosts of one role that may be suspect, from 0 to 1.
    double maximumSuspectShare = 0.34;
};

/// @brief Combines the platform's host list with the failures that this daemon observes itself.
///
/// A suspect host gets no new work but remains a witness of claims: in a network partition, both sides suspect each
/// other and would choose different witnesses.
class View {
public:
    struct Member {
        Host host;
        HostState state = HostState::Live;
        /// Consecutive failures.
        std::uint32_t failures = 0;
        /// How long the next suspicion will last.
        Duration nextSuspicionDuration {};
        TimePoint suspectUntil {};
        /// Time at which the host last became live.
        TimePoint liveSince {};
        bool isSlowStarting = false;
    };

    explicit View(const ViewOptions& options = {});

    /// @brief Takes a host list of a greater revision; an older or an empty one changes nothing.
    /// @return whether the list was taken
    bool apply(const HostList& list, TimePoint now);
    /// @brief Counts a call that failed through a fault of the host; enough consecutive ones make it suspect.
    void reportFailure(const HostId& id, TimePoint now);
    /// @brief Ends the series of consecutive failures.
    void reportSuccess(const HostId& id, TimePoint now);
    /// @brief Ends suspicions that are over, and all of them after this process itself was paused.
    void tick(TimePoint now);

    /// @return the member, or null if the list does not name it
    const Member* find(const HostId& id) const;
    /// @brief Whether new work may go to the host.
    bool isEligible(const HostId& id) const;
    /// @brief Share of its weight that a host should be given: rises from 0.1 when a slow start begins to 1; 0 for
    /// an unknown host.
    double slowStartFactor(const HostId& id, TimePoint now) const;
    const std::map<HostId, Member>& members() const { return m_members; }
    const HostList& list() const { return m_list; }
    std::uint64_t revision() const { return m_list.revision; }
    /// @brief Counter that grows with each accepted list and each change of a member's eligibility.
    std::uint64_t generation() const { return m_generation; }
    /// @brief Number of empty host lists that were ignored.
    std::uint64_t ignoredEmptyLists() const { return m_ignoredEmptyLists; }

private:
    bool canBecomeSuspect(const Member& member) const;
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
