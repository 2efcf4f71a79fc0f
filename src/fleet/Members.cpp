#include "fleet/Members.h"

#include <algorithm>

namespace eelgrassford::fleet {

namespace {

    constexpr double tenths = 10.0;

}

Members::Members(std::string ownIp, std::uint64_t ownIncarnation, const MembersOptions& options)
    : m_ownIp(std::move(ownIp))
    , m_ownIncarnation(ownIncarnation)
    , m_options(options)
{
}

void Members::addSeeds(std::span<const std::string> ips, TimePoint now)
{
    for (const auto& ip : ips)
        add(ip, now);
}

void Members::add(const std::string& ip, TimePoint now)
{
    if (ip == m_ownIp || ip.empty())
        return;
    const auto [member, isNew] = m_members.try_emplace(ip);
    if (!isNew)
        return;
    member->second.knownSince = now;
    member->second.nextAt = now;
}

bool Members::receive(const Digest& digest, TimePoint now)
{
    if (digest.ip == m_ownIp || digest.incarnation == m_ownIncarnation)
        return false;
    add(digest.ip, now);
    auto& member = m_members[digest.ip];
    const bool isSameLife = member.digest && member.digest->incarnation == digest.incarnation;
    if (isSameLife && digest.sequence <= member.digest->sequence)
        return false;
    member.digest = digest;
    member.heardAt = now;
    member.nextAt = std::min(member.nextAt, now + m_options.interval);
    for (const auto& ip : digest.members)
        add(ip, now);
    return true;
}

std::vector<std::string> Members::takeDue(TimePoint now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const auto& member = entry.second;
        return now - std::max(member.heardAt, member.knownSince) > m_options.forget;
    });
    const auto interval
        = std::max(m_options.interval, m_options.intervalPerMember * static_cast<std::int64_t>(m_members.size()));
    std::vector<std::string> result;
    for (auto& [ip, member] : m_members) {
        if (now < member.nextAt)
            continue;
        const bool isSilent = now - std::max(member.heardAt, member.knownSince) > m_options.silence;
        member.nextAt = now + (isSilent ? m_options.silentInterval : interval);
        result.push_back(ip);
    }
    return result;
}

std::vector<std::string> Members::sampleMembers()
{
    // Only daemons that were heard are named, so that a stale address dies out.
    std::vector<std::string> heard;
    for (const auto& [ip, member] : m_members) {
        if (member.digest)
            heard.push_back(ip);
    }
    if (heard.size() <= m_options.namedMembers)
        return heard;
    const auto first = std::upper_bound(heard.begin(), heard.end(), m_lastNamed);
    std::rotate(heard.begin(), first, heard.end());
    heard.resize(m_options.namedMembers);
    m_lastNamed = heard.back();
    return heard;
}

void Members::expediteDigests(TimePoint now)
{
    for (auto& [ip, member] : m_members) {
        if (isFresh(member, now))
            member.nextAt = now;
    }
}

bool Members::isFresh(const Member& member, TimePoint now) const
{
    return member.digest && !member.digest->isLeaving && now - member.heardAt <= m_options.digestLifetime;
}

std::unordered_map<RunnerKey, RunnerSummary> Members::summarize(TimePoint now) const
{
    std::unordered_map<RunnerKey, RunnerSummary> result;
    for (const auto& [ip, member] : m_members) {
        if (!isFresh(member, now))
            continue;
        for (const auto& state : member.digest->runners) {
            auto& summary = result[state.runner];
            summary.underWay += state.underWay;
            summary.served += state.servedTenths / tenths;
            summary.failed += state.failedTenths / tenths;
            const auto suspended = member.heardAt + std::chrono::milliseconds(state.suspendedMs);
            summary.suspendedBy += now < suspended ? 1 : 0;
        }
    }
    return result;
}

std::vector<std::string> Members::liveIps(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [ip, member] : m_members) {
        if (isFresh(member, now))
            result.push_back(ip);
    }
    return result;
}

std::size_t Members::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return isFresh(entry.second, now); }));
}

}
