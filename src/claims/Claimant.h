#pragma once

#include "claims/Messages.h"
#include <set>
#include <variant>

namespace eelgrassford::claims {

/// @brief Collects the grants of the witnesses for one claim until a quorum granted it or the quorum timeout is over.
class Claimant {
public:
    enum class State {
        /// Waiting for grants.
        Gathering,
        /// A quorum granted the key in time; the request may be sent until the dispatch deadline.
        Won,
        /// No quorum, but enough grants to rule out that another claim ever had one.
        NotRun,
        /// No quorum, and another claim may have had one.
        Unknown,
    };

    /// @param shouldAskQuorumFirst whether the first round goes to a bare quorum only, to save messages
    Claimant(Key key, ClaimId id, WitnessView view, const Timing& timing, bool shouldAskQuorumFirst, TimePoint now);

    /// @brief Processes a witness's reply.
    void receive(const HostId& from, const ClaimReply& reply, TimePoint now);
    /// @brief Moves to a newer view. Grants from a view with other members no longer count.
    void setView(const WitnessView& view);
    /// @brief Sends due requests and ends the claim once its quorum timeout is over.
    /// @param out receives the messages to send
    void tick(TimePoint now, std::vector<Envelope>& out);
    /// @brief Releases the key at every witness that was asked. The claim must never be dispatched afterwards.
    /// @param out receives the messages to send
    void release(std::vector<Envelope>& out) const;
    /// @brief Forgets the holder, after it yielded or abandoned its claim.
    void clearHolder() { m_holder.reset(); }

    State state() const { return m_state; }
    const ClaimId& id() const { return m_id; }
    /// @brief The claim that holds the key according to the last witness that reported a holder.
    const std::optional<ClaimId>& holder() const { return m_holder; }
    /// @brief End of the time within which a won claim's request may be sent.
    TimePoint dispatchDeadline() const { return m_startedAt + m_timing.dispatchTimeout; }

private:
    void settle(TimePoint now);

    Key m_key;
    ClaimId m_id;
    WitnessView m_view;
    Timing m_timing;
    bool m_shouldAskQuorumFirst;
    TimePoint m_startedAt;
    TimePoint m_nextSendAt;
    State m_state = State::Gathering;
    std::set<HostId> m_grantedBy;
    std::set<HostId> m_contacted;
    std::optional<ClaimId> m_holder;
};

}
