#include "placement/BoundedLoadStrategy.h"

#include "common/Hash.h"
#include <limits>

namespace eelgrassford::placement {

BoundedLoadStrategy::BoundedLoadStrategy(const Options& options)
    : m_options(options)
{
}

BoundedLoadStrategy::BoundedLoadStrategy()
    : BoundedLoadStrategy(Options {})
{
}

Decision BoundedLoadStrategy::choose(const Request& request, const Fleet& fleet, TimePoint)
{
    const double bound = boundOf(request, fleet);
    Decision decision;
    decision.bound = bound;
    RunnerIndex home = noRunner;
    RunnerIndex least = noRunner;
    double leastLoad = std::numeric_limits<double>::infinity();

    auto consider = [&](RunnerIndex runner, double work, Reason reason) {
        const double load = fleet.loads.load(runner);
        ++decision.considered;
        if (load < leastLoad) {
            leastLoad = load;
            least = runner;
        }
        if (load + work / fleet.loads.weight(runner) > bound && load > 0.0)
            return false;
        decision.runner = runner;
        decision.reason = reason;
        decision.load = load;
        return true;
    };

    const auto remembered = fleet.memory.find(request.chat);
    if (remembered && *remembered < fleet.eligible.size() && fleet.eligible[*remembered])
        consider(*remembered, request.work(), Reason::Remembered);
    const double coldWork = workOf(request.promptTokens, request.expectedOutputTokens);
    for (std::uint32_t probe = 0; probe < m_options.probes; ++probe) {
        const auto runner = fleet.table.at(mix64(request.chat, probe));
        if (runner == noRunner)
            break;
        if (!fleet.eligible[runner])
            continue;
        const bool isHome = home == noRunner;
        if (isHome)
            home = runner;
        if (decision.runner != noRunner)
            break;
        const bool isWarm = isHome && !remembered;
        if (consider(runner, isWarm ? request.work() : coldWork, isHome ? Reason::Home : Reason::Spilled))
            break;
    }
    if (decision.runner == noRunner && least != noRunner) {
        decision.runner = least;
        decision.reason = Reason::LeastLoaded;
        decision.load = leastLoad;
    }
    if (m_options.isRemembering && decision.runner != noRunner)
        remember(request, fleet, home, decision.runner);
    return decision;
}

double BoundedLoadStrategy::boundOf(const Request& request, const Fleet& fleet) const
{
    const double reuse = request.promptTokens > 0
        ? std::min(1.0, static_cast<double>(request.reusableTokens) / static_cast<double>(request.promptTokens))
        : 0.0;
    const double slack = (fleet.loadBound - 1.0) * (1.0 - m_options.margin);
    const double share = m_options.coldSlack + (1.0 - m_options.coldSlack) * reuse;
    return fleet.loads.mean() * (1.0 + slack * share);
}

void BoundedLoadStrategy::remember(
    const Request& request, const Fleet& fleet, RunnerIndex home, RunnerIndex chosen) const
{
    if (chosen == home)
        fleet.memory.forget(request.chat);
    else if (fleet.memory.find(request.chat) != chosen)
        fleet.memory.record({ request.chat, chosen, request.promptTokens });
}

}
