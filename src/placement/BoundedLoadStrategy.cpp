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

Decision BoundedLoadStrategy::choose(const Request& request, const PlacementContext& context, TimePoint)
{
    updateMeanPrefix(request);
    Decision decision;
    decision.bound = loadBoundFor(request, context);
    const auto home = firstChoice(request.chat, context);
    const auto* const exception = context.exceptions.find(request.chat);
    const bool hasException = exception && isEligible(exception->runner, context);
    const auto warm = hasException ? exception->runner : home;
    if (warm == noRunner)
        return decision;
    decision.considered = 1;
    decision.load = context.loads.load(warm);
    if (isWithinBound(request.work(), warm, decision.load, context, decision.bound)) {
        decision.runner = warm;
        decision.reason = hasException ? Reason::Remembered : Reason::Home;
    } else if (!hasException || !tryPrevious(request, exception->previous, context, decision)) {
        chooseLeastLoaded(request, context, decision);
    }
    if (m_options.isRecordingExceptions && decision.runner != noRunner)
        recordPlacement(request, context, home, warm, decision.runner);
    return decision;
}

bool BoundedLoadStrategy::tryPrevious(
    const Request& request, RunnerIndex previous, const PlacementContext& context, Decision& decision) const
{
    if (request.reusableTokens == 0 || !isEligible(previous, context))
        return false;
    ++decision.considered;
    const double load = context.loads.load(previous);
    if (!isWithinBound(request.work(), previous, load, context, decision.bound))
        return false;
    decision.runner = previous;
    decision.reason = Reason::Returned;
    decision.load = load;
    return true;
}

void BoundedLoadStrategy::chooseLeastLoaded(
    const Request& request, const PlacementContext& context, Decision& decision) const
{
    decision.load = std::numeric_limits<double>::infinity();
    for (std::uint32_t probe = 0; probe < m_options.probes; ++probe) {
        const auto runner = context.table.at(mix64(request.chat, probe));
        if (!isEligible(runner, context))
            continue;
        ++decision.considered;
        const double load = context.loads.load(runner);
        if (load >= decision.load)
            continue;
        decision.load = load;
        decision.runner = runner;
    }
    const double work = workOf(request.promptTokens, request.expectedOutputTokens);
    const bool isWithin
        = decision.runner != noRunner && isWithinBound(work, decision.runner, decision.load, context, decision.bound);
    const auto reason = request.reusableTokens > 0 ? Reason::Spilled : Reason::New;
    decision.reason = decision.runner == noRunner ? Reason::None : isWithin ? reason : Reason::LeastLoaded;
}

bool BoundedLoadStrategy::isWithinBound(
    double work, RunnerIndex runner, double load, const PlacementContext& context, double bound)
{
    // An idle runner accepts any request: while nearly all runners are idle, the mean is too low to serve as a bound.
    return load <= 0.0 || load + work / context.loads.weight(runner) <= bound;
}

bool BoundedLoadStrategy::isEligible(RunnerIndex runner, const PlacementContext& context)
{
    return runner < context.eligible.size() && context.eligible[runner] != 0;
}

RunnerIndex BoundedLoadStrategy::firstChoice(std::uint64_t chat, const PlacementContext& context) const
{
    for (std::uint32_t probe = 0; probe < m_options.probes; ++probe) {
        const auto runner = context.table.at(mix64(chat, probe));
        if (isEligible(runner, context))
            return runner;
    }
    return noRunner;
}

double BoundedLoadStrategy::loadBoundFor(const Request& request, const PlacementContext& context) const
{
    double slackShare = m_options.newChatSlackShare;
    if (request.reusableTokens > 0) {
        const double prefixShare
            = std::min(1.0, request.reusableTokens / (m_options.fullSlackPrefixRatio * m_meanReusableTokens));
        slackShare = m_options.smallPrefixSlackShare + (1.0 - m_options.smallPrefixSlackShare) * prefixShare;
    }
    return context.loads.mean() * (1.0 + (context.loadBound - 1.0) * slackShare);
}

void BoundedLoadStrategy::updateMeanPrefix(const Request& request)
{
    constexpr double smoothingFactor = 1.0 / 256.0;
    if (request.reusableTokens > 0)
        m_meanReusableTokens += smoothingFactor * (request.reusableTokens - m_meanReusableTokens);
}

void BoundedLoadStrategy::recordPlacement(const Request& request, const PlacementContext& context, RunnerIndex home,
    RunnerIndex warm, RunnerIndex chosen) const
{
    const auto* const exception = context.exceptions.find(request.chat);
    const auto current = exception ? exception->runner : home;
    if (chosen == current)
        return;
    const auto previous = request.reusableTokens > 0 ? warm : noRunner;
    if (chosen == home && previous == noRunner)
        context.exceptions.remove(request.chat);
    else
        context.exceptions.record({ request.chat, chosen, previous, request.promptTokens });
}

}
