#include "fleet/Members.h"

#include <algorithm>

namespace eelgrassford::fleet {

namespace {

    constexpr double tenthsPerRequest = 10.0;

    /// Addresses of the members for which a predicate holds.
    template <typename Members, typename Predicate>
    std::vector<std::string> ipsOf(const Members& members, Predicate isWanted)
    {
        std::vector<std::string> result;
        for (const auto& [ip, member] : members) {
            if (isWanted(member))
                result.push_back(ip);
        }
        return result;
    }

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
    member->second.nextDigestAt = now;
}

bool Members::receive(const Digest& digest, TimePoint now)
{
    if (digest.ip == m_ownIp || digest.incarnation == m_ownIncarnation)
        return false;
    add(digest.ip, now);
    auto& member = m_members[digest.ip];
    const bool isSameIncarnation = member.digest && member.digest->incarnation == digest.incarnation;
    if (isSameIncarnation && digest.sequence <= member.digest->sequence)
        return false;
    member.digest = digest;
    member.heardAt = now;
    member.nextDigestAt = std::min(member.nextDigestAt, now + m_options.digestInterval);
    for (const auto& ip : digest.members)
        add(ip, now);
    return true;
}

void Members::forgetSilent(TimePoint now)
{
    std::erase_if(
        m_members, [&](const auto& entry) { return now - entry.second.lastSignOfLife() > m_options.forgetTimeout; });
}

std::vector<std::string> Members::takeDue(TimePoint now)
{
    forgetSilent(now);
    const auto interval = std::max(
        m_options.digestInterval, m_options.digestIntervalPerMember * static_cast<std::int64_t>(m_members.size()));
    std::vector<std::string> result;
    for (auto& [ip, member] : m_members) {
        if (now < member.nextDigestAt)
            continue;
        const bool isSilent = now - std::max(member.heardAt, member.knownSince) > m_options.silenceTimeout;
        member.nextDigestAt = now + (isSilent ? m_options.silentDigestInterval : interval);
        result.push_back(ip);
    }
    return result;
}

std::vector<std::string> Members::takeDueDirect(TimePoint now)
{
    forgetSilent(now);
    std::vector<std::string> result;
    for (auto& [ip, member] : m_members) {
        if (now < member.nextDigestAt || !isLive(member, now) || !member.digest->aggregator.empty())
            continue;
        member.nextDigestAt = now + m_options.digestInterval;
        result.push_back(ip);
        if (result.size() >= m_options.directDigestsPerTurn)
            break;
    }
    return result;
}

void Members::mention(std::span<const std::string> ips, Evidence evidence, TimePoint now)
{
    for (const auto& ip : ips) {
        add(ip, now);
        const auto found = m_members.find(ip);
        if (found != m_members.end())
            (evidence == Evidence::Reported ? found->second.reportedAt : found->second.repeatedAt) = now;
    }
}

std::vector<std::string> Members::sampleMembers()
{
    // Names only members that have sent a digest, so that a stale address is not passed on.
    auto candidates = ipsOf(m_members, [](const Member& member) { return member.digest.has_value(); });
    return takeSample(std::move(candidates), m_options.membersPerDigest, m_lastSampled);
}

std::vector<std::string> Members::sampleHeard(std::size_t count, TimePoint now)
{
    auto candidates
        = ipsOf(m_members, [&](const Member& member) { return now - member.heardAt <= m_options.reportTimeout; });
    return takeSample(std::move(candidates), count, m_lastHeardSampled);
}

std::vector<std::string> Members::samplePresent(std::size_t count, TimePoint now)
{
    // Members that were only repeated are left out: daemons could repeat a dead one to each other forever.
    auto candidates = ipsOf(m_members, [&](const Member& member) {
        const bool isHeard = now - member.heardAt <= m_options.reportTimeout;
        return isHeard || now - member.reportedAt <= m_options.presenceTimeout;
    });
    return takeSample(std::move(candidates), count, m_lastPresentSampled);
}

std::vector<std::string> Members::takeSample(
    std::vector<std::string> candidates, std::size_t count, std::string& lastSampled)
{
    if (candidates.size() <= count)
        return candidates;
    const auto first = std::upper_bound(candidates.begin(), candidates.end(), lastSampled);
    std::rotate(candidates.begin(), first, candidates.end());
    candidates.resize(count);
    lastSampled = candidates.back();
    return candidates;
}

void Members::expediteDigests(TimePoint now)
{
    for (auto& [ip, member] : m_members) {
        if (isLive(member, now))
            member.nextDigestAt = now;
    }
}

bool Members::isLive(const Member& member, TimePoint now) const
{
    return member.digest && !member.digest->isLeaving && now - member.heardAt <= m_options.digestLifetime;
}

void Members::addStates(const Member& member, TimePoint now, std::unordered_map<RunnerKey, RunnerSummary>& totals)
{
    for (const auto& state : member.digest->runners) {
        auto& summary = totals[state.runner];
        summary.inFlight += state.inFlight;
        summary.served += state.servedTenths / tenthsPerRequest;
        summary.failed += state.failedTenths / tenthsPerRequest;
        summary.remaining += state.remaining;
        const auto suspendedUntil = member.heardAt + std::chrono::milliseconds(state.suspendedMs);
        summary.suspendedBy += now < suspendedUntil ? 1 : 0;
    }
}

std::unordered_map<RunnerKey, RunnerSummary> Members::summarize(TimePoint now) const
{
    std::unordered_map<RunnerKey, RunnerSummary> result;
    for (const auto& [ip, member] : m_members) {
        if (isLive(member, now))
            addStates(member, now, result);
    }
    return result;
}

void Members::addTotals(
    std::string_view aggregator, TimePoint now, std::unordered_map<RunnerKey, RunnerSummary>& totals) const
{
    for (const auto& [ip, member] : m_members) {
        if (isLive(member, now) && member.digest->aggregator == aggregator)
            addStates(member, now, totals);
    }
}

void Members::addDemands(std::optional<std::string_view> aggregator, TimePoint now, admission::DemandSum& sum) const
{
    for (const auto& [ip, member] : m_members) {
        if (isLive(member, now) && (!aggregator || member.digest->aggregator == *aggregator))
            sum.add(member.digest->demands);
    }
}

std::vector<Members::Reporter> Members::reportersTo(std::string_view aggregator, TimePoint now) const
{
    std::vector<Reporter> result;
    for (const auto& [ip, member] : m_members) {
        if (isLive(member, now) && member.digest->aggregator == aggregator)
            result.push_back({ ip, member.digest->sequence });
    }
    return result;
}

std::vector<std::string> Members::knownIps() const
{
    return ipsOf(m_members, [](const Member&) { return true; });
}

std::vector<std::string> Members::presentIps(TimePoint now) const
{
    return ipsOf(
        m_members, [&](const Member& member) { return now - member.lastSignOfLife() <= m_options.presenceTimeout; });
}

std::vector<std::string> Members::liveIps(TimePoint now) const
{
    return ipsOf(m_members, [&](const Member& member) { return isLive(member, now); });
}

std::size_t Members::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return isLive(entry.second, now); }));
}

}
