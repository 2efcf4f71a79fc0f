#include "placement/RunnerPool.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::placement {

RunnerPool::RunnerPool(const Options& options, std::unique_ptr<Strategy> strategy)
    : m_options(options)
    , m_strategy(std::move(strategy))
    , m_exceptions(options.exceptionCapacity)
{
}

bool RunnerPool::setStrategy(std::string_view name, const RandomSource& random)
{
    if (m_strategy && name == m_strategyName)
        return true;
    auto strategy = makeStrategy(name, random);
    if (!strategy)
        return false;
    m_strategy = std::move(strategy);
    m_strategyName = name;
    return true;
}

void RunnerPool::update(std::span<const membership::Host> hosts, const membership::View& view, TimePoint now)
{
    std::vector<SlotTable::Member> members;
    for (const auto& host : hosts) {
        const auto index = assignIndex(host.id);
        const bool isEligible = view.isEligible(host.id);
        m_eligible[index] = isEligible;
        // Only a change of the host list moves slots. Suspicion is brief and differs between daemons, so it only makes
        // a host ineligible.
        if (host.state == membership::ListedState::Leaving)
            continue;
        members.push_back({ index, hash64(host.id), host.weight });
        m_loads.add(index, host.weight * view.slowStartFactor(host.id, now));
    }
    std::sort(
        members.begin(), members.end(), [](const auto& left, const auto& right) { return left.index < right.index; });
    for (const auto& previous : m_table.members()) {
        const bool isKept = std::any_of(
            members.begin(), members.end(), [&](const auto& member) { return member.index == previous.index; });
        if (isKept)
            continue;
        m_loads.remove(previous.index);
        m_exceptions.removeRunner(previous.index);
        m_eligible[previous.index] = 0;
    }
    if (!std::equal(members.begin(), members.end(), m_table.members().begin(), m_table.members().end()))
        m_table.update(members);
}

Decision RunnerPool::choose(const Request& request, std::span<const membership::HostId> excluded, TimePoint now)
{
    std::vector<RunnerIndex> excludedIndices;
    for (const auto& id : excluded) {
        const auto index = indexOf(id);
        if (index != noRunner && m_eligible[index])
            excludedIndices.push_back(index);
    }
    for (const auto index : excludedIndices)
        m_eligible[index] = 0;
    const PlacementContext context { m_table, m_loads, m_exceptions, m_options.loadBound, m_eligible };
    const auto decision = m_strategy->choose(request, context, now);
    for (const auto index : excludedIndices)
        m_eligible[index] = 1;
    return decision;
}

void RunnerPool::addWork(const membership::HostId& runner, double work, TimePoint now)
{
    const auto index = indexOf(runner);
    if (index == noRunner)
        return;
    m_loads.addWork(index, work, now);
    m_deltas[index] += work;
}

void RunnerPool::addPeerWork(const membership::HostId& runner, double work, TimePoint now)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_loads.addWork(index, work, now);
}

void RunnerPool::report(const membership::HostId& runner, double work, TimePoint sampledAt)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_loads.report(index, work, sampledAt);
}

void RunnerPool::handleRunnerRestart(const membership::HostId& runner)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_exceptions.removeRunner(index);
}

std::vector<WorkDelta> RunnerPool::takeWorkDeltas()
{
    std::vector<WorkDelta> deltas;
    for (const auto& [index, work] : m_deltas)
        deltas.push_back({ m_ids[index], work });
    m_deltas.clear();
    return deltas;
}

RunnerIndex RunnerPool::indexOf(const membership::HostId& id) const
{
    const auto found = m_indices.find(id);
    return found == m_indices.end() ? noRunner : found->second;
}

double RunnerPool::skew() const
{
    double largest = 0.0;
    for (const auto& member : m_table.members())
        largest = std::max(largest, m_loads.load(member.index));
    const double mean = m_loads.mean();
    return mean > 0.0 ? largest / mean : 0.0;
}

RunnerIndex RunnerPool::assignIndex(const membership::HostId& id)
{
    const auto [position, isNew] = m_indices.try_emplace(id, static_cast<RunnerIndex>(m_ids.size()));
    if (isNew) {
        m_ids.push_back(id);
        m_eligible.push_back(0);
    }
    return position->second;
}

}
