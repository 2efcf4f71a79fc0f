#pragma once

#include "common/Time.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace eelgrassford::fleet {

/// @brief Tracks which changes of the store other daemons hold and this one does not, and decides where to get them.
/// No I/O.
class MissedChanges {
public:
    struct Options {
        /// Time that a daemon that reads the store leaves its own query to return a change, before it fetches the
        /// change from another daemon. A watch that works returns one within its batch delay.
        Duration readerFetchDelay = std::chrono::milliseconds(300);
        /// Time behind another daemon after which this one queries the store itself.
        Duration maxTimeBehind = std::chrono::milliseconds(1000);
        /// Time behind another daemon after which this one takes a full copy. Until then a daemon is looked for that
        /// knows all removals since this one's revision.
        Duration copyDelay = std::chrono::milliseconds(300);
    };

    explicit MissedChanges(const Options& options);
    MissedChanges();

    /// @brief Records that another daemon holds the changes up to a revision.
    /// @param ownRevision revision up to which this daemon's mirror is complete
    void recordPeer(std::uint64_t changeRevision, std::uint64_t ownRevision, TimePoint now);
    /// @brief Records that this daemon's mirror is complete up to a revision.
    void recordOwn(std::uint64_t ownRevision);
    /// @brief Time at which this daemon first heard of the oldest change that it still lacks; empty if it lacks none.
    std::optional<TimePoint> behindSince() const;
    /// @brief Whether to fetch the missing changes from another daemon that has them.
    /// @param isReader whether this daemon queries the store itself
    bool shouldFetch(bool isReader, TimePoint now) const;
    /// @brief Whether the changes are missing for so long that a full copy should be taken.
    bool needsCopy(TimePoint now) const;
    /// @brief Whether the changes are missing for so long that this daemon should query the store itself.
    bool isOverdue(TimePoint now) const;

private:
    struct Change {
        std::uint64_t revision = 0;
        TimePoint heardAt {};
    };

    Options m_options;
    /// Changes that this daemon lacks, in the order of their revisions.
    std::deque<Change> m_changes;
};

}
