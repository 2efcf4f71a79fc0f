#pragma once

#include "common/Time.h"
#include <cstdint>

namespace eelgrassford::admission {

/// @brief Decides which requests belong to the admitted share of a service, by the request's hash and the time of the
/// fleet alone. Does no I/O and has no state.
///
/// Load pattern: callers repeat a refused request at once, at other daemons. Decisions by a random draw would admit one
/// of several repeats with a higher probability than a request that is sent once.
///
/// All hashes lie on a circle. A request is admitted if its position, counted from the beginning of the window, is
/// below the admitted share. The window's beginning moves in each epoch, so that a request that is refused now is
/// admitted later, and the time until then is known. Equal requests get equal decisions within an epoch, at all
/// daemons.
///
/// The window moves by a golden section of the circle rather than by its own width: its position is then independent
/// of the share, on which daemons differ a little, and the window of a smaller share is a part of that of a larger one.
/// It returns to a position after at most three different times, the mean of which is the least possible.
class AdmissionWindow {
public:
    struct Options {
        /// Time for which a window stays. It exceeds the time in which a caller sends several repeats.
        Duration epoch = std::chrono::milliseconds(300);
        /// Part of the window in which a returning request is expected; it is still admitted if the share has fallen
        /// by the rest in the meantime.
        double innerPart = 0.7;
        /// Part of an epoch, at its beginning and its end, in which no caller is asked to return, for daemons whose
        /// clocks differ.
        double margin = 0.2;
    };

    AdmissionWindow() = default;
    explicit AdmissionWindow(const Options& options)
        : m_options(options)
    {
    }

    /// @brief Number of the epoch at a time of the fleet.
    std::uint64_t epochAt(Duration fleetTime) const
    {
        return static_cast<std::uint64_t>(fleetTime.count()) / static_cast<std::uint64_t>(m_options.epoch.count());
    }
    /// @brief Position of a request behind the beginning of the window, in [0, 1). It is admitted if this is below the
    /// admitted share.
    static double positionOf(std::uint64_t hash, std::uint64_t epoch);
    /// @brief Time after which a refused request should return: the first epoch whose window will hold it at this
    /// share, or the one that comes closest to holding it within the time.
    /// @param latest longest time for which the caller waits
    /// @param draw uniform number in [0, 1) that spreads the returns within the epoch
    Duration retryAfter(std::uint64_t hash, double share, Duration fleetTime, Duration latest, double draw) const;

private:
    Options m_options;
};

}
