#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrassford {

/// @brief Tag for the monotonic clock that also counts suspended time (CLOCK_BOOTTIME on Linux).
///
/// Decision code does not read the clock: it takes the current time as an argument.
struct MonotonicClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicClock>;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

/// @brief Converts a duration to seconds.
constexpr double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @brief Converts a duration to milliseconds, as logs state it.
constexpr double toMilliseconds(Duration duration) { return toSeconds(duration) * 1000.0; }

/// @brief Converts seconds to a duration.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
