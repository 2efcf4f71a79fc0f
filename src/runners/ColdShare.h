#pragma once

#include "common/Time.h"
#include "runners/LimitShare.h"
#include <optional>

namespace eelgrassford::runners {

/// @brief What a service states of its runners after their start.
struct ColdStart {
    /// Time for which a runner is cold after its start.
    Duration length {};
    /// Requests per second that a cold runner sustains.
    double requestsPerSecond = 0.0;
};

/// @brief How daemons share the request rate of a cold runner.
struct ColdShareOptions {
    /// Requests that a cold runner may get within any second, from all daemons together: this multiple of the rate that
    /// it sustains, and this number besides.
    double overage = 1.0;
    double slack = 0.0;
    /// Time over which a daemon spreads the requests that it may send within a second. The tenth above a second covers
    /// requests that do not take equally long on their way.
    Duration spreadTime = std::chrono::milliseconds(1100);
};

/// @brief Requests that the daemons of one view of the fleet together may send to a cold runner within a second. It is
/// at most half of what the runner may get, so that two views that do not know each other stay within that.
double coldRate(double requestsPerSecond, const ColdShareOptions& options);

/// @brief Shortest time between two requests of this daemon to a cold runner.
///
/// Load pattern: runners start cold, up to a whole data centre at once, and each daemon of a fleet of a hundred would
/// send to them as the least loaded ones.
///
/// Rendezvous hashing chooses as many daemons as requests may be sent a second, at most all of them; each gets an equal
/// whole number of requests. Daemons that know the same members agree on them without messages.
/// @param requestsPerSecond rate that the runner sustains while it is cold
/// @param runner hash that identifies the runner
/// @return empty if this daemon sends it none
/// @complexity linear in the number of daemons
std::optional<Duration> coldInterval(
    double requestsPerSecond, std::uint64_t runner, const FleetView& fleet, const ColdShareOptions& options);

}
