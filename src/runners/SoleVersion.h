#pragma once

#include "common/Time.h"
#include <cstdint>

namespace eelgrassford::runners {

/// @brief The software version that alone served a service, as far as a daemon knows.
struct SoleVersion {
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// See softwareOf().
    std::uint64_t software = 0;
    /// Time for which no other one was listed.
    Duration age {};
};

}
