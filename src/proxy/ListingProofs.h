#pragma once

#include "common/Time.h"
#include <functional>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Holds back decisions that are wrong if a runner was listed that this daemon has not read of, until the
/// listing is proven to be current. No I/O.
///
/// Load pattern: a daemon that is cut off from the store, or was suspended, takes the version that it knows for the
/// only one, while callers return to it with streams that runners of a new version began at other daemons.
class ListingProofs {
public:
    struct Options {
        /// Time for which a caller waits for a proof. In a sound fleet each daemon gets one every second.
        Duration timeout = std::chrono::milliseconds(2000);
    };
    /// Called once.
    using Decision = std::function<void(bool isProven)>;

    explicit ListingProofs(const Options& options)
        : m_options(options)
    {
    }
    ListingProofs()
        : ListingProofs(Options {})
    {
    }

    /// @brief Waits for a proof that the listing was current at a time, or later.
    /// @param decision never called from within this function
    void await(TimePoint since, Decision decision);
    /// @brief Records that the listing in use was current at a time.
    void record(TimePoint provenAt);
    /// @brief Makes the decisions that have waited for too long; call a few times a second.
    void expire(TimePoint now);

private:
    struct Waiting {
        TimePoint since {};
        Decision decision;
    };

    void decide(TimePoint until, bool isProven);

    Options m_options;
    std::vector<Waiting> m_waiting;
};

}
