#pragma once

#include "common/Time.h"
#include "placement/SlotTable.h"
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrassford::placement {

/// @brief A chat that was last served by another runner than its first choice.
struct PlacementException {
    std::uint64_t chat = 0;
    RunnerIndex runner = noRunner;
    /// The runner before, which may still hold an earlier prefix.
    RunnerIndex previous = noRunner;
    /// Prompt tokens that the runner holds of it.
    std::uint32_t tokens = 0;
    bool operator==(const PlacementException&) const = default;
};

/// @brief Remembers the chats whose warm runner is not their first choice, least recently used out first.
///
/// Entries that this daemon made are queued for its peers; only exceptions are exchanged, never every chat.
class PlacementExceptionCache {
public:
    explicit PlacementExceptionCache(std::size_t capacity);

    /// @brief The exception of a chat, or null; valid until the next change.
    const PlacementException* find(std::uint64_t chat) const;
    /// @brief Records an exception made here and queues it for the peers.
    void record(const PlacementException& exception);
    /// @brief The chat is back at its first choice.
    void remove(std::uint64_t chat);
    /// @brief Takes an exception from a peer.
    void applyFromPeer(const PlacementException& exception);
    /// @brief Drops every exception that points to a runner.
    void removeRunner(RunnerIndex runner);

    /// @brief Takes the queued changes, those with most tokens at stake first, at most @a limit.
    /// A queued entry that does not fit is dropped: its chat costs one recomputation at the worst.
    std::vector<PlacementException> takeChanges(std::size_t limit);

    std::size_t size() const { return m_index.size(); }

private:
    using Order = std::list<PlacementException>;

    void store(const PlacementException& exception);

    std::size_t m_capacity;
    Order m_order;
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
    std::vector<PlacementException> m_changes;
};

}
