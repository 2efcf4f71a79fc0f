#pragma once

#include "common/Time.h"
#include "placement/SlotTable.h"
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrassford::placement {

/// @brief The runner of a chat that is not placed on its first choice.
struct PlacementException {
    /// Digest of the chat.
    std::uint64_t chat = 0;
    /// Runner that served the chat last; noRunner in a queued change means that the exception has been removed.
    RunnerIndex runner = noRunner;
    /// Runner that served the chat before, which may still cache an earlier prefix; noRunner if there is none.
    RunnerIndex previous = noRunner;
    /// Prompt tokens of the chat that the runner holds in its cache.
    std::uint32_t tokens = 0;
    bool operator==(const PlacementException&) const = default;
};

/// @brief Caches the placement exceptions, and evicts the least recently changed one when it is full.
///
/// Changes made by this daemon are queued for its peers. Chats on their first choice are neither stored nor sent.
class PlacementExceptionCache {
public:
    /// @param capacity largest number of exceptions kept
    explicit PlacementExceptionCache(std::size_t capacity);

    /// @brief The exception of a chat, or null; the pointer is valid until the next change.
    const PlacementException* find(std::uint64_t chat) const;
    /// @brief Stores an exception made by this daemon and queues it for the peers.
    void record(const PlacementException& exception);
    /// @brief Removes the exception of a chat that is back on its first choice, and queues the removal for the peers.
    void remove(std::uint64_t chat);
    /// @brief Applies a peer's change: stores the exception, or removes it if its runner is noRunner.
    void applyFromPeer(const PlacementException& exception);
    /// @brief Removes every exception that points to a runner.
    void removeRunner(RunnerIndex runner);

    /// @brief Returns the queued changes and clears the queue.
    ///
    /// Of more than @a limit changes, only those with most cached tokens are returned. A dropped change costs one
    /// recomputation of its chat's prefix at worst.
    std::vector<PlacementException> takeChanges(std::size_t limit);

    std::size_t size() const { return m_index.size(); }

private:
    /// Exceptions, the most recently changed one first.
    using Order = std::list<PlacementException>;

    void store(const PlacementException& exception);

    std::size_t m_capacity;
    Order m_order;
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
    std::vector<PlacementException> m_changes;
};

}
