#include "admission/OrganisationShares.h"

#include <algorithm>
#include <cmath>

namespace eelgrassford::admission {

namespace {

    /// Halvings of the interval in which the level lies; leave an error of less than a millionth.
    constexpr int levelIterations = 30;
    /// Own work, in slots, below which a flow counts as idle.
    constexpr double idleWork = 1e-4;

}

void OrganisationShares::record(FlowKey flow, double work, TimePoint now)
{
    m_ownByPriority[priorityOf(flow)].add(work, m_options.window, now);
    if (m_ownFlows.size() < m_options.flowLimit || m_ownFlows.contains(flow))
        m_ownFlows[flow].add(work, m_options.window, now);
}

void OrganisationShares::setOthers(const ServiceDemand* others, TimePoint now)
{
    if (others) {
        m_others = *others;
        m_fadesSince.reset();
    } else if (!m_fadesSince) {
        m_fadesSince = now;
    }
}

double OrganisationShares::rateOf(const DecayingSum& sum, TimePoint now) const
{
    return sum.valueAt(m_options.window, now) / toSeconds(m_options.window);
}

ServiceDemand OrganisationShares::ownDemand(std::size_t flowCount, TimePoint now) const
{
    const auto toWork
        = [&](const DecayingSum& sum) { return static_cast<Work>(std::llround(rateOf(sum, now) * workPerSlot)); };
    ServiceDemand result;
    std::transform(m_ownByPriority.begin(), m_ownByPriority.end(), result.byPriority.begin(), toWork);
    for (const auto& [flow, sum] : m_ownFlows) {
        if (const auto work = toWork(sum); work > 0)
            result.flows.push_back({ flow, work });
    }
    keepHeaviest(result.flows, flowCount);
    return result;
}

void OrganisationShares::removeIdle(TimePoint now)
{
    std::erase_if(m_ownFlows, [&](const auto& entry) { return rateOf(entry.second, now) < idleWork; });
}

double OrganisationShares::weightOf(std::size_t priority) const
{
    return std::pow(m_options.weightStep, -static_cast<double>(priority));
}

double OrganisationShares::othersFactor(TimePoint now) const
{
    if (!m_fadesSince)
        return 1.0;
    return std::max(0.0, 1.0 - toSeconds(now - *m_fadesSince) / toSeconds(m_options.fadeTime));
}

std::unordered_map<FlowKey, double> OrganisationShares::knownFlows(TimePoint now) const
{
    std::unordered_map<FlowKey, double> result;
    const auto factor = othersFactor(now) / workPerSlot;
    const bool isAlone = m_others.total() == 0 || factor <= 0.0;
    if (!isAlone) {
        for (const auto& flow : m_others.flows)
            result[flow.flow] += static_cast<double>(flow.work) * factor;
    }
    // The own part of a flow that no other daemon reports would be taken for all of it.
    for (const auto& [flow, sum] : m_ownFlows) {
        if (isAlone || result.contains(flow))
            result[flow] += rateOf(sum, now);
    }
    return result;
}

std::array<double, priorityCount> OrganisationShares::lightestHeavy(
    const std::unordered_map<FlowKey, double>& flows) const
{
    std::vector<FlowDemand> heavy;
    heavy.reserve(flows.size());
    for (const auto& [flow, work] : flows)
        heavy.push_back({ flow, static_cast<Work>(work * workPerSlot) });
    keepHeaviest(heavy, m_options.heavyFlows);
    std::array<double, priorityCount> result;
    result.fill(heavy.empty() ? m_demand : flows.at(heavy.back().flow));
    // In order of falling work, so that the last one of a priority remains.
    for (const auto& flow : heavy)
        result[priorityOf(flow.flow)] = flows.at(flow.flow);
    return result;
}

void OrganisationShares::divide(double slots, double largestShare, TimePoint now)
{
    const auto factor = othersFactor(now) / workPerSlot;
    std::array<double, priorityCount> rest {};
    m_demand = 0.0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        rest[i] = static_cast<double>(m_others.byPriority[i]) * factor + rateOf(m_ownByPriority[i], now);
        m_demand += rest[i];
    }
    const auto capacity = std::max(0.0, std::min(slots, largestShare * m_demand));
    admitAll();
    m_meanShare = m_demand > capacity ? capacity / m_demand : 1.0;
    if (m_meanShare >= 1.0)
        return;
    const auto flows = knownFlows(now);
    const auto lightest = lightestHeavy(flows);
    std::vector<Part> parts;
    for (const auto& [flow, work] : flows) {
        rest[priorityOf(flow)] -= work;
        parts.push_back({ work, weightOf(priorityOf(flow)) });
    }
    for (std::size_t i = 0; i < priorityCount; ++i) {
        rest[i] = std::max(rest[i], 0.0);
        parts.push_back({ rest[i], weightOf(i) * std::max(rest[i] / std::max(lightest[i], idleWork), 1.0) });
    }
    const auto level = levelFor(parts, capacity);
    for (const auto& [flow, work] : flows)
        m_shares[flow] = shareAt(level, { work, weightOf(priorityOf(flow)) });
    for (std::size_t i = 0; i < priorityCount; ++i)
        m_shareOfLightFlows[i] = shareAt(level, { std::max(lightest[i], idleWork), weightOf(i) });
}

void OrganisationShares::admitAll()
{
    m_shares.clear();
    m_shareOfLightFlows.fill(1.0);
    m_meanShare = 1.0;
}

double OrganisationShares::shareAt(double level, const Part& part) const
{
    const auto fair = part.demand > 0.0 ? std::min(1.0, level * part.weight / part.demand) : 1.0;
    return std::max(fair, m_options.minimumShare * m_meanShare);
}

double OrganisationShares::levelFor(const std::vector<Part>& parts, double capacity) const
{
    double low = 0.0;
    double high = 0.0;
    for (const auto& part : parts)
        high = std::max(high, part.demand / part.weight);
    for (int i = 0; i < levelIterations; ++i) {
        const auto middle = (low + high) / 2.0;
        double admitted = 0.0;
        for (const auto& part : parts)
            admitted += part.demand * shareAt(middle, part);
        (admitted <= capacity ? low : high) = middle;
    }
    return low;
}

double OrganisationShares::lowestShare() const
{
    double result = 1.0;
    for (const auto& [flow, share] : m_shares)
        result = std::min(result, share);
    return result;
}

double OrganisationShares::shareOf(FlowKey flow) const
{
    const auto found = m_shares.find(flow);
    return found == m_shares.end() ? m_shareOfLightFlows[priorityOf(flow)] : found->second;
}

}
