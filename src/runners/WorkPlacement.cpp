#include "runners/WorkPlacement.h"

#include "common/Hash.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace eelgrassford::runners {

void WorkPlacement::recordSent(std::uint64_t affinityKey, const Runner& runner, TimePoint now)
{
    if (affinityKey == 0)
        return;
    const auto key = mix64(affinityKey, runner.identity);
    m_copies[key % copySlots] = { key, now };
}

bool WorkPlacement::hasCopy(std::uint64_t affinityKey, const Runner& runner, TimePoint now) const
{
    const auto key = mix64(affinityKey, runner.identity);
    const auto& copy = m_copies[key % copySlots];
    return copy.key == key && now - copy.at <= m_options.copyLifetime;
}

void WorkPlacement::collect(const Registry& registry, const work::RemainingWork& remaining,
    const PlacementRequest& request, bool keepsDataCentre, TimePoint now)
{
    m_candidates.clear();
    m_dataCentres.clear();
    for (auto* runner : registry.runnersOf(request.service)) {
        if (!canTake(registry, *runner, request, now))
            continue;
        Candidate candidate;
        candidate.runner = runner;
        candidate.load = registry.load(*runner, now);
        candidate.isLocal = !keepsDataCentre || runner->entry.dataCentre == request.dataCentre;
        if (candidate.isLocal)
            candidate.view = remaining.view(static_cast<work::RunnerKey>(runner->identity), now);
        candidate.isReturning = request.affinityKey != 0 && runner->entry.id == request.previousRunner;
        if (std::find(m_dataCentres.begin(), m_dataCentres.end(), runner->entry.dataCentre) == m_dataCentres.end())
            m_dataCentres.push_back(runner->entry.dataCentre);
        m_candidates.push_back(candidate);
    }
    // The other daemons that choose from the same runners send to each about as much as this one.
    const auto daemons = static_cast<double>(registry.fleet().others.size())
        / static_cast<double>(keepsDataCentre ? std::max<std::size_t>(1, m_dataCentres.size()) : 1);
    const auto unreported = daemons * toSeconds(m_options.reportDelay);
    for (auto& candidate : m_candidates)
        candidate.expectedLoad = candidate.load + candidate.view.requestRate * unreported;
}

void WorkPlacement::findWarm(
    const Registry& registry, const PlacementRequest& request, bool keepsDataCentre, TimePoint now)
{
    // Without data centres of their own, all runners share one order.
    const auto isSameOrder = [&](const Candidate& left, const Candidate& right) {
        return !keepsDataCentre || left.runner->entry.dataCentre == right.runner->entry.dataCentre;
    };
    // Deployments have few data centres.
    m_orders.clear();
    for (auto& candidate : m_candidates) {
        candidate.isWarm
            = candidate.isReturning || (candidate.isLocal && hasCopy(request.affinityKey, *candidate.runner, now));
        const auto order = std::find_if(
            m_orders.begin(), m_orders.end(), [&](const Order& each) { return isSameOrder(*each.first, candidate); });
        const auto score = mix64(request.affinityKey, candidate.runner->identity);
        if (order == m_orders.end())
            m_orders.push_back({ &candidate, nullptr, score, 0 });
        else if (score > order->firstScore)
            *order = { &candidate, order->first, score, order->firstScore };
        else if (!order->second || score > order->secondScore)
            *order = { order->first, &candidate, order->firstScore, score };
    }
    for (const auto& order : m_orders) {
        order.first->isWarm |= !registry.isRecentlyAdded(*order.first->runner, now);
        if (order.second)
            order.second->isSecond = true;
    }
}

double WorkPlacement::uncachedTokens(const Candidate& candidate, const RequestCost& cost) const
{
    if (candidate.isReturning)
        return 0.0;
    if (candidate.isWarm)
        return std::max(0.0, cost.promptTokens - cost.prefixTokens);
    // Only the second runner is credited with the fetch, so that all daemons bring a hot prefix to the same one.
    if (candidate.isSecond && cost.prefixTokens >= m_options.minTokensToFetch)
        return std::max(0.0, cost.promptTokens - cost.prefixTokens * (1.0 - m_options.fetchShare));
    return cost.promptTokens;
}

void WorkPlacement::estimate(
    Candidate& candidate, const PlacementRequest& request, const RequestCost& cost, const ServiceProfile& profile) const
{
    const auto* runner = candidate.runner;
    const auto load = candidate.load;
    const auto& view = candidate.view;
    const auto& rates = profile.rates;
    const auto slots = std::max<double>(1.0, runner->entry.slots);
    const auto fill = load / slots;
    const auto slotWait = std::max(0.0, load + 1.0 - slots) * rates.requestMs / slots;
    // The runner's own report covers prompts of daemons that are not heard.
    const auto waiting = std::max(0.0, load - slots) * rates.prefillTokens;
    const auto pending = std::max(view.left.prefillTokens, waiting) * rates.prefillMsPerToken;
    const auto prefill = uncachedTokens(candidate, cost) * rates.prefillMsPerToken;
    const auto weight = cost.isStream ? m_options.outputWeight : 1.0;
    const auto output = weight * cost.outputMs * (1.0 + m_options.batchSlowdown * fill);
    // The events of every request that runs there wait while the prompt is computed.
    const auto delayOfOthers = m_options.outputWeight * prefill * std::min(load, slots);
    const auto distance = runner->entry.dataCentre == request.dataCentre ? 0.0 : m_options.distanceMs;
    candidate.wait = (slotWait + pending + prefill) * view.slowdown;
    candidate.cost = candidate.wait + (output + delayOfOthers) * view.slowdown + distance
        + m_options.failureCost * runner->failureRate() * toMilliseconds(cost.latencyObjective);
}

bool WorkPlacement::hasRoom(
    const Candidate& candidate, const RequestCost& cost, const ServiceProfile& profile, double bound) const
{
    const double slots = candidate.runner->entry.slots;
    const auto reserved = slots > 1.0 ? std::ceil(slots * m_options.reservedSlots) : 0.0;
    if (candidate.expectedLoad + 1.0 > bound || candidate.load + 1.0 > slots - reserved)
        return false;
    return profile.kvCapacityTokens <= 0.0
        || candidate.view.left.residentTokens + cost.residentTokens <= profile.kvCapacityTokens * m_options.memoryShare;
}

void WorkPlacement::findSource(const Registry& registry, const PlacementRequest& request, const ServiceProfile& profile,
    TimePoint now, Placement& result) const
{
    if (!profile.keepsDataCentre) {
        findPrefixSource(registry, request, now, result);
        return;
    }
    // The first runner of each data centre has its copy. The first one of all may be the chosen one, or in a data
    // centre that has not used the prefix yet.
    const Order* source = nullptr;
    for (const auto& order : m_orders) {
        if (order.first->runner == result.runner || registry.isRecentlyAdded(*order.first->runner, now))
            continue;
        const bool isBetter = !source || (order.first->isLocal && !source->first->isLocal)
            || (order.first->isLocal == source->first->isLocal && order.firstScore > source->firstScore);
        if (isBetter)
            source = &order;
    }
    result.prefixSource = source ? source->first->runner : nullptr;
}

template <typename Predicate>
const WorkPlacement::Candidate* WorkPlacement::choose(
    const PlacementRequest& request, const RequestCost& cost, Predicate isEligible) const
{
    const bool isSharing = request.affinityKey != 0 && cost.prefixTokens >= m_options.minTokensToShare;
    const Candidate* best = nullptr;
    const Candidate* cached = nullptr;
    std::array<std::pair<std::uint64_t, const Candidate*>, 8> drawn {};
    const auto count = std::min(m_options.choices, drawn.size());
    for (const auto& candidate : m_candidates) {
        if (!isEligible(candidate))
            continue;
        const bool isCached = candidate.isReturning || (isSharing && candidate.isWarm);
        if (isCached && (!cached || candidate.cost < cached->cost))
            cached = &candidate;
        if (isSharing && candidate.isSecond && (!best || candidate.cost < best->cost))
            best = &candidate;
        // Keeps the highest draws in descending order.
        std::pair entry { mix64(request.tieBreaker, candidate.runner->identity), &candidate };
        for (std::size_t i = 0; i < count; ++i) {
            if (!drawn[i].second || entry.first > drawn[i].first)
                std::swap(entry, drawn[i]);
            if (!entry.second)
                break;
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (drawn[i].second && (!best || drawn[i].second->cost < best->cost))
            best = drawn[i].second;
    }
    const auto leastGain = m_options.spillShare * toMilliseconds(cost.latencyObjective);
    return cached && (!best || cached->cost - best->cost <= leastGain) ? cached : best;
}

Placement WorkPlacement::place(const Registry& registry, const work::RemainingWork& remaining,
    const PlacementRequest& request, const RequestCost& cost, const ServiceProfile& profile, TimePoint now)
{
    collect(registry, remaining, request, profile.keepsDataCentre, now);
    // The last resort does not depend on work.
    if (m_candidates.empty())
        return runners::place(registry, request, m_options.bound, now);
    Placement result;
    result.usableRunners = m_candidates.size();
    double total = 0.0;
    for (const auto& candidate : m_candidates)
        total += candidate.expectedLoad;
    result.bound
        = m_options.bound.loadBound * total / static_cast<double>(m_candidates.size()) + m_options.bound.loadMargin;
    if (request.affinityKey != 0)
        findWarm(registry, request, profile.keepsDataCentre, now);
    const auto objective = toMilliseconds(cost.latencyObjective);
    auto lowestWithRoom = std::numeric_limits<double>::infinity();
    for (auto& candidate : m_candidates) {
        if (!candidate.isLocal)
            continue;
        candidate.hasRoom = hasRoom(candidate, cost, profile, result.bound);
        estimate(candidate, request, cost, profile);
        if (candidate.hasRoom)
            lowestWithRoom = std::min(lowestWithRoom, candidate.wait);
    }
    // Other data centres cannot save more than the wait here, so most decisions need not look at them.
    const bool mayLeave = lowestWithRoom > objective * m_options.leftShare;
    for (auto& candidate : m_candidates) {
        if (candidate.isLocal || !mayLeave)
            continue;
        candidate.view = remaining.view(static_cast<work::RunnerKey>(candidate.runner->identity), now);
        candidate.hasRoom = hasRoom(candidate, cost, profile, result.bound);
        estimate(candidate, request, cost, profile);
    }
    const auto isBelowBound = [&](const Candidate& candidate) { return candidate.expectedLoad + 1.0 <= result.bound; };
    const bool isAnyWithRoom
        = std::any_of(m_candidates.begin(), m_candidates.end(), [](const Candidate& each) { return each.hasRoom; });
    const auto isEligible = [&](const Candidate& each) { return isAnyWithRoom ? each.hasRoom : isBelowBound(each); };
    const auto* local = choose(request, cost, [&](const Candidate& each) { return each.isLocal && isEligible(each); });
    const auto* remote = !mayLeave
        ? nullptr
        : choose(request, cost, [&](const Candidate& each) { return !each.isLocal && isEligible(each); });
    const auto* chosen = local ? local : remote;
    if (local && remote) {
        const auto found = m_leavingUntil.find(request.service);
        const bool hasLeft = found != m_leavingUntil.end() && now < found->second;
        // What waiting here costs is decided by the best runner, also if it is not drawn.
        auto lowest = local->wait;
        for (const auto& candidate : m_candidates) {
            if (candidate.isLocal && isEligible(candidate))
                lowest = std::min(lowest, candidate.wait);
        }
        const auto gain = lowest - remote->wait;
        if (gain > objective * (hasLeft ? m_options.leftShare : m_options.leavingShare)) {
            chosen = remote;
            if (gain > objective * m_options.leavingShare)
                m_leavingUntil.insert_or_assign(std::string(request.service), now + m_options.leavingHold);
        }
    }
    if (!chosen)
        return runners::place(registry, request, m_options.bound, now);
    result.runner = chosen->runner;
    result.load = chosen->load;
    const auto& left = chosen->view.left;
    result.work = PlacementWork { chosen->cost, left.prefillTokens * profile.rates.prefillMsPerToken + left.outputMs,
        chosen->view.slowdown, uncachedTokens(*chosen, cost) };
    if (!chosen->isLocal)
        result.reason = PlacementReason::OtherDataCentre;
    else if (request.affinityKey == 0)
        result.reason = PlacementReason::Balanced;
    else if (chosen->isReturning)
        result.reason = PlacementReason::Returning;
    else
        result.reason = chosen->isWarm ? PlacementReason::Warm : PlacementReason::Spilled;
    // A runner to which this daemon sent the prefix has fetched or computed it.
    if (request.affinityKey != 0 && !hasCopy(request.affinityKey, *chosen->runner, now))
        findSource(registry, request, profile, now, result);
    for (const auto& order : m_orders) {
        if (request.affinityKey != 0 && order.first->isLocal)
            result.firstChoice = order.first->runner;
    }
    return result;
}

}
