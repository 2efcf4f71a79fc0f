#pragma once

#include "store/Protocol.h"
#include "store/Revision.h"
#include <algorithm>
#include <compare>
#include <functional>
#include <map>

namespace eelgrassford::store {

/// @brief A request to the store.
struct Query {
    enum class Kind { List, Watch };
    Kind kind = Kind::List;
    /// Path and query of the URL.
    std::string target;
    /// Time after which the response is no longer awaited.
    Duration timeout {};
};

/// @brief Changes that bring another daemon's mirror up to date: incremental since a revision, or a full copy.
struct Delta {
    /// @brief A removed item.
    struct Removal {
        std::string key;
        /// Revision of the store at the removal.
        std::uint64_t revision = 0;
        /// Time for which the item is still kept, because its lease may only have lapsed in an outage.
        Duration grace {};
    };
    /// Revision up to which the receiver's mirror must be complete for incremental changes to apply.
    std::uint64_t since = 0;
    /// Revision up to which the receiver's mirror is complete after the merge.
    std::uint64_t completeRevision = 0;
    std::vector<Item> items;
    std::vector<Removal> removals;
    /// Whether the items are all items of the sender, rather than the changed ones.
    bool isFull = false;
    /// Whether the sender knows every removal since then. Daemons of earlier releases do not tell, and may not know
    /// those from before they started.
    bool hasAllRemovals = true;
    /// @brief A listed item that is taken only if it stays listed.
    struct Doubted {
        Item item;
        /// Time until it is taken.
        Duration remaining {};
    };
    /// All such items of the sender.
    std::vector<Doubted> doubted {};
};

/// @brief Mirrors the items of the store, and tracks how fresh the mirror is. No I/O.
///
/// At most one query is pending at a time: first a listing, page by page, then one long-poll watch after another. The
/// items stay through an outage of the store, and through its restoration from an older copy: items whose documents in
/// the copy are older than the known ones, or are known to have been removed, are not taken. Leases may lapse in an
/// outage while their owners are alive, so that items that are missing after it are kept for a grace period.
class Mirror {
public:
    struct Options {
        /// Time for which the store holds a watch open while nothing changes.
        Duration watchWait = std::chrono::milliseconds(1000);
        /// Delay between a watch that returned changes and the next, so that further changes arrive in one batch.
        Duration batchDelay = std::chrono::milliseconds(120);
        /// Delay between the first complete listing and the first watch. Meanwhile a daemon that has just started
        /// learns whether others read the store for it.
        Duration firstWatchDelay {};
        /// Timeout of a query, on top of the time for which the store holds a watch open.
        Duration responseTimeout = std::chrono::milliseconds(800);
        /// Timeout of the first query after a failure, which the store answers at once; it is short, to find soon
        /// that the store is back, and doubles with each further failure, so that a slow store is reached too.
        Duration initialRetryTimeout = std::chrono::milliseconds(400);
        /// Longest timeout of a query after failures.
        Duration maxRetryTimeout = std::chrono::milliseconds(1600);
        /// Delay before the first retry, with jitter of half of it either way; doubles with each failure.
        Duration initialRetryDelay = std::chrono::milliseconds(100);
        /// Longest delay before a retry, without its jitter.
        Duration maxRetryDelay = std::chrono::milliseconds(400);
        /// The same for a standby, which reads the store only because no proof comes from the daemons that should read
        /// it; they are the first to find that the store is back.
        Duration standbyRetryDelay = std::chrono::milliseconds(2000);
        /// Time without a confirmation that the mirror is current, after which failed queries count as an outage.
        Duration outageThreshold = std::chrono::milliseconds(2500);
        /// Most removals that are kept for the deltas of other daemons; beyond them all are forgotten, and a mirror
        /// that is behind gets a full copy.
        std::size_t maxRemovals = 4000;
        /// Grace period after an outage, in which live owners write their items again; the platform states about two
        /// seconds.
        Duration lapseGrace = std::chrono::milliseconds(2500);
        /// Time after which an item is taken that a restored copy lists although it was known to have been removed: the
        /// lease of an owner that has left runs out in less, three heartbeats of 1.2 s.
        Duration confirmationTime = std::chrono::milliseconds(5000);
    };
    /// Returns uniform numbers in [0, 1), for the jitter of retry delays.
    using RandomSource = std::function<double()>;

    /// Compares the states that two documents of a key describe, if they say which one is later.
    using DocumentOrder
        = std::function<std::partial_ordering(std::string_view key, std::string_view left, std::string_view right)>;

    Mirror(const Protocol& protocol, const Options& options, RandomSource random, DocumentOrder order = {});

    /// @brief Starts the next query, if one is due and none is pending.
    std::optional<Query> nextQuery(TimePoint now);
    /// @brief Applies the response to the pending query.
    /// @param status HTTP status
    /// @param era copy of its data that the store answered from, see Protocol::decodeEra(); empty if not stated
    /// @return whether any item changed
    bool handleResponse(
        std::uint16_t status, std::string_view body, TimePoint now, std::optional<std::uint64_t> era = {});
    /// @brief Ends the pending query without a response, and schedules a retry.
    /// @param detail cause, for the log
    void handleFailure(std::string detail, TimePoint now);
    /// @brief Abandons the pending query and an unfinished listing, as after a suspension of the process; the next
    /// query is due at once.
    void restartQuery(TimePoint now);
    /// @brief Records that another daemon's freshness proof covers this mirror.
    /// @param at time at which the mirror was current
    void confirmCurrent(TimePoint at) { m_lastCurrentAt = std::max(m_lastCurrentAt.value_or(at), at); }
    /// @brief Chooses whether this mirror queries the store, or only merges the deltas of other daemons.
    void setReading(bool isReading) { m_isReading = isReading; }
    /// @brief Chooses whether this mirror queries the store as a standby. While the store is down, all daemons of a
    /// fleet are without proofs; as standbys they do not retry as often as the few readers.
    void setStandby(bool isStandby) { m_isStandby = isStandby; }
    /// @brief Revision of the newest change that the mirror holds. A listing counts as one: it holds the removals from
    /// before it without telling them.
    std::uint64_t changeRevision() const { return m_changeRevision; }
    /// @brief Revision up to which the mirror holds every change, 0 before the first complete listing. It may be lower
    /// than changeRevision(), because the pages of a listing may show some later changes.
    std::uint64_t completeRevision() const { return m_isComplete ? m_revision : 0; }
    /// @brief Whether the removals since a revision are not all known, so that a delta since then is a full copy.
    bool needsFullCopy(Revision since) const;
    /// @brief Delta for another daemon's mirror that is complete up to a revision; a full copy for revision 0, or if
    /// the removals since then are not all known.
    Delta changesSince(std::uint64_t revision, TimePoint now) const;
    /// @brief Delta with a single item, if it is known. It changes nothing else in another mirror.
    Delta itemOf(std::string_view key) const;
    /// @brief Applies a delta of another daemon. Ignores an incremental one that starts after completeRevision().
    /// @return whether any item changed
    bool merge(const Delta& delta, TimePoint now);
    /// @brief Takes the document that another daemon has of a known item, if it describes a later state: the store may
    /// have been restored from a copy that has an earlier one.
    /// @return whether it was taken
    bool takeLaterState(const Item& item);
    /// @brief Drops items whose grace period is over, and takes doubted ones that have stayed listed.
    /// @return whether any item changed
    bool dropExpired(TimePoint now);

    const std::map<std::string, Item>& items() const { return m_items; }
    /// @brief Whether all items were listed, or received as a full copy, at least once.
    bool isComplete() const { return m_isComplete; }
    /// @brief Latest time at which the store's own responses prove the items current; empty before the first.
    std::optional<TimePoint> provenAt() const { return m_provenAt; }
    /// @brief Newest era of the store that this mirror, or another one that it follows, has seen.
    std::optional<std::uint64_t> era() const { return m_era; }
    /// @brief Queries started so far.
    std::uint64_t queryCount() const { return m_queries; }
    /// @brief Why the last query failed; empty if it succeeded.
    const std::string& failure() const { return m_failure; }

private:
    /// A removed item, for deltas, and for copies of the store from before the removal.
    struct Removed {
        Revision revision = 0;
        std::string value;
        /// The item is missing after an outage, in which the lease of a live owner may have lapsed.
        bool mayHaveLapsed = false;
    };

    /// An item that a restored copy lists although it was known to have been removed.
    struct Doubted {
        Item item;
        TimePoint takenAt {};
    };

    /// Forgets an unfinished listing and lists the store anew, because it answers from another copy of its data.
    void startEra(std::uint64_t era, TimePoint now);
    /// Whether a document that belongs to a later era than a known one describes an earlier state, or the same one.
    std::partial_ordering compareAcrossEras(const Item& item, Revision known, std::string_view knownValue) const;
    /// Forgets the pages of an unfinished listing.
    void forgetPages();
    bool onPage(std::string_view body, TimePoint now);
    bool onChanges(std::string_view body, TimePoint now);
    bool storeItem(const Item& item, TimePoint now);
    /// Takes a doubted item unless it is removed, or known anyway, by @a takenAt.
    void doubt(const Item& item, TimePoint takenAt);
    bool removeItem(const std::string& key, std::uint64_t revision, TimePoint keptUntil, TimePoint now);
    bool finishListing(TimePoint now);
    /// Keys of known items, doubted ones too, that a listing or copy lacks.
    std::vector<std::string> missingFrom(const std::function<bool(const std::string& key)>& isPresent) const;
    /// Records that the items are those of a revision, whichever removals led to them.
    void jumpTo(Revision revision);
    void extendGraceAfterOutage(TimePoint now);
    void recordSuccess(TimePoint provenAt, TimePoint now);

    const Protocol& m_protocol;
    Options m_options;
    RandomSource m_random;
    DocumentOrder m_order;
    std::map<std::string, Item> m_items;
    /// Keys of items that are missing after an outage, with the end of their grace periods.
    std::map<std::string, TimePoint> m_lapsed;
    std::map<std::string, Removed> m_removals;
    std::map<std::string, Doubted> m_doubted;
    /// Removals up to this revision are not known; a delta since an older one is a full copy.
    Revision m_unknownUntil = 0;
    /// The last listing or full copy of a mirror that was complete before: items that were both added and removed in
    /// between are not known, so that a delta since a revision in between is a full copy.
    Revision m_gapBegin = 0;
    Revision m_gapEnd = 0;
    std::uint64_t m_changeRevision = 0;
    /// Era of the store that the mirror belongs to.
    std::optional<std::uint64_t> m_era;
    /// Revision from which the pending watch continues.
    Revision m_watchedRevision = 0;
    /// Whether this mirror queries the store itself.
    bool m_isReading = true;
    bool m_isStandby = false;
    /// Items of the unfinished listing.
    std::map<std::string, Item> m_listedItems;
    std::string m_lastListedKey;
    /// Revision of the store at the first page of the listing.
    std::uint64_t m_listRevision = 0;
    /// Revision up to which the mirror is complete, from which the next watch starts.
    std::uint64_t m_revision = 0;
    bool m_isComplete = false;
    bool m_isListing = true;
    bool m_isQueryPending = false;
    TimePoint m_sentAt {};
    TimePoint m_nextQueryAt {};
    /// Last time at which the store answered, or another daemon confirmed that this mirror is current.
    std::optional<TimePoint> m_lastCurrentAt;
    std::optional<TimePoint> m_provenAt;
    /// End of the grace period for items that a response shows as removed.
    TimePoint m_graceUntil {};
    Duration m_retryDelay {};
    /// Consecutive failed queries.
    std::uint32_t m_failures = 0;
    /// Time for which the store may hold the pending watch open.
    Duration m_watchWait {};
    std::uint64_t m_queries = 0;
    std::string m_failure;
};

}
