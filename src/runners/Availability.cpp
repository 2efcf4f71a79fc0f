#include "runners/Availability.h"

#include <algorithm>
#include <array>

namespace eelgrassford::runners {

namespace {

    using Finder = std::optional<Availability> (*)(const Runner&, const AvailabilityOptions&, TimePoint now);

    std::optional<Availability> findStatedLeaving(const Runner& runner, const AvailabilityOptions&, TimePoint)
    {
        if (!runner.statedLeavingAt)
            return std::nullopt;
        return Availability { {}, {}, runner.statedLeavingAt };
    }

    std::optional<Availability> findListedLeaving(const Runner& runner, const AvailabilityOptions&, TimePoint)
    {
        if (!runner.entry.isLeaving)
            return std::nullopt;
        return Availability { {}, {}, runner.listedLeavingSince };
    }

    std::optional<Availability> findEvacuated(const Runner& runner, const AvailabilityOptions&, TimePoint)
    {
        if (!runner.evacuatedSince)
            return std::nullopt;
        return Availability { {}, {}, runner.evacuatedSince };
    }

    std::optional<Availability> findPaused(const Runner& runner, const AvailabilityOptions&, TimePoint now)
    {
        if (now >= runner.returnsAt)
            return std::nullopt;
        return Availability { {}, runner.returnsAt, runner.pausedAt };
    }

    std::optional<Availability> findRateLimited(const Runner& runner, const AvailabilityOptions&, TimePoint now)
    {
        if (!runner.rateShare || runner.rateShare->isAvailable(now))
            return std::nullopt;
        return Availability { {}, runner.rateShare->availableAt(), runner.limit.statedAt };
    }

    std::optional<Availability> findCold(const Runner& runner, const AvailabilityOptions&, TimePoint now)
    {
        if (!runner.isCold(now))
            return std::nullopt;
        if (!runner.coldInterval)
            return Availability { {}, runner.coldUntil, {} };
        const auto next = std::max(runner.lastDispatchAt + *runner.coldInterval, runner.coldRequestsFrom);
        if (now >= next)
            return std::nullopt;
        return Availability { {}, std::min(next, runner.coldUntil), {} };
    }

    std::optional<Availability> findSuspended(const Runner& runner, const AvailabilityOptions&, TimePoint now)
    {
        if (now >= runner.suspendedUntil)
            return std::nullopt;
        return Availability { {}, runner.suspendedUntil, runner.suspendedAt };
    }

    std::optional<Availability> findOnProbation(const Runner& runner, const AvailabilityOptions&, TimePoint)
    {
        if (!runner.isOnProbation || runner.ownLoad == 0)
            return std::nullopt;
        return Availability { {}, {}, runner.suspendedAt };
    }

    std::optional<Availability> findSuspendedByPeers(
        const Runner& runner, const AvailabilityOptions& options, TimePoint now)
    {
        // A single daemon may have lost its own link to the runner, so a suspension by a peer needs confirmation: by a
        // second peer, or by a connection failure of this daemon. One request at a time of a runner on probation tells
        // more than either.
        const auto confirmations = runner.suspendedByPeers + (runner.consecutiveConnectionFailures > 0 ? 1 : 0);
        if (runner.isOnProbation || runner.suspendedByPeers == 0 || confirmations < 2
            || now - runner.lastServedAt < options.ownSuccessLifetime)
            return std::nullopt;
        return Availability {};
    }

    struct Rule {
        Exclusion exclusion;
        std::string_view name;
        bool isBinding;
        Finder find;
    };

    /// In the order of Exclusion, the binding ones first.
    constexpr std::array rules = {
        Rule { Exclusion::StatedLeaving, "stated-leaving", true, findStatedLeaving },
        Rule { Exclusion::ListedLeaving, "leaving", true, findListedLeaving },
        Rule { Exclusion::Evacuated, "evacuated", true, findEvacuated },
        Rule { Exclusion::Paused, "paused", true, findPaused },
        Rule { Exclusion::RateLimited, "rate-limited", true, findRateLimited },
        Rule { Exclusion::Cold, "cold", true, findCold },
        Rule { Exclusion::Suspended, "suspended", false, findSuspended },
        Rule { Exclusion::OnProbation, "probation", false, findOnProbation },
        Rule { Exclusion::SuspendedByPeers, "suspended-by-peers", false, findSuspendedByPeers },
    };

    static_assert(rules.size() == exclusionCount);

    const Rule& ruleOf(Exclusion exclusion) { return rules[static_cast<std::size_t>(exclusion)]; }

}

std::string_view nameOf(Exclusion exclusion) { return ruleOf(exclusion).name; }

bool Availability::isBinding() const { return exclusion && ruleOf(*exclusion).isBinding; }

Availability availabilityOf(const Runner& runner, const AvailabilityOptions& options, TimePoint now)
{
    for (const auto& rule : rules) {
        if (auto found = rule.find(runner, options, now)) {
            found->exclusion = rule.exclusion;
            return *found;
        }
    }
    return {};
}

}
