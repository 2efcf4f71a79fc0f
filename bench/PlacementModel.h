#pragma once

#include "placement/BoundedLoadStrategy.h"
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassford::bench {

/// @brief Sizes and faults of one scenario of the placement model.
struct Scenario {
    std::string name;
    std::size_t daemons = 8;
    std::size_t runners = 20;
    double inFlightPerRunner = 24;
    double seconds = 1800;
    /// Start that is not counted, while caches fill.
    double warmUpSeconds = 600;
    double reportLagSeconds = 1.0;
    double digestSeconds = 0.2;
    /// Share of the runners replaced in an hour.
    double churnPerHour = 0.1;
    /// One runner is unreachable for this long, once a minute; 0 for never.
    double flapSeconds = 0.0;
    /// One organisation multiplies its long reviews in the middle third.
    double surgeFactor = 1.0;
    /// Daemons in the second half hear nothing of the first half, and the other way round.
    bool isCutOff = false;
    double loadBound = 1.25;
    std::uint64_t seed = 1;
};

/// @brief What a router is told about engines.
enum class Knowledge {
    /// Late reports, own dispatches since, digests of peers.
    Late,
    /// One router that knows each engine's load at every moment.
    PerfectLoad,
    /// The same, and what each engine holds in its cache.
    PerfectCache,
};

/// @brief A strategy and its knowledge, as measured.
struct Router {
    std::string name;
    Knowledge knowledge = Knowledge::Late;
    placement::BoundedLoadStrategy::Options options;
    /// Name for makeStrategy(); "bounded-load" uses the options above.
    std::string strategy = "bounded-load";
};

struct Figures {
    /// Reused prompt tokens as a share of all prompt tokens.
    double reuse = 0.0;
    /// Largest over mean load in 5 s windows.
    double skewMedian = 0.0;
    double skewP99 = 0.0;
    double skewWorst = 0.0;
    /// Bytes a second that a daemon sends in digests.
    double controlBytes = 0.0;
    /// Share of placements that were not the chat's first choice.
    double spilled = 0.0;
    std::uint64_t requests = 0;
};

/// @brief Runs a scenario with one router; the result depends on the scenario and its seed only.
Figures simulate(const Scenario& scenario, const Router& router);

}
