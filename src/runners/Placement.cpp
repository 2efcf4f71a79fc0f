#include "runners/Placement.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::runners {

namespace {

    /// Share of a request that a runner in another data centre counts as more loaded.
    constexpr double distancePenalty = 0.25;
    /// Requests that a failure rate of 1 counts as.
    constexpr double failurePenalty = 8.0;

    bool isExcluded(const Runner& runner, const PlacementRequest& request)
    {
        return std::find(request.excluded.begin(), request.excluded.end(), runner.entry.id) != request.excluded.end();
    }

    double cost(const Registry& registry, const Runner& runner, const PlacementRequest& request, TimePoint now)
    {
        const double distance = runner.entry.dataCentre == request.dataCentre ? 0.0 : distancePenalty;
        return (registry.load(runner, now) + distance + failurePenalty * runner.failureRate())
            / std::max<double>(1.0, runner.entry.slots);
    }

    struct Best {
        Runner* runner = nullptr;
        double value = 0.0;
        std::uint64_t tie = 0;

        void offer(Runner* candidate, double candidateValue, std::uint64_t candidateTie)
        {
            if (runner && (candidateValue > value || (candidateValue == value && candidateTie <= tie)))
                return;
            *this = { candidate, candidateValue, candidateTie };
        }
    };

    double rank(const Runner& runner, const PlacementRequest& request)
    {
        return toUnitInterval(mix64(request.affinityKey, runner.identity));
    }

    /// A suspension may be wrong or over: trying is better for the caller than a refusal.
    void takeLastResort(const Registry& registry, const PlacementRequest& request, Placement& result)
    {
        Best best;
        for (auto* runner : registry.runnersOf(request.service)) {
            if (runner->entry.isLeaving || isExcluded(*runner, request))
                continue;
            best.offer(runner, toSeconds(runner->suspendedUntil.time_since_epoch()),
                mix64(request.tieBreaker, runner->identity));
        }
        result.runner = best.runner;
        result.reason = best.runner ? PlacementReason::LastResort : PlacementReason::None;
    }

    /// The runner that held the part before: the first in its order that is neither the chosen one nor new itself.
    /// One that leaves still serves for a while, and holds what it held.
    void findSource(const Registry& registry, const PlacementRequest& request, TimePoint now, Placement& result)
    {
        Best first;
        Best best;
        for (auto* runner : registry.runnersOf(request.service)) {
            first.offer(runner, -rank(*runner, request), 0);
            if (runner == result.runner || now < runner->suspendedUntil || registry.isRecentlyAdded(*runner, now))
                continue;
            best.offer(runner, -rank(*runner, request), 0);
        }
        if (first.runner != result.runner || registry.isRecentlyAdded(*result.runner, now))
            result.prefixSource = best.runner;
    }

}

std::string_view nameOf(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::Returning:
        return "returning";
    case PlacementReason::Warm:
        return "warm";
    case PlacementReason::Spilled:
        return "spilled";
    case PlacementReason::LeastLoaded:
        return "least-loaded";
    case PlacementReason::Balanced:
        return "balanced";
    case PlacementReason::LastResort:
        return "last-resort";
    case PlacementReason::None:
        return "none";
    }
    return "none";
}

Placement place(
    const Registry& registry, const PlacementRequest& request, const PlacementOptions& options, TimePoint now)
{
    Placement result;
    double total = 0.0;
    Best leastLoaded;
    Best firstChoice;
    for (auto* runner : registry.runnersOf(request.service)) {
        if (!registry.isUsable(*runner, now) || isExcluded(*runner, request))
            continue;
        ++result.usableRunners;
        total += registry.load(*runner, now);
        leastLoaded.offer(runner, cost(registry, *runner, request, now), mix64(request.tieBreaker, runner->identity));
        firstChoice.offer(runner, -rank(*runner, request), 0);
    }
    if (result.usableRunners == 0) {
        takeLastResort(registry, request, result);
        return result;
    }
    result.bound = options.loadBound * total / static_cast<double>(result.usableRunners) + options.loadMargin;
    result.runner = leastLoaded.runner;
    result.reason = PlacementReason::Balanced;
    if (request.affinityKey != 0) {
        result.firstChoice = firstChoice.runner;
        result.reason = PlacementReason::LeastLoaded;
        Best fitting;
        for (auto* runner : registry.runnersOf(request.service)) {
            if (!registry.isUsable(*runner, now) || isExcluded(*runner, request))
                continue;
            const auto load = registry.load(*runner, now);
            if (load + 1.0 > result.bound || load >= runner->entry.slots)
                continue;
            if (runner->entry.id == request.previousRunner) {
                fitting = { runner, 1.0, 0 };
                break;
            }
            fitting.offer(runner, -rank(*runner, request), 0);
        }
        if (fitting.runner) {
            result.runner = fitting.runner;
            result.reason = fitting.value > 0.0        ? PlacementReason::Returning
                : fitting.runner == firstChoice.runner ? PlacementReason::Warm
                                                       : PlacementReason::Spilled;
        }
    }
    if (request.affinityKey != 0)
        findSource(registry, request, now, result);
    result.load = registry.load(*result.runner, now);
    return result;
}

}
