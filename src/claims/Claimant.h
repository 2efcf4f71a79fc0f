#pragma once

#include "claims/Messages.h"
#include <set>
#include <variant>

namespace eelgrassford::claims {

/// @brief One attempt to gather a quorum of grants for a key.
class Claimant {
public:
    enum class State {
        Gathering,
        /// A quorum granted the key within the window; the request may be sent until the dispatch limit.
        Won,
        /// No quorum, but enough grants to know that nobody else ever had one.
        NotRun,
        /// No quorum and no such knowledge.
        Unknown,
    };

    Claimant(Key key, ClaimId id, WitnessView view, const Timing& timing, bool isFrugal, TimePoint now);

    /// @brief Takes a witness's reply.
    void receive(const HostId& from, const ClaimReply& reply, TimePoint now);
    /// @brief Starts over under a newer view; earlier grants do not count there.
    void setView(const WitnessView& view);
    /// @brief Sends due requests and settles the claim at the end of its window.
    void tick(TimePoint now, std::vector<Envelope>& out);
    /// @brief Messages that give the key back; the claim must never be dispatched afterwards.
    void release(std::vector<Envelope>& out) const;
    /// @brief Forgets a holder that turned out to have given up.
    void clearHolder() { m_holder.reset(); }

    State state() const { return m_state; }
    const ClaimId& id() const { return m_id; }
    const std::optional<ClaimId>& holder() const { return m_holder; }
    TimePoint dispatchDeadline() const { return m_startedAt + m_timing.dispatchLimit; }

private:
    void settle(TimePoint now);

    Key m_key;
    ClaimId m_id;
    WitnessView m_view;
    Timing m_timing;
    bool m_isFrugal;
    TimePoint m_startedAt;
    TimePoint m_nextSendAt;
    State m_state = State::Gathering;
    std::set<HostId> m_votes;
    std::set<HostId> m_asked;
    std::optional<ClaimId> m_holder;
};

}
