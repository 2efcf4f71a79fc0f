#include "placement/ModelFleet.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::placement {

ModelFleet::ModelFleet(const Options& options, std::unique_ptr<Strategy> strategy)
    : m_options(options)
    , m_strategy(std::move(strategy))
    , m_memory(options.memoryCapacity)
{
}

bool ModelFleet::useStrategy(std::string_view name, const RandomSource& random)
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

void ModelFleet::update(std::span<const membership::Host> hosts, const membership::View& view, TimePoint now)
{
    std::vector<SlotTable::Member> members;
    for (const auto& host : hosts) {
        const auto index = assignIndex(host.id);
        const bool isEligible = view.isEligible(host.id);
        m_eligible[index] = isEligible;
        // Suspicion is short and local: only what the list says moves slots.
        if (host.state == membership::ListedState::Leaving)
            continue;
        members.push_back({ index, hash64(host.id), host.weight });
        m_loads.add(index, host.weight * view.slowStartFactor(host.id, now));
    }
    std::sort(
        members.begin(), members.end(), [](const auto& left, const auto& right) { return left.index < right.index; });
    for (const auto& old : m_table.members()) {
        const bool isKept = std::any_of(
            members.begin(), members.end(), [&](const auto& member) { return member.index == old.index; });
        if (isKept)
            continue;
        m_loads.remove(old.index);
        m_memory.drop(old.index);
        m_eligible[old.index] = 0;
    }
    if (!std::equal(members.begin(), members.end(), m_table.members().begin(), m_table.members().end()))
        m_table.update(members);
}

Decision ModelFleet::choose(const Request& request, std::span<const membership::HostId> excluded, TimePoint now)
{
    std::vector<RunnerIndex> hidden;
    for (const auto& id : excluded) {
        const auto index = indexOf(id);
        if (index != noRunner && m_eligible[index])
            hidden.push_back(index);
    }
    for (const auto index : hidden)
        m_eligible[index] = 0;
    const Fleet fleet { m_table, m_loads, m_memory, m_options.loadBound, m_eligible };
    const auto decision = m_strategy->choose(request, fleet, now);
    for (const auto index : hidden)
        m_eligible[index] = 1;
    return decision;
}

void ModelFleet::record(const membership::HostId& runner, double work, TimePoint now)
{
    const auto index = indexOf(runner);
    if (index == noRunner)
        return;
    m_loads.record(index, work, now);
    m_deltas[index] += work;
}

void ModelFleet::learn(const membership::HostId& runner, double work, TimePoint now)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_loads.record(index, work, now);
}

void ModelFleet::report(const membership::HostId& runner, double work, TimePoint sampledAt)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_loads.report(index, work, sampledAt);
}

void ModelFleet::forgetCache(const membership::HostId& runner)
{
    const auto index = indexOf(runner);
    if (index != noRunner)
        m_memory.drop(index);
}

std::vector<RunnerDelta> ModelFleet::takeDeltas()
{
    std::vector<RunnerDelta> deltas;
    for (const auto& [index, work] : m_deltas)
        deltas.push_back({ m_ids[index], work });
    m_deltas.clear();
    return deltas;
}

RunnerIndex ModelFleet::indexOf(const membership::HostId& id) const
{
    const auto found = m_indices.find(id);
    return found == m_indices.end() ? noRunner : found->second;
}

double ModelFleet::skew() const
{
    double largest = 0.0;
    for (const auto& member : m_table.members())
        largest = std::max(largest, m_loads.load(member.index));
    const double mean = m_loads.mean();
    return mean > 0.0 ? largest / mean : 0.0;
}

RunnerIndex ModelFleet::assignIndex(const membership::HostId& id)
{
    const auto [position, isNew] = m_indices.try_emplace(id, static_cast<RunnerIndex>(m_ids.size()));
    if (isNew) {
        m_ids.push_back(id);
        m_eligible.push_back(0);
    }
    return position->second;
}

}
