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
    learnSize(request);
    Decision decision;
    decision.bound = boundOf(request, fleet);
    const auto home = firstChoice(request.chat, fleet);
    const auto* const exception = fleet.memory.find(request.chat);
    const bool isRemembered = exception && isEligible(exception->runner, fleet);
    const auto warm = isRemembered ? exception->runner : home;
    if (warm == noRunner)
        return decision;
    decision.considered = 1;
    decision.load = fleet.loads.load(warm);
    if (fits(request.work(), warm, decision.load, fleet, decision.bound)) {
        decision.runner = warm;
        decision.reason = isRemembered ? Reason::Remembered : Reason::Home;
    } else if (!isRemembered || !takePrevious(request, exception->previous, fleet, decision)) {
        takeLeastLoaded(request, fleet, decision);
    }
    if (m_options.isRemembering && decision.runner != noRunner)
        remember(request, fleet, home, warm, decision.runner);
    return decision;
}

bool BoundedLoadStrategy::takePrevious(
    const Request& request, RunnerIndex previous, const Fleet& fleet, Decision& decision) const
{
    if (request.reusableTokens == 0 || !isEligible(previous, fleet))
        return false;
    ++decision.considered;
    const double load = fleet.loads.load(previous);
    if (!fits(request.work(), previous, load, fleet, decision.bound))
        return false;
    decision.runner = previous;
    decision.reason = Reason::Returned;
    decision.load = load;
    return true;
}

void BoundedLoadStrategy::takeLeastLoaded(const Request& request, const Fleet& fleet, Decision& decision) const
{
    decision.load = std::numeric_limits<double>::infinity();
    for (std::uint32_t probe = 0; probe < m_options.probes; ++probe) {
        const auto runner = fleet.table.at(mix64(request.chat, probe));
        if (!isEligible(runner, fleet))
            continue;
        ++decision.considered;
        const double load = fleet.loads.load(runner);
        if (load >= decision.load)
            continue;
        decision.load = load;
        decision.runner = runner;
    }
    const double work = workOf(request.promptTokens, request.expectedOutputTokens);
    const bool isBounded
        = decision.runner != noRunner && fits(work, decision.runner, decision.load, fleet, decision.bound);
    const auto reason = request.reusableTokens > 0 ? Reason::Spilled : Reason::New;
    decision.reason = decision.runner == noRunner ? Reason::None : isBounded ? reason : Reason::LeastLoaded;
}

bool BoundedLoadStrategy::fits(double work, RunnerIndex runner, double load, const Fleet& fleet, double bound)
{
    // An idle runner takes any request: the mean of a nearly idle fleet bounds nothing.
    return load <= 0.0 || load + work / fleet.loads.weight(runner) <= bound;
}

bool BoundedLoadStrategy::isEligible(RunnerIndex runner, const Fleet& fleet)
{
    return runner < fleet.eligible.size() && fleet.eligible[runner] != 0;
}

RunnerIndex BoundedLoadStrategy::firstChoice(std::uint64_t chat, const Fleet& fleet) const
{
    for (std::uint32_t probe = 0; probe < m_options.probes; ++probe) {
        const auto runner = fleet.table.at(mix64(chat, probe));
        if (isEligible(runner, fleet))
            return runner;
    }
    return noRunner;
}

double BoundedLoadStrategy::boundOf(const Request& request, const Fleet& fleet) const
{
    double share = m_options.newChatSlack;
    if (request.reusableTokens > 0) {
        const double size = std::min(1.0, request.reusableTokens / (m_options.fullSlackSize * m_meanReusable));
        share = m_options.smallChatSlack + (1.0 - m_options.smallChatSlack) * size;
    }
    return fleet.loads.mean() * (1.0 + (fleet.loadBound - 1.0) * share);
}

void BoundedLoadStrategy::learnSize(const Request& request)
{
    constexpr double smoothing = 1.0 / 256.0;
    if (request.reusableTokens > 0)
        m_meanReusable += smoothing * (request.reusableTokens - m_meanReusable);
}

void BoundedLoadStrategy::remember(
    const Request& request, const Fleet& fleet, RunnerIndex home, RunnerIndex warm, RunnerIndex chosen) const
{
    const auto* const exception = fleet.memory.find(request.chat);
    const auto current = exception ? exception->runner : home;
    if (chosen == current)
        return;
    const auto previous = request.reusableTokens > 0 ? warm : noRunner;
    if (chosen == home && previous == noRunner)
        fleet.memory.forget(request.chat);
    else
        fleet.memory.record({ request.chat, chosen, previous, request.promptTokens });
}

}
