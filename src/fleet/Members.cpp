#include "fleet/Members.h"

#include <algorithm>

namespace eelgrassford::fleet {

namespace {

    constexpr double tenths = 10.0;
    /// Own digests whose time is remembered; some ten seconds' worth.
    constexpr std::size_t rememberedDigests = 64;

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
    member.writtenAfter = echoOf(digest);
    for (const auto& reference : digest.members)
        add(reference.ip, now);
    return true;
}

std::vector<std::string> Members::due(TimePoint now)
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

std::vector<MemberReference> Members::nameSome()
{
    // Only daemons that were heard are named, so that a stale address dies out.
    std::vector<MemberReference> heard;
    for (const auto& [ip, member] : m_members) {
        if (member.digest)
            heard.push_back({ ip, member.digest->incarnation, member.digest->sequence });
    }
    if (heard.size() <= m_options.namedMembers)
        return heard;
    const auto first = std::upper_bound(heard.begin(), heard.end(), m_lastNamed,
        [](const std::string& ip, const MemberReference& reference) { return ip < reference.ip; });
    std::rotate(heard.begin(), first, heard.end());
    heard.resize(m_options.namedMembers);
    m_lastNamed = heard.back().ip;
    return heard;
}

void Members::recordSent(std::uint64_t sequence, TimePoint now)
{
    m_sent.push_back({ sequence, now });
    if (m_sent.size() > rememberedDigests)
        m_sent.pop_front();
}

std::optional<TimePoint> Members::echoOf(const Digest& digest) const
{
    for (const auto& reference : digest.members) {
        if (reference.ip != m_ownIp || reference.incarnation != m_ownIncarnation)
            continue;
        const auto sent = std::find_if(
            m_sent.begin(), m_sent.end(), [&](const Sent& entry) { return entry.sequence == reference.sequence; });
        if (sent != m_sent.end())
            return sent->at;
    }
    return std::nullopt;
}

bool Members::isFresh(const Member& member, TimePoint now) const
{
    return member.digest && !member.digest->isLeaving && now - member.heardAt <= m_options.digestLifetime;
}

std::unordered_map<std::uint64_t, RunnerSummary> Members::summarize(TimePoint now) const
{
    std::unordered_map<std::uint64_t, RunnerSummary> result;
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

std::optional<TimePoint> Members::vouchedProof(std::uint64_t revision, TimePoint now) const
{
    std::optional<TimePoint> best;
    for (const auto& [ip, member] : m_members) {
        if (!isFresh(member, now) || !member.writtenAfter || member.digest->proofAgeMs < 0
            || member.digest->configurationRevision != revision)
            continue;
        const auto provenAt = *member.writtenAfter - std::chrono::milliseconds(member.digest->proofAgeMs);
        if (!best || provenAt > *best)
            best = provenAt;
    }
    return best;
}

std::size_t Members::heard(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return isFresh(entry.second, now); }));
}

}
