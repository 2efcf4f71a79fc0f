#pragma once

#include "common/Time.h"
#include <array>
#include <cstdint>

namespace eelgrassford::dispatch {

/// @brief Bounds the repeats of one service in every sliding window, across the fleet, without talking.
///
/// Each daemon repeats at most a share of the first attempts that it made itself within the window, plus a fixed part
/// of the fleet's allowance. The sum over all daemons stays within the fleet's budget under every view of the
/// membership. A daemon that has just started has no part of the allowance: an earlier life may have used it.
class WindowedRetryBudget {
public:
    struct Options {
        /// Repeats that each first attempt allows.
        double ratio = 0.1;
        /// Repeats beyond that in one window.
        double allowance = 0.0;
        Duration window = std::chrono::seconds(10);
    };

    WindowedRetryBudget(const Options& options, TimePoint startedAt);

    void setOptions(const Options& options) { m_options = options; }
    /// @brief Counts a request that a caller sent.
    void recordFirstAttempt(TimePoint now);
    /// @brief Takes one repeat if the window has room.
    bool tryTake(TimePoint now);
    /// @brief Repeats left in the present window.
    double remaining(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 64;
    struct Bucket {
        std::int64_t index = -1;
        std::uint32_t first = 0;
        std::uint32_t repeats = 0;
    };

    Bucket& bucketAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    Options m_options;
    TimePoint m_startedAt;
    std::array<Bucket, bucketCount> m_buckets {};
};

}
