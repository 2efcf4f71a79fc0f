#pragma once

#include "runners/Registry.h"
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassford::runners {

/// @brief Properties of a request that decide its placement.
struct PlacementRequest {
    std::string_view service;
    /// Hash of the prompt prefix that other requests may share; 0 if there is none.
    std::uint64_t affinityKey = 0;
    /// Runner that served the same session last; empty if none is known.
    std::string_view previousRunner;
    /// Data centre of this daemon; runners there are preferred.
    std::string_view dataCentre;
    /// Ids of runners that must not get this request again.
    std::span<const std::string> excluded;
    /// Software that began the stream that the request continues; other runners must not get it. Empty for a request
    /// that may begin anywhere.
    std::optional<std::uint64_t> software;
    /// Random number that decides between otherwise equal runners.
    std::uint64_t tieBreaker = 0;
};

/// @brief Why a runner was chosen.
enum class PlacementReason {
    /// The runner that served the session last.
    Returning,
    /// The first runner in the order of the shared prefix, which probably has it cached.
    Warm,
    /// A later runner in that order, because the earlier ones are at the load bound or have no free slot.
    Spilled,
    /// The least loaded runner, because all are at the load bound or have no free slot.
    LeastLoaded,
    /// The least loaded runner, because the request shares no prefix.
    Balanced,
    /// A runner of another data centre, because a wait in this one costs too much or none there is usable.
    OtherDataCentre,
    /// The runner whose suspension ends first, because none is usable.
    LastResort,
    /// No runner can take the request.
    None,
};

std::string_view nameOf(PlacementReason reason);

/// @brief Figures of a runner that was chosen by work.
struct PlacementWork {
    /// Cost of the request there, in milliseconds.
    double costMs = 0.0;
    /// Work that is left there at the usual speed, in milliseconds.
    double remainingMs = 0.0;
    /// Time that work takes there as a multiple of the usual.
    double slowdown = 1.0;
    /// Tokens of the request's prompt that it probably lacks.
    double uncachedTokens = 0.0;
};

/// @brief A placement with the figures that explain it.
struct Placement {
    /// The chosen runner; null if none can take the request.
    Runner* runner = nullptr;
    /// First usable runner in the order of the shared prefix; null without a shared prefix.
    Runner* firstChoice = nullptr;
    /// Runner from which the chosen one should fetch the shared prefix if it probably lacks it; null otherwise.
    Runner* prefixSource = nullptr;
    PlacementReason reason = PlacementReason::None;
    /// Requests in flight to the chosen runner.
    double load = 0.0;
    /// Largest load in requests, this one included, of a runner chosen for its cached prompt.
    double bound = 0.0;
    /// Number of runners that could take the request.
    std::size_t usableRunners = 0;
    /// Without a runner: time at which the first one may take the request; empty if that is not known.
    std::optional<TimePoint> availableAt;
    /// The exclusion that ends then.
    std::optional<Exclusion> awaited;
    /// Set if the runner was chosen by work.
    std::optional<PlacementWork> work;
};

/// @brief Load bound of placement: a multiple of the mean load plus a constant.
struct PlacementOptions {
    /// Multiple of the mean load.
    double loadBound = 1.5;
    /// Requests added to that.
    double loadMargin = 2.0;
};

/// @brief Whether a runner can take a request now.
bool canTake(const Registry& registry, const Runner& runner, const PlacementRequest& request, TimePoint now);

/// @brief Whether any runner of the service can take a request now.
bool hasCandidate(const Registry& registry, const PlacementRequest& request, TimePoint now);

/// @brief Finds the runner that probably has the shared prefix cached: the first in its order that is neither the
/// chosen one nor recently added. Runners that are listed as leaving count, as they still serve for a while and keep
/// their cache, but not those that state themselves that they leave, or ask for a pause.
void findPrefixSource(const Registry& registry, const PlacementRequest& request, TimePoint now, Placement& result);

/// @brief Chooses the runner for a request without recording the choice.
///
/// Rendezvous hashing gives a shared prompt prefix the same order of runners on every daemon, so its requests reach a
/// runner that has it cached. The runner that last served the session is chosen if it is within the load bound,
/// otherwise the first runner in that order that is. Requests without a shared prefix go to the least loaded runner,
/// with a preference for the same data centre. A runner that limits its request rate is passed over while this daemon's
/// share of the limit is used up.
/// @complexity linear in the runners of the service
Placement place(
    const Registry& registry, const PlacementRequest& request, const PlacementOptions& options, TimePoint now);

}
