#pragma once

#include "common/Time.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace eelgrassford::fleet {

/// @brief Tracks which changes of the store other daemons hold and this one does not. No I/O.
class MissedChanges {
public:
    /// @brief Records that another daemon holds the changes up to a revision.
    /// @param ownRevision revision up to which this daemon's mirror is complete
    void recordPeer(std::uint64_t changeRevision, std::uint64_t ownRevision, TimePoint now);
    /// @brief Records that this daemon's mirror is complete up to a revision.
    void recordOwn(std::uint64_t ownRevision);
    /// @brief Time at which this daemon first heard of the oldest change that it still lacks; empty if it lacks none.
    std::optional<TimePoint> behindSince() const;

private:
    struct Change {
        std::uint64_t revision = 0;
        TimePoint heardAt {};
    };

    /// Changes that this daemon lacks, in the order of their revisions.
    std::deque<Change> m_changes;
};

}
