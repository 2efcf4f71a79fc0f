#pragma once

#include "placement/BoundedLoadStrategy.h"
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassford::bench {

/// @brief Sizes, load and faults of one simulated scenario.
struct Scenario {
    std::string name;
    std::size_t daemons = 8;
    std::size_t runners = 20;
    /// Mean requests in flight per runner; determines the request rate.
    double inFlightPerRunner = 24;
    /// Simulated time, including the warm-up.
    double durationSeconds = 1800;
    /// Initial time that is not measured, while caches fill.
    double warmUpSeconds = 600;
    /// Delay between a load sample and its arrival at the daemons.
    double reportLagSeconds = 1.0;
    /// Interval between digests to peers.
    double digestSeconds = 0.2;
    /// Share of the runners that is replaced per hour.
    double churnPerHour = 0.1;
    /// Time for which one runner is unreachable, once a minute; 0 for never.
    double flapSeconds = 0.0;
    /// Factor by which one organisation's long review chats shorten their pauses in the middle third; 1 for no surge.
    double surgeFactor = 1.0;
    /// Whether the two halves of the daemons receive no digests from each other.
    bool isPartitioned = false;
    /// Maximum load of a runner as a multiple of the mean load.
    double loadBound = 1.25;
    std::uint64_t seed = 1;
};

/// @brief What a router knows about the state of engines.
enum class Knowledge {
    /// Delayed load reports, its own dispatches since then, and digests from peers.
    Reported,
    /// A single router that always knows the current load of each engine.
    PerfectLoad,
    /// As PerfectLoad, and also the cache contents of each engine.
    PerfectCache,
};

/// @brief A placement strategy to simulate, with its knowledge of engines.
struct Router {
    std::string name;
    Knowledge knowledge = Knowledge::Reported;
    placement::BoundedLoadStrategy::Options options;
    /// Name for makeStrategy(); "bounded-load" uses the options above.
    std::string strategy = "bounded-load";
};

/// @brief Results of one simulation after its warm-up.
struct Metrics {
    /// Reused prompt tokens as a share of all prompt tokens.
    double reusedShare = 0.0;
    /// Maximum over mean load of the engines in 5 s windows: median, 99th percentile and maximum over all windows.
    double loadSkewMedian = 0.0;
    double loadSkewP99 = 0.0;
    double loadSkewMax = 0.0;
    /// Bytes per second that a daemon sends in digests.
    double digestBytesPerSecond = 0.0;
    /// Share of placements for a reason that is not warm; see placement::isWarm().
    double spilledShare = 0.0;
    std::uint64_t requests = 0;
};

/// @brief Simulates a scenario with one router; deterministic for a given scenario, including its seed, and router.
Metrics simulate(const Scenario& scenario, const Router& router);

}
