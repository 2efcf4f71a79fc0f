#pragma once

#include "common/Time.h"
#include <optional>

namespace eelgrassford::runners {

/// @brief The rate of requests that a runner accepts from all daemons together, as its responses state it.
struct StatedLimit {
    /// Requests per second; empty if the runner states no limit any more.
    std::optional<double> perSecond;
    /// Time of the response.
    TimePoint statedAt {};
};

}
