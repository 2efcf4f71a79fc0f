#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace eelgrassford::runners {

/// @brief The daemons of the fleet as this one knows them, by hashes of their addresses.
struct FleetView {
    std::uint64_t self = 0;
    std::vector<std::uint64_t> others;
};

/// @brief How daemons share the request rate that a runner accepts.
struct LimitShareOptions {
    /// Part of the limit that the daemons use together; the rest covers daemons whose views of the fleet differ.
    double usedPart = 0.9;
    /// Daemons that share a limit, for each request per second of it. Each may save up one request, and these must not
    /// exceed the limit together when they are sent at once.
    double daemonsPerRequest = 1.5;
    /// Daemons added to that.
    std::size_t extraDaemons = 2;
    /// Smallest rate that the daemons use together, in requests per second. Only responses tell that a limit has ended.
    double minPerSecond = 0.25;
};

/// @brief Requests per second that this daemon may send to a runner.
///
/// Load pattern: a runner in need states how many requests a second it takes from all daemons together. The fleet sends
/// it several times that, and callers may surge after a calm time.
///
/// Rendezvous hashing chooses the daemons that may send to the runner, and each gets an equal part of its limit.
/// Daemons that know the same members agree on them without messages. In a small fleet all are chosen.
/// @param limit requests per second that the runner accepts from all daemons together
/// @param runner hash that identifies the runner
/// @return 0 if this daemon is not chosen
/// @complexity linear in the number of daemons
double shareOfLimit(double limit, std::uint64_t runner, const FleetView& fleet, const LimitShareOptions& options = {});

}
