#include "fleet/Aggregation.h"

#include "common/Hash.h"
#include <algorithm>
#include <unordered_map>

namespace eelgrassford::fleet {

namespace {

    /// Sums by runner.
    class Sum {
    public:
        void add(const RunnerTotal& part)
        {
            auto& total = m_totals[part.runner];
            total.runner = part.runner;
            total.inFlight += part.inFlight;
            total.servedTenths += part.servedTenths;
            total.failedTenths += part.failedTenths;
            total.suspendedBy += part.suspendedBy;
            total.remaining += part.remaining;
        }

        std::vector<RunnerTotal> take()
        {
            std::vector<RunnerTotal> result;
            result.reserve(m_totals.size());
            for (const auto& [runner, total] : m_totals)
                result.push_back(total);
            return result;
        }

    private:
        std::unordered_map<RunnerKey, RunnerTotal> m_totals;
    };

    /// @a value without @a part; a sum may be older than the part that is taken from it.
    std::uint32_t without(std::uint32_t value, std::uint32_t part) { return value > part ? value - part : 0; }

}

Aggregation::Aggregation(std::string ownIp, const AggregationOptions& options)
    : m_ownIp(std::move(ownIp))
    , m_options(options)
{
}

void Aggregation::update(std::span<const std::string> presentIps, bool hasReporters, TimePoint now)
{
    const auto size = presentIps.size() + 1;
    m_isActive = size >= (m_isActive ? m_options.endSize : m_options.startSize);
    std::erase_if(m_groups, [&](const auto& entry) { return !isFresh(entry.second, now); });
    std::erase_if(m_suspectedUntil, [&](const auto& entry) { return now >= entry.second; });
    if (!m_isActive) {
        if (!m_aggregator.empty())
            m_previousAggregator = std::exchange(m_aggregator, {});
        m_peers.clear();
        m_peerSince.clear();
        m_fleet.reset();
        return;
    }
    suspectSilentAggregators(now);
    chooseAggregators(presentIps, hasReporters, now);
}

void Aggregation::suspectSilentAggregators(TimePoint now)
{
    if (!m_aggregator.empty() && m_aggregator != m_ownIp) {
        const bool hasAnswered = m_fleet && m_fleet->summary.ip == m_aggregator && m_fleet->at >= m_aggregatorSince;
        const bool isSilent = hasAnswered ? now - m_fleet->at > m_options.responseTimeout
                                          : now - m_aggregatorSince > m_options.firstResponseTimeout;
        if (isSilent)
            m_suspectedUntil[m_aggregator] = now + m_options.suspicionTime;
    }
    // Aggregators hear each other only if both of them are listed, which takes a while after a change.
    if (!isOwnAggregator())
        return;
    for (const auto& [ip, since] : m_peerSince) {
        const auto heard = m_groups.find(ip);
        const auto lastHeardAt = heard == m_groups.end() ? since + m_options.summaryLifetime : heard->second.at;
        if (now - lastHeardAt > m_options.responseTimeout)
            m_suspectedUntil[ip] = now + m_options.suspicionTime;
    }
}

void Aggregation::chooseAggregators(std::span<const std::string> presentIps, bool hasReporters, TimePoint now)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> candidates;
    candidates.emplace_back(hash64(m_ownIp), m_ownIp);
    for (const auto& ip : presentIps) {
        if (!isSuspected(ip, now))
            candidates.emplace_back(hash64(ip), ip);
    }
    const auto wanted = (presentIps.size() + m_options.daemonsPerAggregator) / m_options.daemonsPerAggregator;
    const auto count = std::min(wanted, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    candidates.resize(count);
    m_peers.clear();
    std::map<std::string, TimePoint> peerSince;
    std::string chosen;
    std::uint64_t highest = 0;
    for (const auto& [hash, ip] : candidates) {
        const auto score = ip == m_ownIp ? ~std::uint64_t { 0 } : mix64(hash64(m_ownIp), hash);
        if (chosen.empty() || score > highest) {
            chosen = ip;
            highest = score;
        }
        if (ip == m_ownIp)
            continue;
        m_peers.emplace_back(ip);
        const auto listed = m_peerSince.find(m_peers.back());
        peerSince[m_peers.back()] = listed == m_peerSince.end() ? now : listed->second;
    }
    m_peerSince = std::move(peerSince);
    if (hasReporters)
        chosen = m_ownIp;
    if (chosen == m_aggregator)
        return;
    if (!m_aggregator.empty() && m_aggregator != m_ownIp)
        m_previousAggregator = m_aggregator;
    m_aggregator = chosen;
    m_aggregatorSince = now;
}

std::vector<std::string> Aggregation::otherAggregators(TimePoint now) const
{
    auto result = m_peers;
    for (const auto& [ip, received] : m_groups) {
        if (isFresh(received, now) && !m_peerSince.contains(ip))
            result.push_back(ip);
    }
    return result;
}

std::optional<std::string> Aggregation::takePreviousAggregator()
{
    return std::exchange(m_previousAggregator, std::nullopt);
}

bool Aggregation::isSuspected(const std::string& ip, TimePoint now) const
{
    const auto suspected = m_suspectedUntil.find(ip);
    return suspected != m_suspectedUntil.end() && now < suspected->second;
}

void Aggregation::recordLeaving(const std::string& ip, TimePoint now)
{
    m_suspectedUntil[ip] = now + m_options.suspicionTime;
    m_groups.erase(ip);
}

void Aggregation::recordReport(const Digest& digest, TimePoint now)
{
    m_reports.push_back({ digest.sequence, now, digest.runners, digest.demands });
    if (m_reports.size() > m_options.maxPendingReports)
        m_reports.pop_front();
}

bool Aggregation::receive(const Summary& summary, TimePoint now)
{
    if (summary.ip == m_ownIp)
        return false;
    const auto isNewer = [&](const Summary& kept) {
        return kept.ip != summary.ip || kept.incarnation != summary.incarnation || kept.sequence < summary.sequence;
    };
    if (summary.isLeaving) {
        recordLeaving(summary.ip, now);
        return true;
    }
    if (summary.scope == Summary::Scope::Group) {
        auto& received = m_groups[summary.ip];
        if (!received.summary.ip.empty() && !isNewer(received.summary))
            return false;
        received = { summary, now };
        return true;
    }
    if (summary.ip != m_aggregator || (m_fleet && !isNewer(m_fleet->summary)))
        return false;
    m_fleet = { summary, now };
    return true;
}

std::optional<TimePoint> Aggregation::reportedAt(std::uint64_t sequence) const
{
    for (const auto& report : m_reports) {
        if (report.sequence == sequence)
            return report.sentAt;
    }
    return std::nullopt;
}

bool Aggregation::isFresh(const Received& received, TimePoint now) const
{
    return now - received.at <= m_options.summaryLifetime;
}

std::vector<RunnerTotal> Aggregation::otherGroups(TimePoint now) const
{
    Sum sum;
    for (const auto& [ip, received] : m_groups) {
        if (!isFresh(received, now))
            continue;
        for (const auto& total : received.summary.runners)
            sum.add(total);
    }
    return sum.take();
}

std::uint32_t Aggregation::otherGroupsSize(TimePoint now) const
{
    std::uint32_t size = 0;
    for (const auto& [ip, received] : m_groups)
        size += isFresh(received, now) ? received.summary.daemons : 0;
    return size;
}

std::vector<RunnerTotal> Aggregation::fleetWithoutSelf(TimePoint now) const
{
    if (!m_fleet || !isFresh(*m_fleet, now))
        return {};
    auto result = m_fleet->summary.runners;
    const auto* report = acknowledgedReport();
    if (!report)
        return result;
    for (const auto& own : report->runners) {
        const auto total = std::find_if(
            result.begin(), result.end(), [&](const RunnerTotal& candidate) { return candidate.runner == own.runner; });
        if (total == result.end())
            continue;
        total->inFlight = without(total->inFlight, own.inFlight);
        total->servedTenths = without(total->servedTenths, own.servedTenths);
        total->failedTenths = without(total->failedTenths, own.failedTenths);
        total->suspendedBy = without(total->suspendedBy, own.suspendedMs > 0 ? 1 : 0);
        total->remaining -= own.remaining;
    }
    return result;
}

const Aggregation::Report* Aggregation::acknowledgedReport() const
{
    const auto report = std::find_if(m_reports.begin(), m_reports.end(),
        [&](const Report& candidate) { return candidate.sequence == m_fleet->summary.acknowledged; });
    return report == m_reports.end() ? nullptr : &*report;
}

void Aggregation::addOtherGroupDemands(TimePoint now, admission::DemandSum& sum) const
{
    for (const auto& [ip, received] : m_groups) {
        if (isFresh(received, now))
            sum.add(received.summary.demands);
    }
}

void Aggregation::addFleetDemandsWithoutSelf(TimePoint now, admission::DemandSum& sum) const
{
    if (!m_fleet || !isFresh(*m_fleet, now))
        return;
    sum.add(m_fleet->summary.demands);
    if (const auto* report = acknowledgedReport())
        sum.subtract(report->demands);
}

std::uint32_t Aggregation::fleetSize(TimePoint now) const
{
    return m_fleet && isFresh(*m_fleet, now) ? m_fleet->summary.daemons : 0;
}

}
