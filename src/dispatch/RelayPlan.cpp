#include "dispatch/RelayPlan.h"

namespace eelgrassford::dispatch {

std::string_view nameOf(RelayStep step)
{
    switch (step) {
    case RelayStep::SendAgain:
        return "send-again";
    case RelayStep::SendRest:
        return "send-rest";
    case RelayStep::RefuseNotRun:
        return "refuse-not-run";
    case RelayStep::FailUnknown:
        return "fail-unknown";
    case RelayStep::Abort:
        return "abort";
    }
    return "abort";
}

RelayPlan::RelayPlan(const Options& options)
    : m_options(options)
{
}

void RelayPlan::beginAttempt() { ++m_attempts; }

RelayStep RelayPlan::fail(AttemptFailure failure, bool hasBegun, TimePoint now, const Budget& budget)
{
    const bool hasNotRun = failure == AttemptFailure::NeverConnected || failure == AttemptFailure::Declined;
    if (hasNotRun)
        ++m_unsent;
    else
        ++m_runs;
    const auto giveUp = [&] {
        if (hasBegun)
            return RelayStep::Abort;
        return mayHaveRun() ? RelayStep::FailUnknown : RelayStep::RefuseNotRun;
    };
    if (now >= m_options.deadline || m_unsent >= m_options.maxUnsentAttempts || m_runs >= m_options.maxAttempts)
        return giveUp();
    if (mayHaveRun() && !m_options.isRepeatable)
        return giveUp();
    if (hasBegun && !m_options.isResumable)
        return giveUp();
    // An upstream that was never reached has received nothing that would count as a repeat.
    if (failure != AttemptFailure::NeverConnected && !budget())
        return giveUp();
    return hasBegun ? RelayStep::SendRest : RelayStep::SendAgain;
}

bool RelayPlan::tryAbandonAttempt(bool hasBegun, TimePoint now, const Budget& budget)
{
    const bool isAllowed = m_options.isRepeatable && (!hasBegun || m_options.isResumable);
    if (!isAllowed || now >= m_options.deadline || m_runs + 1 >= m_options.maxAttempts || !budget())
        return false;
    ++m_runs;
    return true;
}

}
