#include "claims/Claimant.h"

namespace eelgrassford::claims {

Claimant::Claimant(
    Key key, ClaimId id, WitnessView view, const Timing& timing, bool shouldAskQuorumFirst, TimePoint now)
    : m_key(key)
    , m_id(std::move(id))
    , m_view(std::move(view))
    , m_timing(timing)
    , m_shouldAskQuorumFirst(shouldAskQuorumFirst)
    , m_startedAt(now)
    , m_nextSendAt(now)
{
}

void Claimant::receive(const HostId& from, const ClaimReply& reply, TimePoint now)
{
    if (m_state != State::Gathering || reply.claim != m_id)
        return;
    if (reply.verdict == Verdict::Held)
        m_holder = reply.holder;
    if (reply.verdict != Verdict::Granted || reply.view.membersDigest != m_view.digest().membersDigest
        || !m_view.contains(from))
        return;
    m_grantedBy.insert(from);
    if (m_grantedBy.size() >= m_view.quorum() && now < m_startedAt + m_timing.quorumTimeout)
        m_state = State::Won;
}

void Claimant::setView(const WitnessView& view)
{
    if (m_state != State::Gathering || view.revision <= m_view.revision)
        return;
    if (view.members != m_view.members)
        m_grantedBy.clear();
    m_view = view;
}

void Claimant::tick(TimePoint now, std::vector<Envelope>& out)
{
    if (m_state != State::Gathering)
        return;
    if (now >= m_startedAt + m_timing.quorumTimeout) {
        settle(now);
        return;
    }
    if (now < m_nextSendAt || m_view.members.empty())
        return;
    // In a large fleet, asking a bare quorum first saves messages.
    const bool isFirstRound = m_contacted.empty();
    const bool isBareQuorumRound = isFirstRound && m_shouldAskQuorumFirst;
    const auto limit = isBareQuorumRound ? m_view.quorum() : m_view.members.size();
    m_nextSendAt = now + (isBareQuorumRound ? m_timing.hedgeDelay : m_timing.resendInterval);
    const auto start = static_cast<std::size_t>(m_key.high % m_view.members.size());
    for (std::size_t i = 0; i < limit; ++i) {
        const auto& member = m_view.members[(start + i) % m_view.members.size()];
        if (m_grantedBy.contains(member))
            continue;
        m_contacted.insert(member);
        out.push_back({ member, ClaimRequest { m_key, m_id, m_view.digest() } });
    }
}

void Claimant::settle(TimePoint now)
{
    // A late timer may mean that this process was paused; witnesses may have restarted and lost their grants meanwhile.
    const bool isTimely = now < m_startedAt + m_timing.quorumTimeout + m_timing.resendInterval;
    const bool canRuleOutOtherQuorum
        = !m_holder && !m_view.members.empty() && m_grantedBy.size() >= m_view.blockingCount();
    m_state = isTimely && canRuleOutOtherQuorum ? State::NotRun : State::Unknown;
}

void Claimant::release(std::vector<Envelope>& out) const
{
    for (const auto& member : m_contacted)
        out.push_back({ member, ClaimRelease { m_key, m_id } });
}

}
