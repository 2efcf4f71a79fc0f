#pragma once

#include "placement/LoadEstimator.h"
#include "placement/PlacementExceptionCache.h"
#include "placement/SlotTable.h"
#include <functional>
#include <memory>
#include <string_view>

namespace eelgrassford::placement {

/// @brief What placement needs to know of a request.
struct Request {
    /// Digest of the chat.
    std::uint64_t chat = 0;
    std::uint32_t promptTokens = 0;
    /// Prompt tokens that the chat's warm runner probably holds.
    std::uint32_t reusableTokens = 0;
    std::uint32_t expectedOutputTokens = 0;

    double work() const { return workOf(promptTokens - std::min(promptTokens, reusableTokens), expectedOutputTokens); }
};

/// @brief Why a runner was chosen.
enum class Reason {
    /// The chat's first choice by hash.
    Home,
    /// The runner that served the chat last, which is not its first choice.
    Remembered,
    /// A chat with nothing to reuse, on the least loaded of its choices.
    New,
    /// The runner before the last one, which may hold an earlier prefix.
    Returned,
    /// A later choice, because the earlier ones are at their bound.
    Spilled,
    /// Every choice is at its bound; the least loaded of them.
    LeastLoaded,
    /// A strategy without affinity.
    Balanced,
    /// No runner can take the request.
    None,
};

std::string_view nameOf(Reason reason);

/// @brief Whether the chosen runner probably holds the chat's prefix.
constexpr bool isWarm(Reason reason)
{
    return reason == Reason::Home || reason == Reason::Remembered || reason == Reason::Returned;
}

/// @brief A placement with the figures that explain it.
struct Decision {
    RunnerIndex runner = noRunner;
    Reason reason = Reason::None;
    std::uint32_t considered = 0;
    double load = 0.0;
    double bound = 0.0;
};

/// @brief What a strategy decides from: the runners of one model in one region.
struct PlacementContext {
    const SlotTable& table;
    const LoadEstimator& loads;
    PlacementExceptionCache& exceptions;
    /// No runner is given more than this multiple of the mean load.
    double loadBound = 1.25;
    /// Whether new work may go to a runner, by runner index.
    std::span<const std::uint8_t> eligible;
};

/// @brief Source of random numbers that the caller passes in.
using RandomSource = std::function<std::uint64_t()>;

/// @brief Chooses the runner for a request.
class Strategy {
public:
    virtual ~Strategy() = default;
    virtual Decision choose(const Request& request, const PlacementContext& context, TimePoint now) = 0;
};

/// @brief Makes a strategy by the name that declarations use.
/// @param name "bounded-load", "random", "round-robin", "least-load", "two-choices", "rendezvous" or
/// "bounded-hash"
/// @return null if the name is unknown
std::unique_ptr<Strategy> makeStrategy(std::string_view name, RandomSource random);

}
