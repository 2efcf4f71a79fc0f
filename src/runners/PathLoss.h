#pragma once

#include "runners/Registry.h"

namespace eelgrassford::runners {

/// @brief Whether this daemon is cut off from all runners, with the figures that show it.
struct PathState {
    bool isLost = false;
    /// Runners to which no connection could be established since any runner was last heard.
    std::size_t unreachable = 0;
    std::size_t runners = 0;
    /// Decayed count of requests that other daemons had served by these runners.
    double servedForOthers = 0.0;
    /// Time since any runner was last heard.
    Duration silence {};
};

/// @brief Tells a daemon that is cut off from the runners of runners that have ended.
///
/// Load pattern: some daemons, up to a whole data centre, lose all runners at once, while callers, the store and the
/// other daemons still reach them. One silent runner, or even several that crash together, is no such loss: others are
/// still heard. If other daemons are served by runners that this one cannot reach, the fault is its own path.
PathState pathState(const Registry& registry, TimePoint now);

}
