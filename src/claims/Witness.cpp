#include "claims/Witness.h"

#include <set>

namespace eelgrassford::claims {

Witness::Witness(HostId self, std::uint32_t group, const Timing& timing, bool isFirstStart, TimePoint now)
    : m_self(std::move(self))
    , m_group(group)
    , m_timing(timing)
    , m_isFirstStart(isFirstStart)
    , m_startedAt(now)
    , m_viewConfirmedAt(now)
    , m_nextSyncAt(now)
    , m_nextExpiryAt(now)
{
}

void Witness::setView(const WitnessView& view, TimePoint now)
{
    if (view.revision <= m_view.revision)
        return;
    const bool hasSameMembers = view.members == m_view.members;
    m_view = view;
    if (hasSameMembers) {
        if (m_isReady)
            m_readyView = m_view;
        return;
    }
    m_isReady = false;
    m_syncReplies.clear();
    m_nextSyncAt = now;
}

void Witness::confirmView(TimePoint now) { m_viewConfirmedAt = now; }

ClaimReply Witness::handle(const ClaimRequest& request, TimePoint now)
{
    ClaimReply reply { request.key, request.claim, Verdict::Refused, {}, m_view.digest() };
    if (!m_isReady || request.view.membersDigest != reply.view.membersDigest || isReleased(request.claim))
        return reply;
    dropExpired(now);
    const auto [position, isNew] = m_grants.try_emplace(request.key, GrantRecord { request.claim, now });
    const auto& record = position->second;
    if (isNew || (record.holder == request.claim && !record.isConflicted)) {
        m_isFirstStart = false;
        reply.verdict = Verdict::Granted;
        return reply;
    }
    reply.verdict = Verdict::Held;
    reply.holder = record.holder;
    return reply;
}

void Witness::handle(const ClaimRelease& release, TimePoint now)
{
    m_released.insert_or_assign(release.claim, now);
    const auto found = m_grants.find(release.key);
    if (found != m_grants.end() && found->second.holder == release.claim && !found->second.isConflicted)
        m_grants.erase(found);
}

SyncReply Witness::handle(const SyncRequest& request, TimePoint now)
{
    setView(request.view, now);
    SyncReply reply { m_group, m_view, m_readyView, m_isFirstStart, {} };
    reply.grants.reserve(m_grants.size());
    for (const auto& [key, record] : m_grants)
        reply.grants.push_back({ key, record.holder, now - record.grantedAt, record.isConflicted });
    return reply;
}

void Witness::handle(const HostId& from, const SyncReply& reply, TimePoint now)
{
    setView(reply.view, now);
    if (m_isReady || reply.view.revision != m_view.revision)
        return;
    for (const auto& grant : reply.grants)
        mergeGrant(grant, now);
    auto& storedReply = m_syncReplies[from];
    storedReply = reply;
    storedReply.grants.clear();
    updateReadiness(now);
}

void Witness::tick(TimePoint now, std::vector<Envelope>& out)
{
    dropExpired(now);
    if (m_isReady || m_view.members.empty())
        return;
    updateReadiness(now);
    if (m_isReady || now < m_nextSyncAt)
        return;
    m_nextSyncAt = now + m_timing.resendInterval;
    std::set<HostId> targets(m_view.members.begin(), m_view.members.end());
    if (m_readyView)
        targets.insert(m_readyView->members.begin(), m_readyView->members.end());
    for (const auto& [host, reply] : m_syncReplies) {
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
    m_syncReplies.clear();
}

void Witness::updateReadiness(TimePoint now)
{
    const bool hasKeptGrants = m_readyView.has_value();
    const bool isAbstaining = !hasKeptGrants && !m_isFirstStart && now < m_startedAt + m_timing.abstentionPeriod;
    if (m_isReady || isAbstaining || !m_view.contains(m_self))
        return;
    // The newest view in which a witness is known to have been ready; grants must be read from enough of its members.
    const WitnessView* baseView = hasKeptGrants ? &*m_readyView : nullptr;
    for (const auto& [host, reply] : m_syncReplies) {
        if (reply.readyView && (!baseView || reply.readyView->revision > baseView->revision))
            baseView = &*reply.readyView;
    }
    if (baseView && hasEnoughReplies(*baseView)) {
        becomeReady();
        return;
    }
    if (!baseView && m_isFirstStart && isFirstStartComplete()) {
        becomeReady();
        return;
    }
    // By then, every grant that this witness lost in a restart has expired. The platform must have confirmed the view
    // since, as an outdated view would not name the present witnesses.
    const auto forgottenGrantsExpireAt = m_startedAt + m_timing.retention;
    if (!baseView && now >= forgottenGrantsExpireAt && m_viewConfirmedAt >= forgottenGrantsExpireAt)
        becomeReady();
}

bool Witness::hasEnoughReplies(const WitnessView& baseView) const
{
    std::size_t count = 0;
    if (m_readyView && m_readyView->members == baseView.members && baseView.contains(m_self))
        ++count;
    for (const auto& [host, reply] : m_syncReplies) {
        const bool wasReady = reply.readyView && reply.readyView->members == baseView.members;
        // A witness that has granted nothing since the first start of the fleet has lost no grants.
        if (baseView.contains(host) && (wasReady || reply.isFirstStart))
            ++count;
    }
    return count >= (baseView.members == m_view.members ? baseView.blockingCount() : baseView.quorum());
}

bool Witness::isFirstStartComplete() const
{
    return std::all_of(m_view.members.begin(), m_view.members.end(), [&](const HostId& member) {
        if (member == m_self)
            return true;
        const auto found = m_syncReplies.find(member);
        return found != m_syncReplies.end() && found->second.isFirstStart;
    });
}

void Witness::mergeGrant(const Grant& grant, TimePoint now)
{
    if (grant.age >= m_timing.retention || isReleased(grant.holder))
        return;
    const auto [position, isNew]
        = m_grants.try_emplace(grant.key, GrantRecord { grant.holder, now - grant.age, grant.isConflicted });
    auto& record = position->second;
    if (isNew)
        return;
    record.isConflicted = record.isConflicted || grant.isConflicted || record.holder != grant.holder;
    record.grantedAt = std::max(record.grantedAt, now - grant.age);
}

void Witness::dropExpired(TimePoint now)
{
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = now + std::chrono::seconds(1);
    std::erase_if(m_grants, [&](const auto& item) { return now - item.second.grantedAt >= m_timing.retention; });
    std::erase_if(m_released, [&](const auto& item) { return now - item.second >= m_timing.retention; });
}

}
