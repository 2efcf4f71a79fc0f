#include "dispatch/RequestLifecycle.h"

#include <algorithm>
#include <cassert>

namespace eelgrassford::dispatch {

std::string_view nameOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NeverConnected:
        return "never-connected";
    case AttemptFailure::Declined:
        return "declined";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::MismatchedAnswer:
        return "crossed";
    case AttemptFailure::TimedOut:
        return "timed-out";
    }
    return "broken";
}

RequestLifecycle::RequestLifecycle(const Options& options)
    : m_options(options)
{
}

FinishNotRun RequestLifecycle::refuse(Refusal refusal)
{
    assert(m_unsent && !m_hasRun);
    auto unsent = std::move(*m_unsent);
    m_unsent.reset();
    return { std::move(unsent).refuse(refusal) };
}

bool RequestLifecycle::beginAttempt(TimePoint now)
{
    if (now >= m_options.deadline)
        return false;
    ++m_attempts;
    if (m_unsent) {
        m_sent.emplace(std::move(*m_unsent).send());
        m_unsent.reset();
    }
    return true;
}

FinishAnswered RequestLifecycle::succeed(RetryBudget& budget)
{
    budget.recordSuccess();
    return {};
}

Step RequestLifecycle::fail(AttemptFailure failure, TimePoint now, RetryBudget& budget, const RandomSource& random)
{
    const bool isUnsent = failure == AttemptFailure::NeverConnected || failure == AttemptFailure::Declined;
    if (isUnsent && m_sent && !m_hasRun) {
        m_unsent.emplace(std::move(*m_sent).revertToUnsent(ConnectionNeverOpened {}));
        m_sent.reset();
    }
    if (!isUnsent)
        m_hasRun = true;

    if (now >= m_options.deadline)
        return finish(Refusal::DeadlineUnreachable, "deadline passed");
    const bool isStreamBroken = failure == AttemptFailure::Broken && m_offset > 0;
    if (isStreamBroken && m_resumes < m_options.maxResumes) {
        ++m_resumes;
        return Resume { m_offset };
    }
    const bool isRepeatable = m_options.isIdempotent || !m_hasRun;
    if (!isRepeatable || m_attempts > m_options.maxRetries || !budget.tryTake())
        return finish(Refusal::CannotConnect, "attempt lost after it was sent");
    const auto at = now + backoff(random);
    if (at >= m_options.deadline)
        return finish(Refusal::DeadlineUnreachable, "no time left to retry");
    return SendAt { at, m_offset };
}

Step RequestLifecycle::finish(Refusal refusal, const char* detail)
{
    if (m_unsent && !m_hasRun)
        return refuse(refusal);
    assert(m_sent);
    auto sent = std::move(*m_sent);
    return FinishUnknown { std::move(sent).makeUnknown(detail) };
}

Duration RequestLifecycle::backoff(const RandomSource& random) const
{
    const auto doublings = std::min<std::uint32_t>(m_attempts > 0 ? m_attempts - 1 : 0, 16);
    const auto ceiling = std::min(m_options.initialBackoff * (std::int64_t { 1 } << doublings), m_options.maxBackoff);
    return fromSeconds(toSeconds(ceiling) * random());
}

}
