#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassford::placement {

/// Index of a runner within one daemon; it stays the same while the daemon runs.
using RunnerIndex = std::uint32_t;
inline constexpr RunnerIndex noRunner = 0xffffffff;

/// @brief Maps hashes to runners in constant time with minimal disruption.
///
/// A fixed number of slots is divided among the members by weighted rendezvous hashing (highest random weight). The
/// division depends only on the set of members, and a change of one member moves only that member's slots.
class SlotTable {
public:
    struct Member {
        RunnerIndex index = noRunner;
        /// Hash of the runner's id, equal on every daemon.
        std::uint64_t identity = 0;
        /// Share of the slots relative to the other members.
        double weight = 1.0;
        bool operator==(const Member&) const = default;
    };

    /// @param slots number of slots, a power of two
    explicit SlotTable(std::size_t slots = 16384);

    /// @brief Replaces the set of members; only slots of members that were added, removed or changed move.
    /// @complexity O(slots × changed members + slots of departed members × members)
    void update(std::span<const Member> members);

    /// @brief The runner whose slot a hash falls into, or noRunner if there are no members.
    /// @complexity constant
    RunnerIndex at(std::uint64_t hash) const { return m_slots[hash & (m_slots.size() - 1)].owner; }

    std::span<const Member> members() const { return m_members; }
    /// @brief Number of slots.
    std::size_t size() const { return m_slots.size(); }

private:
    struct Slot {
        RunnerIndex owner = noRunner;
        /// Score of the owner; the member with the lowest score owns the slot.
        double score = 0.0;
    };

    /// Gives a slot to a member if its score is below the owner's.
    void offer(std::size_t slot, const Member& member);

    std::vector<Slot> m_slots;
    std::vector<Member> m_members;
};

}
