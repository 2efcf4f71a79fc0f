#pragma once

#include "common/Time.h"
#include <array>
#include <cstddef>
#include <cstdint>

namespace eelgrassford::dispatch {

/// @brief Limits the retries of one service in every sliding window across the fleet, without communication.
///
/// Each daemon may retry a share of the first attempts that it made itself within the window, plus a fixed part of the
/// fleet's allowance. The sum over all daemons therefore stays within the fleet's budget, whatever each daemon knows
/// about the membership. A daemon has no part of the allowance during its first window, because the process that ran
/// before a restart may have used it.
class WindowedRetryBudget {
public:
    struct Options {
        /// Retries that each first attempt adds to the budget of its window.
        double ratio = 0.1;
        /// Retries that this daemon may make in a window in addition to that share.
        double allowance = 0.0;
        /// Length of the sliding window.
        Duration window = std::chrono::seconds(10);
    };

    /// @brief Part of the fleet's allowance that each daemon may use.
    /// @param daemons number of daemons that this one knows, itself included
    static double shareOfAllowance(double fleetAllowance, std::size_t daemons);

    WindowedRetryBudget(const Options& options, TimePoint startedAt);

    void setOptions(const Options& options) { m_options = options; }
    /// @brief Counts the first attempt of a request.
    void recordFirstAttempt(TimePoint now);
    /// @brief Takes one retry.
    /// @return false if the budget of the window is used up
    bool tryTake(TimePoint now);
    /// @brief Retries left in the window that ends now; may be negative.
    double remaining(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 64;
    /// Counts of one time slice.
    struct Bucket {
        /// Number of the slice since the clock's epoch; -1 if the bucket has not been used.
        std::int64_t index = -1;
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };

    Bucket& bucketAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    Options m_options;
    TimePoint m_startedAt;
    std::array<Bucket, bucketCount> m_buckets {};
};

}
