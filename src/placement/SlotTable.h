#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassford::placement {

/// Stable number of a runner within one daemon.
using RunnerIndex = std::uint32_t;
inline constexpr RunnerIndex noRunner = 0xffffffff;

/// @brief Maps hashes to runners in constant time with least disruption.
///
/// A fixed number of slots is divided among the members by weighted rendezvous (highest random weight), so the
/// division depends on the set of members only, and a change of one member moves only that member's slots.
class SlotTable {
public:
    struct Member {
        RunnerIndex index = noRunner;
        /// Hash of the runner's identity, equal on every daemon.
        std::uint64_t identity = 0;
        double weight = 1.0;
        bool operator==(const Member&) const = default;
    };

    /// @param slots number of slots, a power of two
    explicit SlotTable(std::size_t slots = 16384);

    /// @brief Takes a new set of members; only the slots of members that came, went or changed are touched.
    /// @complexity O(slots × changed members + slots of departed members × members)
    void update(std::span<const Member> members);

    /// @brief The runner that owns a hash, or noRunner if there are no members.
    /// @complexity constant
    RunnerIndex at(std::uint64_t hash) const { return m_slots[hash & (m_slots.size() - 1)].owner; }

    std::span<const Member> members() const { return m_members; }
    std::size_t size() const { return m_slots.size(); }

private:
    struct Slot {
        RunnerIndex owner = noRunner;
        double score = 0.0;
    };

    void offer(std::size_t slot, const Member& member);

    std::vector<Slot> m_slots;
    std::vector<Member> m_members;
};

}
