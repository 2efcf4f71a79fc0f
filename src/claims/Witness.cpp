#include "claims/Witness.h"

#include <set>

namespace eelgrassford::claims {

Witness::Witness(HostId self, std::uint32_t group, const Timing& timing, bool isFirstStart, TimePoint now)
    : m_self(std::move(self))
    , m_group(group)
    , m_timing(timing)
    , m_isFirstStart(isFirstStart)
    , m_startedAt(now)
    , m_confirmedAt(now)
    , m_nextSyncAt(now)
    , m_nextExpiryAt(now)
{
}

void Witness::setView(const WitnessView& view, TimePoint now)
{
    if (view.revision <= m_view.revision)
        return;
    const bool isSameSet = view.members == m_view.members;
    m_view = view;
    if (isSameSet) {
        if (m_isReady)
            m_readyView = m_view;
        return;
    }
    m_isReady = false;
    m_replies.clear();
    m_nextSyncAt = now;
}

void Witness::confirmView(TimePoint now) { m_confirmedAt = now; }

ClaimReply Witness::handle(const ClaimRequest& request, TimePoint now)
{
    ClaimReply reply { request.key, request.claim, Verdict::Refused, {}, m_view.digest() };
    if (!m_isReady || request.view.membersDigest != reply.view.membersDigest || isAbandoned(request.claim))
        return reply;
    dropExpired(now);
    const auto [position, isNew] = m_entries.try_emplace(request.key, Entry { request.claim, now });
    const auto& entry = position->second;
    if (isNew || (entry.holder == request.claim && !entry.isConflicted)) {
        m_isFirstStart = false;
        reply.verdict = Verdict::Granted;
        return reply;
    }
    reply.verdict = Verdict::Held;
    reply.holder = entry.holder;
    return reply;
}

void Witness::handle(const ClaimRelease& release, TimePoint now)
{
    m_abandoned.insert_or_assign(release.claim, now);
    const auto found = m_entries.find(release.key);
    if (found != m_entries.end() && found->second.holder == release.claim && !found->second.isConflicted)
        m_entries.erase(found);
}

SyncReply Witness::handle(const SyncRequest& request, TimePoint now)
{
    setView(request.view, now);
    SyncReply reply { m_group, m_view, m_readyView, m_isFirstStart, {} };
    reply.grants.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        reply.grants.push_back({ key, entry.holder, now - entry.grantedAt, entry.isConflicted });
    return reply;
}

void Witness::handle(const HostId& from, const SyncReply& reply, TimePoint now)
{
    setView(reply.view, now);
    if (m_isReady || reply.view.revision != m_view.revision)
        return;
    for (const auto& grant : reply.grants)
        learn(grant, now);
    auto& kept = m_replies[from];
    kept = reply;
    kept.grants.clear();
    evaluateSync(now);
}

void Witness::tick(TimePoint now, std::vector<Envelope>& out)
{
    dropExpired(now);
    if (m_isReady || m_view.members.empty())
        return;
    evaluateSync(now);
    if (m_isReady || now < m_nextSyncAt)
        return;
    m_nextSyncAt = now + m_timing.repeat;
    std::set<HostId> targets(m_view.members.begin(), m_view.members.end());
    if (m_readyView)
        targets.insert(m_readyView->members.begin(), m_readyView->members.end());
    for (const auto& [host, reply] : m_replies) {
        if (reply.readyView)
            targets.insert(reply.readyView->members.begin(), reply.readyView->members.end());
    }
    targets.erase(m_self);
    for (const auto& target : targets)
        out.push_back({ target, SyncRequest { m_group, m_view } });
}

void Witness::becomeReady()
{
    m_isReady = true;
    m_readyView = m_view;
    m_replies.clear();
}

void Witness::evaluateSync(TimePoint now)
{
    const bool hasMemory = m_readyView.has_value();
    const bool isQuiet = !hasMemory && !m_isFirstStart && now < m_startedAt + m_timing.quiet;
    if (m_isReady || isQuiet || !m_view.contains(m_self))
        return;
    const WitnessView* base = hasMemory ? &*m_readyView : nullptr;
    for (const auto& [host, reply] : m_replies) {
        if (reply.readyView && (!base || reply.readyView->revision > base->revision))
            base = &*reply.readyView;
    }
    if (base && hasEnoughReplies(*base)) {
        becomeReady();
        return;
    }
    if (!base && m_isFirstStart && isFirstStartComplete()) {
        becomeReady();
        return;
    }
    // Whatever this witness forgot has expired, and the platform has shown a list from after the restart.
    const auto forgottenUntil = m_startedAt + m_timing.retention;
    if (!base && now >= forgottenUntil && m_confirmedAt >= forgottenUntil)
        becomeReady();
}

bool Witness::hasEnoughReplies(const WitnessView& base) const
{
    std::size_t count = 0;
    if (m_readyView && m_readyView->members == base.members && base.contains(m_self))
        ++count;
    for (const auto& [host, reply] : m_replies) {
        const bool wasReady = reply.readyView && reply.readyView->members == base.members;
        // One that never granted since the fleet began has nothing to forget.
        if (base.contains(host) && (wasReady || reply.isFirstStart))
            ++count;
    }
    return count >= (base.members == m_view.members ? base.blockingCount() : base.quorum());
}

bool Witness::isFirstStartComplete() const
{
    return std::all_of(m_view.members.begin(), m_view.members.end(), [&](const HostId& member) {
        if (member == m_self)
            return true;
        const auto found = m_replies.find(member);
        return found != m_replies.end() && found->second.isFirstStart;
    });
}

void Witness::learn(const Grant& grant, TimePoint now)
{
    if (grant.age >= m_timing.retention || isAbandoned(grant.holder))
        return;
    const auto [position, isNew]
        = m_entries.try_emplace(grant.key, Entry { grant.holder, now - grant.age, grant.isConflicted });
    auto& entry = position->second;
    if (isNew)
        return;
    entry.isConflicted = entry.isConflicted || grant.isConflicted || entry.holder != grant.holder;
    entry.grantedAt = std::max(entry.grantedAt, now - grant.age);
}

void Witness::dropExpired(TimePoint now)
{
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = now + std::chrono::seconds(1);
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.grantedAt >= m_timing.retention; });
    std::erase_if(m_abandoned, [&](const auto& item) { return now - item.second >= m_timing.retention; });
}

}
