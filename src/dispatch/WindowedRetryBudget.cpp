#include "dispatch/WindowedRetryBudget.h"

namespace eelgrassford::dispatch {

namespace {

    /// Buckets that make up one window; the rest of the ring is never read with them.
    constexpr std::int64_t bucketsPerWindow = 50;

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

void WindowedRetryBudget::recordFirstAttempt(TimePoint now) { ++bucketAt(now).first; }

double WindowedRetryBudget::remaining(TimePoint now)
{
    const auto last = indexOf(now);
    double first = 0.0;
    double repeats = 0.0;
    for (const auto& bucket : m_buckets) {
        // A bucket that the window covers in part counts whole as spent and not at all as earned.
        if (bucket.index < last - bucketsPerWindow)
            continue;
        repeats += bucket.repeats;
        first += bucket.index > last - bucketsPerWindow ? bucket.first : 0;
    }
    const bool isSettled = now - m_startedAt >= m_options.window;
    return m_options.ratio * first + (isSettled ? m_options.allowance : 0.0) - repeats;
}

bool WindowedRetryBudget::tryTake(TimePoint now)
{
    if (remaining(now) < 1.0)
        return false;
    ++bucketAt(now).repeats;
    return true;
}

}
