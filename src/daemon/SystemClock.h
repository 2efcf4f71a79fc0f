#pragma once

#include "common/Time.h"
#include <ctime>

namespace eelgrassford::daemon {

/// @brief Reads the monotonic clock that counts suspended time.
inline TimePoint currentTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
