#pragma once

#include "store/Protocol.h"
#include <algorithm>
#include <functional>
#include <map>

namespace eelgrassford::store {

/// @brief What is to be asked of the store next.
struct Query {
    enum class Kind { List, Watch };
    Kind kind = Kind::List;
    std::string target;
    Duration timeout {};
};

/// @brief What changed in a copy of the published items since a revision.
struct Delta {
    struct Removal {
        std::string key;
        std::uint64_t revision = 0;
        /// Time for which the item is still kept, because it may only have lapsed.
        Duration grace {};
    };
    /// Revision after which the receiver has to be told of changes.
    std::uint64_t since = 0;
    /// Everything up to this revision is in the copy.
    std::uint64_t completeRevision = 0;
    std::vector<Item> items;
    std::vector<Removal> removals;
    /// The items are all there are, rather than those that changed.
    bool isFull = false;
};

/// @brief Keeps a copy of the published items, and how fresh it is. No I/O.
///
/// One query is under way at a time: pages until the copy is whole, then watches. What is known stays through an
/// outage. Items that are missing after an outage may only have lapsed with it; they are kept for a grace time.
class Mirror {
public:
    struct Options {
        /// Time that a watch waits at the store.
        Duration watchTime = std::chrono::milliseconds(1000);
        /// Time between a watch that brought changes and the next, in which more of them gather.
        Duration gatherTime = std::chrono::milliseconds(120);
        /// Time beyond which a response is no longer awaited.
        Duration responseTime = std::chrono::milliseconds(800);
        /// The same for the first query after a failure, which does not wait at the store; it doubles with each
        /// failure, so that a slow store is heard as well as one that is back.
        Duration firstResponseTime = std::chrono::milliseconds(400);
        Duration longestResponseTime = std::chrono::milliseconds(1600);
        Duration firstRetry = std::chrono::milliseconds(100);
        Duration longestRetry = std::chrono::milliseconds(400);
        /// Silence of the store that counts as an outage.
        Duration outage = std::chrono::milliseconds(2500);
        /// Removals that are kept for other copies.
        std::size_t keptRemovals = 4000;
        /// Time after an outage in which living entries are written again; the platform states about two seconds.
        Duration lapseGrace = std::chrono::milliseconds(2500);
    };
    /// Uniform in [0, 1), for the jitter of retries.
    using RandomSource = std::function<double()>;

    Mirror(const Protocol& protocol, const Options& options, RandomSource random);

    /// @brief The next query, if one is due and none is under way.
    std::optional<Query> nextQuery(TimePoint now);
    /// @brief Takes the response to the query under way.
    /// @return whether any item changed
    bool handleResponse(std::uint16_t status, std::string_view body, TimePoint now);
    /// @brief The query under way brought no response.
    void handleFailure(std::string detail, TimePoint now);
    /// @brief Gives up the query under way, as after the process was suspended.
    void restartQuery(TimePoint now);
    /// @brief Another copy vouched that this one is current.
    /// @param at time at which it was
    void confirmCurrent(TimePoint at) { m_lastCurrentAt = std::max(m_lastCurrentAt.value_or(at), at); }
    /// @brief Chooses whether the store is asked by this copy, or its changes come from another copy.
    void setReading(bool isReading) { m_isReading = isReading; }
    /// @brief Revision of the last change in this copy.
    std::uint64_t changeRevision() const { return m_changeRevision; }
    /// @brief Everything up to this revision is in this copy; a listing may show later changes but not all of them.
    std::uint64_t completeRevision() const { return m_isComplete ? m_revision : 0; }
    /// @brief What another copy lacks that is complete up to a revision.
    Delta changesSince(std::uint64_t revision, TimePoint now) const;
    /// @brief Takes what another copy sent.
    /// @return whether any item changed
    bool merge(const Delta& delta, TimePoint now);
    /// @brief Drops items whose grace time is over.
    /// @return whether any item changed
    bool dropExpired(TimePoint now);

    const std::map<std::string, Item>& items() const { return m_items; }
    /// @brief Whether the items were listed once.
    bool isComplete() const { return m_isComplete; }
    /// @brief Latest time at which the items were known to be current.
    std::optional<TimePoint> provenAt() const { return m_provenAt; }
    std::uint64_t queryCount() const { return m_queries; }
    /// @brief Why the last query failed; empty if it succeeded.
    const std::string& failure() const { return m_failure; }

private:
    bool onPage(std::string_view body, TimePoint now);
    bool onChanges(std::string_view body, TimePoint now);
    bool store(const Item& item);
    bool remove(const std::string& key, std::uint64_t revision, TimePoint keptUntil, TimePoint now);
    bool finishListing(TimePoint now);
    void noteOutage(TimePoint now);
    void succeed(TimePoint provenAt, TimePoint now);

    const Protocol& m_protocol;
    Options m_options;
    RandomSource m_random;
    std::map<std::string, Item> m_items;
    /// Items that are missing after an outage, with the time until which they are kept.
    std::map<std::string, TimePoint> m_lapsed;
    /// Revisions at which items were removed, for other copies.
    std::map<std::string, std::uint64_t> m_removals;
    /// Removals up to this revision were forgotten.
    std::uint64_t m_forgottenRevision = 0;
    std::uint64_t m_changeRevision = 0;
    bool m_isReading = true;
    /// Items of the listing under way.
    std::map<std::string, Item> m_listed;
    std::string m_lastListed;
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    bool m_isComplete = false;
    bool m_isListing = true;
    bool m_isUnderWay = false;
    TimePoint m_sentAt {};
    TimePoint m_nextAt {};
    /// Last time at which the store, or another copy, was heard.
    std::optional<TimePoint> m_lastCurrentAt;
    std::optional<TimePoint> m_provenAt;
    TimePoint m_graceUntil {};
    Duration m_retry {};
    std::uint32_t m_failures = 0;
    /// Time that the watch under way waits at the store.
    Duration m_waitTime {};
    std::uint64_t m_queries = 0;
    std::string m_failure;
};

}
