#pragma once

#include "claims/Messages.h"
#include <map>

namespace eelgrassford::claims {

/// @brief Grants each key of one group to one claim, and survives restarts and changes of the host list without
/// storage.
///
/// A witness that restarted, or whose view changed, abstains until it has read the grants of enough others
/// (see docs/design/at-most-once.md). Reading moves the others to the newer view, as in vertical Paxos
/// reconfiguration with the host list as the master.
class Witness {
public:
    /// @param self this host
    /// @param group the group of keys
    /// @param isFirstStart no daemon of the fleet has served within the retention
    /// @param now the present time
    Witness(HostId self, std::uint32_t group, const Timing& timing, bool isFirstStart, TimePoint now);

    /// @brief Moves to a newer view; an older one is ignored.
    void setView(const WitnessView& view, TimePoint now);
    /// @brief Records that the platform itself confirmed the present view.
    void confirmView(TimePoint now);

    ClaimReply handle(const ClaimRequest& request, TimePoint now);
    void handle(const ClaimRelease& release, TimePoint now);
    SyncReply handle(const SyncRequest& request, TimePoint now);
    void handle(const HostId& from, const SyncReply& reply, TimePoint now);

    /// @brief Sends due requests for grants and drops expired ones.
    /// @param out receives the messages to send
    void tick(TimePoint now, std::vector<Envelope>& out);

    bool isReady() const { return m_isReady; }
    const WitnessView& view() const { return m_view; }
    std::size_t grantCount() const { return m_entries.size(); }

private:
    struct Entry {
        ClaimId holder;
        TimePoint grantedAt;
        bool isConflicted = false;
    };

    void becomeReady();
    void evaluateSync(TimePoint now);
    bool hasEnoughReplies(const WitnessView& base) const;
    bool isFirstStartComplete() const;
    void learn(const Grant& grant, TimePoint now);
    void dropExpired(TimePoint now);
    bool isAbandoned(const ClaimId& claim) const { return m_abandoned.contains(claim); }

    HostId m_self;
    std::uint32_t m_group;
    Timing m_timing;
    /// No daemon of the fleet served before this one started, and this witness has granted nothing yet.
    bool m_isFirstStart;
    TimePoint m_startedAt;
    TimePoint m_confirmedAt;
    WitnessView m_view;
    bool m_isReady = false;
    std::optional<WitnessView> m_readyView;
    std::map<Key, Entry> m_entries;
    std::map<ClaimId, TimePoint> m_abandoned;
    std::map<HostId, SyncReply> m_replies;
    TimePoint m_nextSyncAt;
    TimePoint m_nextExpiryAt;
};

}
