#pragma once

#include "runners/Runner.h"
#include <optional>
#include <string_view>

namespace eelgrassford::runners {

/// @brief Why a runner gets no new request. The first one that holds, in this order, is stated.
enum class Exclusion {
    /// It stated in a response that it leaves.
    StatedLeaving,
    /// The platform lists it as leaving.
    ListedLeaving,
    /// The operator took its data centre out of service.
    Evacuated,
    /// It refused a request and asked for a pause, or returns from it.
    Paused,
    /// This daemon's share of the request rate that it accepts is used up.
    RateLimited,
    /// It is cold, and this daemon may send it nothing yet.
    Cold,
    /// This daemon suspends it after failures.
    Suspended,
    /// It was suspended, and gets one request at a time until it serves one.
    OnProbation,
    /// Other daemons suspend it.
    SuspendedByPeers,
};

std::string_view nameOf(Exclusion exclusion);

/// Number of exclusions, whose values begin at 0.
constexpr std::size_t exclusionCount = 9;

/// @brief Whether a runner may get a request, and if not, why and until when.
struct Availability {
    /// Empty if the runner may get a request.
    std::optional<Exclusion> exclusion;
    /// Time at which the exclusion ends, if that is known.
    std::optional<TimePoint> until;
    /// Time of the newest knowledge that it rests on, if that is recorded.
    std::optional<TimePoint> knownSince;

    bool isAvailable() const { return !exclusion; }
    /// @brief Whether it holds also if no other runner is left, since the runner itself or the platform asks for it.
    /// Others rest on conclusions of daemons, which may be wrong.
    bool isBinding() const;
};

/// @brief Durations that decide about availability.
struct AvailabilityOptions {
    /// Time for which a request served for this daemon outweighs suspensions by its peers.
    Duration ownSuccessLifetime = std::chrono::milliseconds(300);
};

/// @brief Decides whether a runner may get a request now. Placement, retries, queues and load sums all ask here.
Availability availabilityOf(const Runner& runner, const AvailabilityOptions& options, TimePoint now);

}
