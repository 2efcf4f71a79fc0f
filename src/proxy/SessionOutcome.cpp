#include "proxy/Session.h"

#include "common/Hash.h"
#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Mean Retry-After of a request for which no runner was usable.
    constexpr Duration retryAfterNoRunner = std::chrono::milliseconds(300);
    /// The same for a stream that no runner can continue now. Little changes until a runner is listed anew.
    constexpr Duration retryAfterNoVersion = std::chrono::seconds(1);
    /// Part of the time left within which a caller is asked to come back; callers wait no longer than a third.
    constexpr double retryShareOfTimeLeft = 0.33;

    const char* reasonOfWait(std::optional<runners::Exclusion> awaited)
    {
        if (awaited == runners::Exclusion::Paused)
            return "runners-paused";
        return awaited == runners::Exclusion::Cold ? "runners-cold" : "rate-limited";
    }

}

void Session::answerNotRun(std::string_view detail)
{
    Router::Refusal refusal { status::unavailable, "no-runner", m_router.withJitter(retryAfterNoRunner) };
    if (m_placement.availableAt) {
        refusal = { status::unavailable, reasonOfWait(m_placement.awaited), retryAfterAvailable(m_router.now()) };
    } else if (m_admitted.metadata.isContinuation && !m_originEvidence.empty())
        refusal = { status::unavailable, m_software ? "no-runner-of-version" : "unknown-stream",
            m_router.withJitter(retryAfterNoVersion) };
    m_router.refuse(*m_responder, m_admitted.metadata, refusal);
    finish("not-run", status::unavailable, detail);
}

Duration Session::retryAfterAvailable(TimePoint now) const
{
    // Callers that no runner can take now come back at different times, as long as an answer can still be in time.
    const auto earliest = std::max<Duration>(*m_placement.availableAt - now, Duration::zero());
    const auto latest = fromSeconds(toSeconds(m_admitted.deadline - now) * retryShareOfTimeLeft);
    return earliest + fromSeconds(toSeconds(std::max(latest - earliest, Duration::zero())) * m_router.unitDraw());
}

void Session::answerOutcomeUnknown(std::uint16_t status, std::string_view detail)
{
    m_router.refuse(*m_responder, m_admitted.metadata, { status, "outcome-unknown", {} });
    finish("unknown", status, detail);
}

void Session::finish(std::string_view outcome, std::uint16_t status, std::string_view detail)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_timer.cancel();
    const auto now = m_router.now();
    const auto elapsed = now - m_admitted.arrivedAt;
    m_router.m_metrics.countOutcome(std::string(outcome));
    m_router.m_metrics.observeRequest(std::string(outcome), toSeconds(elapsed));
    if (m_firstByteAt)
        m_router.m_metrics.observeFirstByte(toSeconds(*m_firstByteAt - m_admitted.arrivedAt));
    if (!m_firstByteAt && elapsed > m_admitted.route->latencyObjective)
        m_router.m_overload.recordFirstByte(m_admitted.service, true, now);
    if (outcome == "answered")
        m_router.m_crashes.recordServed(m_admitted.suspects, now);
    log(outcome, status, detail, now);
    m_responder.reset();
}

void Session::log(std::string_view outcome, std::uint16_t status, std::string_view detail, TimePoint now) const
{
    // Only lines of new requests that succeeded at the first attempt may be skipped under load.
    const bool isRoutine = outcome == "answered" && m_plan.attempts() == 1 && !m_admitted.metadata.isContinuation;
    if (isRoutine && !m_router.m_routineLines.tryTake(now))
        return;
    const auto work = m_placement.work.value_or(runners::PlacementWork {});
    const double firstByte = m_firstByteAt ? toMilliseconds(*m_firstByteAt - m_admitted.arrivedAt) : -1.0;
    telemetry::logInfo("request",
        { { "request", m_admitted.metadata.attemptId }, { "route", m_admitted.route->name },
            { "revision", m_admitted.routes->revision() }, { "organisation", m_admitted.organisation },
            { "service", m_admitted.service }, { "prompt_tokens", m_admitted.metadata.promptTokens },
            { "runner", m_lastRunner }, { "version", m_lastVersion }, { "daemons_tried", m_daemonsTried },
            { "continues", m_admitted.metadata.continuedAttempt },
            { "after_event", m_admitted.metadata.lastEvent.value_or(0) }, { "origin", m_originEvidence },
            { "software", m_software ? toHex(*m_software) : "" }, { "attempts", m_plan.attempts() },
            { "prefix", m_affinity.prefixHash == 0 ? "" : toHex(m_affinity.prefixHash) },
            { "placement", runners::nameOf(m_placement.reason) }, { "load", m_placement.load },
            { "bound", m_placement.bound }, { "usable", static_cast<std::uint64_t>(m_placement.usableRunners) },
            { "cost_ms", work.costMs }, { "remaining_ms", work.remainingMs }, { "slowdown", work.slowdown },
            { "fetched", m_placement.prefixSource != nullptr }, { "status", static_cast<int>(status) },
            { "outcome", outcome }, { "first_byte_ms", firstByte },
            { "ms", toMilliseconds(now - m_admitted.arrivedAt) }, { "detail", detail } });
}

}
