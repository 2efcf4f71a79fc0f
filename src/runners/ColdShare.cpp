#include "runners/ColdShare.h"

#include "common/Hash.h"
#include <algorithm>
#include <cmath>

namespace eelgrassford::runners {

double coldRate(double requestsPerSecond, const ColdShareOptions& options)
{
    return std::min(requestsPerSecond, (requestsPerSecond * options.overage + options.slack) / 2.0);
}

std::optional<Duration> coldInterval(
    double requestsPerSecond, std::uint64_t runner, const FleetView& fleet, const ColdShareOptions& options)
{
    const double rate = coldRate(requestsPerSecond, options);
    if (!(rate > 0.0))
        return std::nullopt;
    const auto daemons = static_cast<double>(fleet.others.size() + 1);
    const double chosen = std::min(daemons, std::max(1.0, std::floor(rate)));
    const auto own = mix64(fleet.self, runner);
    const auto before = std::count_if(fleet.others.begin(), fleet.others.end(),
        [own, runner](std::uint64_t other) { return mix64(other, runner) > own; });
    if (static_cast<double>(before) >= chosen)
        return std::nullopt;
    const double requests = rate < 1.0 ? rate : std::floor(rate / chosen);
    return fromSeconds(toSeconds(options.spreadTime) / requests);
}

}
