#pragma once

#include "claims/Messages.h"
#include <map>

namespace eelgrassford::claims {

/// @brief Grants each key of one group to at most one claim at a time, across restarts and changes of the host list,
/// without storage.
///
/// A witness that restarted, or whose view changed its members, grants nothing until it has read the grants of enough
/// other witnesses (see docs/design/at-most-once.md). Reading them moves those witnesses to the newer view, as in a
/// reconfiguration of vertical Paxos with the host list as the master.
class Witness {
public:
    /// @param self id of this host
    /// @param group index of the group of keys
    /// @param timing durations, equal on every daemon of the fleet
    /// @param isFirstStart no daemon of the fleet has served within the retention
    /// @param now the current time
    Witness(HostId self, std::uint32_t group, const Timing& timing, bool isFirstStart, TimePoint now);

    /// @brief Moves to a newer view; an older one is ignored.
    void setView(const WitnessView& view, TimePoint now);
    /// @brief Records that the platform itself confirmed the current view.
    void confirmView(TimePoint now);

    /// @brief Decides on a claim.
    ClaimReply handle(const ClaimRequest& request, TimePoint now);
    /// @brief Drops the claim's grant and refuses the claim for the retention.
    void handle(const ClaimRelease& release, TimePoint now);
    /// @brief Moves to the requester's view, if it is newer, and returns all grants.
    SyncReply handle(const SyncRequest& request, TimePoint now);
    /// @brief Merges the grants of another witness; becomes ready once enough witnesses have replied.
    void handle(const HostId& from, const SyncReply& reply, TimePoint now);

    /// @brief Sends due sync requests, drops expired grants and becomes ready if enough time has passed.
    /// @param out receives the messages to send
    void tick(TimePoint now, std::vector<Envelope>& out);

    /// @brief Whether this witness may grant keys.
    bool isReady() const { return m_isReady; }
    const WitnessView& view() const { return m_view; }
    std::size_t grantCount() const { return m_grants.size(); }

private:
    struct GrantRecord {
        ClaimId holder;
        TimePoint grantedAt;
        bool isConflicted = false;
    };

    void becomeReady();
    void updateReadiness(TimePoint now);
    bool hasEnoughReplies(const WitnessView& baseView) const;
    bool isFirstStartComplete() const;
    void mergeGrant(const Grant& grant, TimePoint now);
    void dropExpired(TimePoint now);
    bool isReleased(const ClaimId& claim) const { return m_released.contains(claim); }

    HostId m_self;
    std::uint32_t m_group;
    Timing m_timing;
    /// No daemon of the fleet served within the retention before this one started, and this witness has granted nothing
    /// yet.
    bool m_isFirstStart;
    TimePoint m_startedAt;
    TimePoint m_viewConfirmedAt;
    WitnessView m_view;
    bool m_isReady = false;
    /// The last view in which this witness was ready; absent if it has not been ready since its start.
    std::optional<WitnessView> m_readyView;
    std::map<Key, GrantRecord> m_grants;
    /// Released claims with the time of their release; they are refused until the retention is over.
    std::map<ClaimId, TimePoint> m_released;
    /// Last reply of each witness under the current view, without its grants.
    std::map<HostId, SyncReply> m_syncReplies;
    TimePoint m_nextSyncAt;
    TimePoint m_nextExpiryAt;
};

}
