#include "placement/SlotTable.h"

#include "common/Hash.h"
#include <algorithm>
#include <cassert>
#include <cmath>
#include <unordered_set>

namespace eelgrassford::placement {

SlotTable::SlotTable(std::size_t slots)
    : m_slots(slots)
{
    assert(slots > 0 && (slots & (slots - 1)) == 0);
}

void SlotTable::update(std::span<const Member> members)
{
    auto hasMember = [](std::span<const Member> set, const Member& member) {
        return std::find(set.begin(), set.end(), member) != set.end();
    };
    std::vector<Member> added;
    std::unordered_set<RunnerIndex> removed;
    for (const auto& member : members) {
        if (!hasMember(m_members, member))
            added.push_back(member);
    }
    for (const auto& member : m_members) {
        if (!hasMember(members, member))
            removed.insert(member.index);
    }
    m_members.assign(members.begin(), members.end());
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        const bool isUnowned = m_slots[slot].owner == noRunner || removed.contains(m_slots[slot].owner);
        if (isUnowned)
            m_slots[slot] = {};
        for (const auto& member : isUnowned ? std::span<const Member>(m_members) : std::span<const Member>(added))
            offer(slot, member);
    }
}

void SlotTable::offer(std::size_t slot, const Member& member)
{
    // The score is an exponential random variable with rate `weight`. The lowest score belongs to each member with a
    // probability proportional to its weight.
    const double score = -std::log(toUnitInterval(mix64(member.identity, slot))) / member.weight;
    auto& current = m_slots[slot];
    if (current.owner == noRunner || score < current.score)
        current = { member.index, score };
}

}
