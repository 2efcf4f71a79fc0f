#pragma once

#include "common/DecayingSum.h"
#include "common/Time.h"
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::gateway {

/// @brief What a caller's connection is doing.
enum class CallerPhase {
    /// No request has begun, and nothing is left to send.
    Idle,
    /// A request is being read; it has not run and can be refused.
    Reading,
    /// A request is being answered, and the caller has taken everything sent so far.
    Running,
    /// Bytes wait to be taken by the caller.
    Sending,
};

/// @brief Budgets of a process for its callers.
struct CallerBudgetOptions {
    /// Bytes held for all callers.
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    /// Descriptors of callers' connections and of the requests that are relayed for them.
    std::size_t descriptors = std::numeric_limits<std::size_t>::max();
    /// Bytes per second of a body or of a response, over a transfer window; 0 for no minimum. All connections of the
    /// smallest host together get 468 bytes per second each from its link of 10 Mbit/s.
    double minBytesPerSecond = 100.0;
    /// Longer than the longest pause that the idle timeout permits, so that a pause alone is no slow transfer.
    Duration transferWindow = std::chrono::seconds(30);
};

/// @brief Why a caller is rejected.
enum class CallerRejection {
    /// The bytes held for all callers exceed the budget.
    Memory,
    /// Callers use more descriptors than the budget.
    Descriptors,
    /// A body or a response made less progress than the minimum.
    Slow,
};

std::string_view nameOf(CallerPhase phase);
std::string_view nameOf(CallerRejection reason);

/// @brief Accounts for the bytes and descriptors held for callers, and decides which caller is rejected when they
/// exceed the budget.
///
/// Rejected is the caller whose bytes would take the longest to be transferred at its recent rate. A request that is
/// being run is never interrupted. Large callers are rejected before the budget is used up, so that small requests find
/// room. If an address holds more than an equal share, only its connections are considered.
class CallerBudget {
public:
    using Key = std::uint64_t;

    /// Bytes of a connection without buffers: its state, its parser and its handlers.
    static constexpr std::size_t connectionBytes = 4096;
    /// A caller that holds at most this much is small: a request with the largest headers fits.
    static constexpr std::size_t smallCallerBytes = 131072;
    /// A caller that holds at most this much is not rejected for memory: next to nothing would be freed.
    static constexpr std::size_t negligibleBytes = 2 * connectionBytes;

    void setOptions(const CallerBudgetOptions& options) { m_options = options; }
    const CallerBudgetOptions& options() const { return m_options; }

    /// @brief Adds a connection.
    Key join(std::string_view address, TimePoint now);
    /// @brief Removes a connection with all that it holds; unknown keys are ignored.
    void leave(Key key);
    /// @brief Sets what a connection holds, counted by the capacity of its buffers, and what it does.
    void update(Key key, std::size_t bytes, CallerPhase phase, TimePoint now);
    /// @brief Records bytes that were transferred from or to the caller.
    void recordProgress(Key key, std::size_t bytes, TimePoint now);
    /// @brief Whether the body or response in transfer made too little progress; call at least once a second.
    bool isTooSlow(Key key, TimePoint now);

    struct Decision {
        Key key = 0;
        CallerRejection reason = CallerRejection::Memory;
        std::size_t bytes = 0;
    };
    /// @brief The next caller to reject; empty once the budgets suffice. A rejected caller no longer counts, although
    /// its bytes do until it leaves.
    std::optional<Decision> nextRejection(TimePoint now);
    /// @brief Counts a rejection decided elsewhere, such as one for a slow transfer.
    void countRejection(CallerRejection reason) { ++m_rejections[reason]; }

    /// @brief Bytes held for all callers.
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connections() const { return m_entries.size(); }
    /// @brief Descriptors in use: one for each connection, and one for each request that is being answered.
    std::size_t descriptors() const { return m_descriptors; }
    /// @brief Whether so little is left that connections should read no further ahead than they must.
    bool isShort() const;
    std::uint64_t rejections(CallerRejection reason) const;

private:
    struct Address {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };
    struct Entry {
        std::map<std::string, Address, std::less<>>::iterator address;
        std::size_t bytes = 0;
        CallerPhase phase = CallerPhase::Idle;
        bool isLeaving = false;
        /// Bytes transferred lately.
        DecayingSum progress;
        TimePoint progressAt {};
        TimePoint windowStartedAt {};
        std::size_t windowBytes = 0;
    };

    std::size_t largeCallerBudget() const { return m_options.bytes - m_options.bytes / 8; }
    static std::size_t descriptorsOf(const Entry& entry);
    void setLeaving(Entry& entry);
    std::optional<Decision> chooseForMemory(TimePoint now);
    std::optional<Decision> chooseForDescriptors();

    CallerBudgetOptions m_options;
    std::unordered_map<Key, Entry> m_entries;
    std::map<std::string, Address, std::less<>> m_addresses;
    Key m_nextKey = 1;
    std::size_t m_heldBytes = 0;
    std::size_t m_descriptors = 0;
    /// Parts of them that belong to rejected callers.
    std::size_t m_leavingBytes = 0;
    std::size_t m_leavingDescriptors = 0;
    std::map<CallerRejection, std::uint64_t> m_rejections;
};

}
