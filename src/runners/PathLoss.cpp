#include "runners/PathLoss.h"

#include <algorithm>

namespace eelgrassford::runners {

namespace {

    /// Runners that must be unreachable, or all if there are fewer. Two may crash together, and others be heard rarely.
    constexpr std::size_t minUnreachable = 3;

}

PathState pathState(const Registry& registry, TimePoint now)
{
    PathState result;
    for (const auto& [id, runner] : registry.runners()) {
        ++result.runners;
        if (!runner->unconnectedAt || *runner->unconnectedAt <= registry.lastReceivedAt())
            continue;
        ++result.unreachable;
        result.servedForOthers += runner->peerServed;
    }
    result.silence = now - registry.lastReceivedAt();
    result.isLost = result.unreachable > 0 && result.unreachable >= std::min(minUnreachable, result.runners)
        && result.servedForOthers > 0.0;
    return result;
}

}
