#include "runners/LimitShare.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::runners {

double shareOfLimit(double limit, std::uint64_t runner, const FleetView& fleet, const LimitShareOptions& options)
{
    const auto used = std::max(limit * options.usedPart, options.minPerSecond);
    const auto daemons = fleet.others.size() + 1;
    // Compared as numbers first: a limit may exceed every integer.
    const double wanted = limit * options.daemonsPerRequest + static_cast<double>(options.extraDaemons);
    const auto chosen = wanted < static_cast<double>(daemons) ? static_cast<std::size_t>(wanted) : daemons;
    const auto own = mix64(fleet.self, runner);
    const auto before = static_cast<std::size_t>(std::count_if(fleet.others.begin(), fleet.others.end(),
        [own, runner](std::uint64_t other) { return mix64(other, runner) > own; }));
    return before < chosen ? used / static_cast<double>(chosen) : 0.0;
}

}
