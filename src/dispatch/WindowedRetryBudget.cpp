#include "dispatch/WindowedRetryBudget.h"

#include <algorithm>

namespace eelgrassford::dispatch {

namespace {

    /// Buckets that make up one window. The ring has more buckets; those outside the window are skipped.
    constexpr std::int64_t bucketsPerWindow = 50;
    /// Least number of daemons among which the allowance is divided. Twice the size of small fleets, since daemons are
    /// added and restarted.
    constexpr std::size_t minDaemonsForAllowance = 16;

}

double WindowedRetryBudget::shareOfAllowance(double fleetAllowance, std::size_t daemons)
{
    return fleetAllowance / static_cast<double>(std::max(daemons, minDaemonsForAllowance));
}

WindowedRetryBudget::WindowedRetryBudget(const Options& options, TimePoint startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

std::int64_t WindowedRetryBudget::indexOf(TimePoint now) const
{
    return now.time_since_epoch() / (m_options.window / bucketsPerWindow);
}

WindowedRetryBudget::Bucket& WindowedRetryBudget::bucketAt(TimePoint now)
{
    const auto index = indexOf(now);
    auto& bucket = m_buckets[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index)
        bucket = { index, 0, 0 };
    return bucket;
}

void WindowedRetryBudget::recordFirstAttempt(TimePoint now) { ++bucketAt(now).firstAttempts; }

double WindowedRetryBudget::remaining(TimePoint now)
{
    const auto currentIndex = indexOf(now);
    double firstAttempts = 0.0;
    double retries = 0.0;
    for (const auto& bucket : m_buckets) {
        // The oldest bucket is only partly inside the window. To stay within the limit, all of its retries count and
        // none of its first attempts.
        if (bucket.index < currentIndex - bucketsPerWindow)
            continue;
        retries += bucket.retries;
        firstAttempts += bucket.index > currentIndex - bucketsPerWindow ? bucket.firstAttempts : 0;
    }
    const bool hasRunFullWindow = now - m_startedAt >= m_options.window;
    return m_options.ratio * firstAttempts + (hasRunFullWindow ? m_options.allowance : 0.0) - retries;
}

bool WindowedRetryBudget::tryTake(TimePoint now)
{
    if (remaining(now) < 1.0)
        return false;
    ++bucketAt(now).retries;
    return true;
}

}
