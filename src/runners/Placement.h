#pragma once

#include "runners/Registry.h"
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassford::runners {

/// @brief What placement knows of a request.
struct PlacementRequest {
    std::string_view service;
    /// Identifies the parts of the prompt that other requests share; 0 if nothing is shared.
    std::uint64_t affinityKey = 0;
    /// Runner that served the same session last; empty if none is known.
    std::string_view previousRunner;
    std::string_view dataCentre;
    /// Runners that this request must not go to again.
    std::span<const std::string> excluded;
    /// Breaks ties.
    std::uint64_t tieBreaker = 0;
};

/// @brief Why a runner was chosen.
enum class PlacementReason {
    /// The runner that served the session last.
    Returning,
    /// First choice of the prompt's shared part.
    Warm,
    /// A later choice, because the earlier ones have more than their share.
    Spilled,
    /// Every choice has more than its share; the least loaded one.
    LeastLoaded,
    /// Nothing is shared; the least loaded one.
    Balanced,
    /// Every runner is suspended; the one that may be back first.
    LastResort,
    /// No runner can take the request.
    None,
};

std::string_view nameOf(PlacementReason reason);

/// @brief A placement with the figures that explain it.
struct Placement {
    Runner* runner = nullptr;
    /// First usable choice of the shared part.
    Runner* firstChoice = nullptr;
    /// Runner from which the chosen one should fetch the shared part, if it probably lacks it; null otherwise.
    Runner* prefixSource = nullptr;
    PlacementReason reason = PlacementReason::None;
    double load = 0.0;
    double bound = 0.0;
    std::size_t usableRunners = 0;
};

/// @brief Limits of placement.
struct PlacementOptions {
    /// Multiple of the mean load that a runner may have, and requests above that.
    double loadBound = 1.5;
    double loadMargin = 2.0;
};

/// @brief Chooses the runner for a request; records nothing.
///
/// A shared part has one order of runners on every daemon (rendezvous hashing), so its requests meet a runner that has
/// read it. The first one in that order within the load bound is taken. Requests that share nothing go to the least
/// loaded runner, near ones first.
/// @complexity linear in the runners of the service
Placement place(
    const Registry& registry, const PlacementRequest& request, const PlacementOptions& options, TimePoint now);

}
