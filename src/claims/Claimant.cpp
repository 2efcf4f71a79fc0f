#include "claims/Claimant.h"

namespace eelgrassford::claims {

Claimant::Claimant(Key key, ClaimId id, WitnessView view, const Timing& timing, bool isFrugal, TimePoint now)
    : m_key(key)
    , m_id(std::move(id))
    , m_view(std::move(view))
    , m_timing(timing)
    , m_isFrugal(isFrugal)
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
    m_votes.insert(from);
    if (m_votes.size() >= m_view.quorum() && now < m_startedAt + m_timing.window)
        m_state = State::Won;
}

void Claimant::setView(const WitnessView& view)
{
    if (m_state != State::Gathering || view.revision <= m_view.revision)
        return;
    if (view.members != m_view.members)
        m_votes.clear();
    m_view = view;
}

void Claimant::tick(TimePoint now, std::vector<Envelope>& out)
{
    if (m_state != State::Gathering)
        return;
    if (now >= m_startedAt + m_timing.window) {
        settle(now);
        return;
    }
    if (now < m_nextSendAt || m_view.members.empty())
        return;
    // A large fleet saves messages by asking a bare quorum first.
    const bool isFirstRound = m_asked.empty();
    const bool isFrugal = isFirstRound && m_isFrugal;
    const auto limit = isFrugal ? m_view.quorum() : m_view.members.size();
    m_nextSendAt = now + (isFrugal ? m_timing.hedge : m_timing.repeat);
    const auto start = static_cast<std::size_t>(m_key.high % m_view.members.size());
    for (std::size_t i = 0; i < limit; ++i) {
        const auto& member = m_view.members[(start + i) % m_view.members.size()];
        if (m_votes.contains(member))
            continue;
        m_asked.insert(member);
        out.push_back({ member, ClaimRequest { m_key, m_id, m_view.digest() } });
    }
}

void Claimant::settle(TimePoint now)
{
    // A late timer may mean a long pause, in which witnesses restarted and forgot their grants.
    const bool isTimely = now < m_startedAt + m_timing.window + m_timing.repeat;
    const bool isKnownFree = !m_holder && !m_view.members.empty() && m_votes.size() >= m_view.blockingCount();
    m_state = isTimely && isKnownFree ? State::NotRun : State::Unknown;
}

void Claimant::release(std::vector<Envelope>& out) const
{
    for (const auto& member : m_asked)
        out.push_back({ member, ClaimRelease { m_key, m_id } });
}

}
