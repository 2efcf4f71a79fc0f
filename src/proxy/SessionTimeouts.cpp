#include "proxy/Session.h"

#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

using dispatch::RelayStep;
using runners::Observation;

namespace {

    /// Time that must remain before the deadline for the current attempt to be given up in favour of another one.
    constexpr Duration minTimeForAttempt = std::chrono::milliseconds(100);
    /// Time between two looks for another runner while the current one is silent.
    constexpr Duration alternativeInterval = std::chrono::milliseconds(250);

}

std::optional<TimePoint> Session::attemptTimeoutAt() const
{
    if (!m_attempt)
        return std::nullopt;
    const auto& options = m_router.m_options;
    if (m_hasResponseStarted)
        return std::max(
            m_attempt->lastProgressAt + streamIdleTimeout(*m_admitted.route, options), m_attempt->nextAlternativeAt);
    const auto timeout = toSeconds(m_admitted.route->latencyObjective) * options.attemptTimeoutFactor;
    const auto total = toSeconds(m_admitted.deadline - m_admitted.arrivedAt);
    const auto timeoutAt = m_attempt->sentAt + fromSeconds(std::min(timeout, total * options.attemptTimeoutShare));
    return std::max(timeoutAt, m_attempt->nextAlternativeAt);
}

void Session::armTimer()
{
    const auto now = m_router.now();
    auto at = m_admitted.deadline;
    const auto timeoutAt = attemptTimeoutAt();
    if (timeoutAt && *timeoutAt > now)
        at = std::min(at, *timeoutAt);
    if (m_nextTryAt)
        at = std::min(at, *m_nextTryAt);
    m_timer.expires_after(std::max<Duration>(at - now, Duration::zero()));
    // Without an attempt nothing else keeps the session alive.
    const auto waiting = m_nextTryAt ? shared_from_this() : nullptr;
    m_timer.async_wait([weak = weak_from_this(), waiting](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isFinished)
            self->onTimer();
    });
}

bool Session::shouldTryElsewhere(TimePoint now) const
{
    // Only the other daemon can continue a stream that it relays.
    if (m_attempt && m_attempt->isPassedOn && m_hasResponseStarted)
        return false;
    const auto timeoutAt = attemptTimeoutAt();
    return timeoutAt && now >= *timeoutAt && m_admitted.deadline - now >= minTimeForAttempt;
}

void Session::onTimer()
{
    const auto now = m_router.now();
    if (now >= m_admitted.deadline) {
        const bool wasSent = m_attempt != nullptr || m_plan.mayHaveRun();
        if (m_attempt) {
            upstream::ConnectionPool::cancel(m_attempt->handle);
            endAttempt(m_hasResponseStarted ? Observation::None : Observation::Silent, now);
        }
        if (m_hasResponseStarted)
            execute(RelayStep::Abort, "the time is over");
        else if (wasSent)
            answerOutcomeUnknown(status::gatewayTimeout, "the time is over");
        else
            answerNotRun("the time is over");
        return;
    }
    if (std::exchange(m_nextTryAt, std::nullopt)) {
        send();
        if (!m_isFinished)
            armTimer();
        return;
    }
    if (shouldTryElsewhere(now)) {
        if (tryAbandonAttempt(Observation::Silent, "the runner is silent", now))
            return;
        m_attempt->nextAlternativeAt = now + alternativeInterval;
        reportSilence(now);
    }
    armTimer();
}

void Session::reportSilence(TimePoint now)
{
    // This request keeps waiting because it cannot run elsewhere, but new requests should avoid the silent runner.
    if (std::exchange(m_attempt->isSilenceReported, true))
        return;
    auto* runner = m_router.m_registry.find(m_attempt->runner);
    if (!runner)
        return;
    const bool isSuspended = m_router.m_registry.recordObservation(*runner, Observation::Silent, now);
    telemetry::logInfo("runner-silent",
        { { "request", m_admitted.metadata.attemptId }, { "runner", m_attempt->runner },
            { "silence_ms", toMilliseconds(now - m_attempt->lastProgressAt) },
            { "failure_rate", runner->failureRate() }, { "suspended", isSuspended } });
}

}
