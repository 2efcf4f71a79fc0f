#include "proxy/Session.h"

#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Mean time after which a request that found no runner is asked to come back.
    constexpr Duration retryAfterNoRunner = std::chrono::milliseconds(300);

}

void Session::answerNotRun(std::string_view detail)
{
    m_router.refuse(
        *m_responder, m_start.facts, { status::unavailable, "no-runner", m_router.jitter(retryAfterNoRunner) });
    finish("not-run", status::unavailable, detail);
}

void Session::answerUnknown(std::uint16_t status, std::string_view detail)
{
    m_router.refuse(*m_responder, m_start.facts, { status, "outcome-unknown", {} });
    finish("unknown", status, detail);
}

void Session::finish(std::string_view outcome, std::uint16_t status, std::string_view detail)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_timer.cancel();
    const auto now = m_router.now();
    const auto elapsed = now - m_start.arrivedAt;
    m_router.m_metrics.countOutcome(std::string(outcome));
    m_router.m_metrics.observeRequest(std::string(outcome), toSeconds(elapsed));
    if (m_firstByteAt)
        m_router.m_metrics.observeFirstByte(toSeconds(*m_firstByteAt - m_start.arrivedAt));
    if (!m_firstByteAt && elapsed > m_start.route->latencyObjective)
        m_router.m_overload.recordFirstByte(m_start.service, true, now);
    if (outcome == "answered")
        m_router.m_crashes.recordServed(m_start.digest);
    log(outcome, status, detail, now);
    m_responder.reset();
}

void Session::log(std::string_view outcome, std::uint16_t status, std::string_view detail, TimePoint now) const
{
    // Only requests that went well at once may be skipped under load.
    const bool isPlain = outcome == "answered" && m_plan.attempts() == 1;
    if (isPlain && !m_router.m_plainLines.tryTake(now))
        return;
    const double firstByte = m_firstByteAt ? toMilliseconds(*m_firstByteAt - m_start.arrivedAt) : -1.0;
    telemetry::logInfo("request",
        { { "request", m_start.facts.attemptId }, { "route", m_start.route->name },
            { "revision", m_start.routes->revision() }, { "organisation", m_start.organisation },
            { "service", m_start.service }, { "prompt_tokens", m_start.facts.promptTokens }, { "runner", m_lastRunner },
            { "attempts", m_plan.attempts() }, { "placement", runners::nameOf(m_placement.reason) },
            { "load", m_placement.load }, { "bound", m_placement.bound },
            { "usable", static_cast<std::uint64_t>(m_placement.usableRunners) },
            { "fetched", m_placement.prefixSource != nullptr }, { "status", static_cast<int>(status) },
            { "outcome", outcome }, { "first_byte_ms", firstByte }, { "ms", toMilliseconds(now - m_start.arrivedAt) },
            { "detail", detail } });
}

}
