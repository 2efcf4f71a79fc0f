#pragma once

#include "common/Time.h"
#include <ctime>

namespace eelgrassford::daemon {

/// @brief Returns the time of the monotonic clock that keeps running while the machine is suspended.
inline TimePoint currentTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
