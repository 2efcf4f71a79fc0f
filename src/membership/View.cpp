#include "membership/View.h"

#include <algorithm>

namespace eelgrassford::membership {

namespace {

    constexpr double initialSlowStartFactor = 0.1;

}

View::View(const ViewOptions& options)
    : m_options(options)
{
}

bool View::apply(const HostList& list, TimePoint now)
{
    if (list.hosts.empty() || list.revision <= m_list.revision) {
        m_ignoredEmptyLists += list.hosts.empty() ? 1 : 0;
        return false;
    }
    const bool isFirstList = m_list.revision == 0;
    m_list = list;
    ++m_generation;
    std::map<HostId, Member> members;
    for (const auto& host : list.hosts) {
        const auto old = m_members.find(host.id);
        Member member;
        if (old != m_members.end()) {
            member = old->second;
        } else {
            member.nextSuspicionDuration = m_options.initialSuspicion;
            member.liveSince = now;
            member.isSlowStarting = !isFirstList;
        }
        member.host = host;
        if (host.state == ListedState::Leaving)
            member.state = HostState::Leaving;
        else if (member.state == HostState::Leaving)
            becomeLive(member, now);
        members.emplace(host.id, std::move(member));
    }
    m_members = std::move(members);
    return true;
}

void View::reportFailure(const HostId& id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.state != HostState::Live)
        return;
    auto& member = found->second;
    ++member.failures;
    if (member.failures < m_options.failuresToSuspect || !canBecomeSuspect(member))
        return;
    if (now - member.liveSince >= m_options.suspicionResetDelay)
        member.nextSuspicionDuration = m_options.initialSuspicion;
    member.state = HostState::Suspect;
    member.suspectUntil = now + member.nextSuspicionDuration;
    member.nextSuspicionDuration = std::min(2 * member.nextSuspicionDuration, m_options.maximumSuspicion);
    ++m_generation;
}

void View::reportSuccess(const HostId& id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return;
    auto& member = found->second;
    member.failures = 0;
    if (member.isSlowStarting && now - member.liveSince >= m_options.slowStartDuration)
        member.isSlowStarting = false;
}

void View::tick(TimePoint now)
{
    const bool wasPaused = m_hasTicked && now - m_lastTick >= m_options.pauseThreshold;
    m_lastTick = now;
    m_hasTicked = true;
    for (auto& [id, member] : m_members) {
        if (wasPaused)
            member.failures = 0;
        if (member.state == HostState::Suspect && (wasPaused || now >= member.suspectUntil))
            becomeLive(member, now);
    }
}

const View::Member* View::find(const HostId& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

bool View::isEligible(const HostId& id) const
{
    const auto* member = find(id);
    return member && member->state == HostState::Live;
}

double View::slowStartFactor(const HostId& id, TimePoint now) const
{
    const auto* member = find(id);
    if (!member)
        return 0.0;
    if (!member->isSlowStarting || now - member->liveSince >= m_options.slowStartDuration)
        return 1.0;
    return initialSlowStartFactor
        + (1.0 - initialSlowStartFactor) * toSeconds(now - member->liveSince) / toSeconds(m_options.slowStartDuration);
}

bool View::canBecomeSuspect(const Member& candidate) const
{
    std::size_t peers = 0;
    std::size_t suspects = 0;
    for (const auto& [id, member] : m_members) {
        if (member.host.role != candidate.host.role || member.state == HostState::Leaving)
            continue;
        ++peers;
        suspects += member.state == HostState::Suspect ? 1 : 0;
    }
    // One host may always become suspect, whatever the share, if another one can take its work.
    const auto allowed = std::max(1.0, m_options.maximumSuspectShare * static_cast<double>(peers));
    return peers > 1 && static_cast<double>(suspects + 1) <= allowed;
}

void View::becomeLive(Member& member, TimePoint now)
{
    member.state = HostState::Live;
    member.failures = 0;
    member.liveSince = now;
    member.isSlowStarting = true;
    ++m_generation;
}

}
