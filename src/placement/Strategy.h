#pragma once

#include "placement/LoadEstimator.h"
#include "placement/PlacementExceptionCache.h"
#include "placement/SlotTable.h"
#include <functional>
#include <memory>
#include <string_view>

namespace eelgrassford::placement {

/// @brief The properties of a request that placement depends on.
struct Request {
    /// Digest of the chat.
    std::uint64_t chat = 0;
    std::uint32_t promptTokens = 0;
    /// Prompt tokens that the chat's warm runner probably holds in its prefix cache; 0 for a new chat.
    std::uint32_t reusableTokens = 0;
    std::uint32_t expectedOutputTokens = 0;

    /// @brief Work on the warm runner, in decode-token equivalents.
    double work() const { return workOf(promptTokens - std::min(promptTokens, reusableTokens), expectedOutputTokens); }
};

/// @brief Why a runner was chosen.
enum class Reason {
    /// The chat's first choice by hash.
    Home,
    /// The runner that served the chat last, recorded as a placement exception.
    Remembered,
    /// The least loaded of the choices of a chat that has no cached prefix.
    New,
    /// The runner before the last one, which may still cache an earlier prefix.
    Returned,
    /// Another of the chat's choices, because its warm runner or its earlier choices are at their bound.
    Spilled,
    /// Every choice is at its bound; the least loaded of them.
    LeastLoaded,
    /// Chosen by a strategy that does not consider the chat.
    Balanced,
    /// No runner is eligible for the request.
    None,
};

std::string_view nameOf(Reason reason);

/// @brief Whether the chosen runner probably caches the chat's prefix.
constexpr bool isWarm(Reason reason)
{
    return reason == Reason::Home || reason == Reason::Remembered || reason == Reason::Returned;
}

/// @brief The chosen runner with the figures that led to the choice.
struct Decision {
    RunnerIndex runner = noRunner;
    Reason reason = Reason::None;
    /// Number of probes or runners whose load was examined.
    std::uint32_t considered = 0;
    /// Load of the chosen runner, in decode-token equivalents by weight, without this request.
    double load = 0.0;
    /// Load bound that applied to the request; 0 for strategies without a bound.
    double bound = 0.0;
};

/// @brief Input of a strategy besides the request: the runners of one model in one region and what is known of them.
struct PlacementContext {
    const SlotTable& table;
    const LoadEstimator& loads;
    PlacementExceptionCache& exceptions;
    /// Largest load of a runner, as a multiple of the mean load.
    double loadBound = 1.25;
    /// Whether new work may go to a runner, by runner index.
    std::span<const std::uint8_t> eligible;
};

/// @brief Returns uniformly distributed random numbers.
using RandomSource = std::function<std::uint64_t()>;

/// @brief Chooses the runner for a request.
class Strategy {
public:
    virtual ~Strategy() = default;
    /// @return a decision with noRunner if no runner is eligible
    virtual Decision choose(const Request& request, const PlacementContext& context, TimePoint now) = 0;
};

/// @brief Creates a strategy by the name used in the configuration.
/// @param name "bounded-load", "random", "round-robin", "least-load", "two-choices", "rendezvous" or
/// "bounded-hash"
/// @param random used by "random" and "two-choices" only
/// @return null if the name is unknown
std::unique_ptr<Strategy> makeStrategy(std::string_view name, RandomSource random);

}
