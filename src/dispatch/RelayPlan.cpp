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

RelayStep RelayPlan::fail(AttemptFailure failure, bool hasAnswerBegun, TimePoint now, const Budget& budget)
{
    const bool hasNotRun = failure == AttemptFailure::NeverConnected || failure == AttemptFailure::Declined;
    if (hasNotRun)
        ++m_unsentAttempts;
    else
        ++m_possibleRuns;
    const auto giveUp = [&] {
        if (hasAnswerBegun)
            return RelayStep::Abort;
        return mayHaveRun() ? RelayStep::FailUnknown : RelayStep::RefuseNotRun;
    };
    if (now >= m_options.deadline || m_unsentAttempts >= m_options.maxUnsentAttempts
        || m_possibleRuns >= m_options.maxAttempts)
        return giveUp();
    if (mayHaveRun() && !m_options.isRepeatable)
        return giveUp();
    if (hasAnswerBegun && !m_options.isResumable)
        return giveUp();
    // The retry budget limits the load on upstreams. An upstream that was never reached has received nothing, so the
    // next attempt is not charged.
    if (failure != AttemptFailure::NeverConnected && !budget())
        return giveUp();
    return hasAnswerBegun ? RelayStep::SendRest : RelayStep::SendAgain;
}

bool RelayPlan::tryAbandonAttempt(
    bool hasAnswerBegun, const std::function<bool()>& hasAlternative, TimePoint now, const Budget& budget)
{
    const bool isAllowed = m_options.isRepeatable && (!hasAnswerBegun || m_options.isResumable);
    if (!isAllowed || now >= m_options.deadline || m_possibleRuns + 1 >= m_options.maxAttempts || !hasAlternative()
        || !budget())
        return false;
    ++m_possibleRuns;
    return true;
}

}
