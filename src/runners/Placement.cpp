#include "runners/Placement.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::runners {

namespace {

    /// Load added to runners of other data centres, in requests.
    constexpr double distancePenalty = 0.25;
    /// Load added for a failure rate of 1, in requests.
    constexpr double failurePenalty = 8.0;

    bool isExcluded(const Registry& registry, const Runner& runner, const PlacementRequest& request, TimePoint now)
    {
        if (request.software && (runner.software != *request.software || !registry.isSoftwareCertain(runner, now)))
            return true;
        return std::find(request.excluded.begin(), request.excluded.end(), runner.entry.id) != request.excluded.end();
    }

    /// Load per slot, with the penalties for distance and failures.
    double penalisedLoad(const Registry& registry, const Runner& runner, const PlacementRequest& request, TimePoint now)
    {
        const double penalty = runner.entry.dataCentre == request.dataCentre ? 0.0 : distancePenalty;
        return (registry.load(runner, now) + penalty + failurePenalty * runner.failureRate())
            / std::max<double>(1.0, runner.entry.slots);
    }

    /// The candidate with the lowest cost; among equals the one with the highest tie breaker.
    struct BestCandidate {
        Runner* runner = nullptr;
        double cost = 0.0;
        std::uint64_t tieBreaker = 0;

        void consider(Runner* candidate, double candidateCost, std::uint64_t candidateTieBreaker)
        {
            if (runner && (candidateCost > cost || (candidateCost == cost && candidateTieBreaker <= tieBreaker)))
                return;
            *this = { candidate, candidateCost, candidateTieBreaker };
        }
    };

    /// Score of a runner in the order of the shared prefix; the highest comes first.
    double rendezvousScore(const Runner& runner, const PlacementRequest& request)
    {
        return toUnitInterval(mix64(request.affinityKey, runner.identity));
    }

    void recordExclusion(Exclusion exclusion, std::optional<TimePoint> until, Placement& result)
    {
        if (!until || (result.availableAt && *result.availableAt <= *until))
            return;
        result.availableAt = until;
        result.awaited = exclusion;
    }

    /// Chooses a runner whose exclusion is not binding. It may be wrong or outdated, and an attempt serves the caller
    /// better than a refusal.
    void chooseLastResort(const Registry& registry, const PlacementRequest& request, TimePoint now, Placement& result)
    {
        BestCandidate best;
        for (auto* runner : registry.runnersOf(request.service)) {
            if (isExcluded(registry, *runner, request, now))
                continue;
            const auto availability = registry.availability(*runner, now);
            if (availability.isBinding()) {
                recordExclusion(*availability.exclusion, availability.until, result);
                continue;
            }
            best.consider(runner, toSeconds(runner->suspendedUntil.time_since_epoch()),
                mix64(request.tieBreaker, runner->identity));
        }
        result.runner = best.runner;
        result.reason = best.runner ? PlacementReason::LastResort : PlacementReason::None;
    }

}

bool canTake(const Registry& registry, const Runner& runner, const PlacementRequest& request, TimePoint now)
{
    return registry.isUsable(runner, now) && !isExcluded(registry, runner, request, now);
}

bool hasCandidate(const Registry& registry, const PlacementRequest& request, TimePoint now)
{
    return std::ranges::any_of(registry.runnersOf(request.service),
        [&](const auto* runner) { return canTake(registry, *runner, request, now); });
}

void findPrefixSource(const Registry& registry, const PlacementRequest& request, TimePoint now, Placement& result)
{
    BestCandidate first;
    BestCandidate source;
    for (auto* runner : registry.runnersOf(request.service)) {
        first.consider(runner, -rendezvousScore(*runner, request), 0);
        if (runner == result.runner || now < runner->suspendedUntil || runner->statedLeavingAt
            || now < runner->returnsAt || registry.isRecentlyAdded(*runner, now))
            continue;
        source.consider(runner, -rendezvousScore(*runner, request), 0);
    }
    if (first.runner != result.runner || registry.isRecentlyAdded(*result.runner, now))
        result.prefixSource = source.runner;
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
    case PlacementReason::OtherDataCentre:
        return "other-data-centre";
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
    BestCandidate leastLoaded;
    BestCandidate firstChoice;
    for (auto* runner : registry.runnersOf(request.service)) {
        if (!canTake(registry, *runner, request, now))
            continue;
        ++result.usableRunners;
        total += registry.load(*runner, now);
        leastLoaded.consider(
            runner, penalisedLoad(registry, *runner, request, now), mix64(request.tieBreaker, runner->identity));
        firstChoice.consider(runner, -rendezvousScore(*runner, request), 0);
    }
    if (result.usableRunners == 0) {
        chooseLastResort(registry, request, now, result);
        return result;
    }
    result.bound = options.loadBound * total / static_cast<double>(result.usableRunners) + options.loadMargin;
    result.runner = leastLoaded.runner;
    result.reason = PlacementReason::Balanced;
    if (request.affinityKey != 0) {
        result.firstChoice = firstChoice.runner;
        result.reason = PlacementReason::LeastLoaded;
        BestCandidate withinBound;
        for (auto* runner : registry.runnersOf(request.service)) {
            if (!canTake(registry, *runner, request, now))
                continue;
            const auto load = registry.load(*runner, now);
            if (load + 1.0 > result.bound || load >= runner->entry.slots)
                continue;
            if (runner->entry.id == request.previousRunner) {
                // A positive cost marks the session's runner; the negated scores below are never positive.
                withinBound = { runner, 1.0, 0 };
                break;
            }
            withinBound.consider(runner, -rendezvousScore(*runner, request), 0);
        }
        if (withinBound.runner) {
            result.runner = withinBound.runner;
            result.reason = withinBound.cost > 0.0         ? PlacementReason::Returning
                : withinBound.runner == firstChoice.runner ? PlacementReason::Warm
                                                           : PlacementReason::Spilled;
        }
    }
    if (request.affinityKey != 0)
        findPrefixSource(registry, request, now, result);
    result.load = registry.load(*result.runner, now);
    return result;
}

}
