#include "proxy/Session.h"

#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

using dispatch::AttemptFailure;
using dispatch::RelayStep;
using runners::Observation;

bool Session::hasAlternative(TimePoint now)
{
    auto excluded = m_excludedRunners;
    excluded.push_back(m_attempt->runner);
    if (m_router.isPathLost() && mayPassOn() && !m_router.chooseDaemon(excluded, now).empty())
        return true;
    runners::PlacementRequest request;
    request.service = m_admitted.service;
    request.excluded = excluded;
    request.software = m_software;
    return runners::hasCandidate(m_router.m_registry, request, now);
}

bool Session::tryAbandonAttempt(Observation observation, std::string_view detail, TimePoint now)
{
    const auto isPossible = [&] { return hasAlternative(now); };
    if (!m_plan.tryAbandonAttempt(m_hasResponseStarted, isPossible, now, retryBudget(now)))
        return false;
    telemetry::logInfo("attempt-left",
        { { "request", m_admitted.metadata.attemptId }, { "runner", m_attempt->runner }, { "last_event", m_lastEvent },
            { "detail", detail } });
    upstream::ConnectionPool::cancel(m_attempt->handle);
    endAttempt(observation, now);
    execute(m_hasResponseStarted ? RelayStep::SendRest : RelayStep::SendAgain, detail);
    return true;
}

void Session::onRunnerUnreachable(bool isRefused)
{
    constexpr std::string_view detail = "the runner cannot be reached";
    if (m_isFinished || !m_attempt)
        return;
    if (isRefused) {
        upstream::ConnectionPool::cancel(m_attempt->handle);
        fail(AttemptFailure::Broken, Observation::None, detail);
        return;
    }
    // A new connection without an answer says nothing of an established one: the queue of new connections may be full.
    // TCP tells if the established one is dead.
    if (upstream::ConnectionPool::tryRecall(m_attempt->handle))
        fail(AttemptFailure::NeverConnected, Observation::None, detail);
    else if (!(m_attempt->isPassedOn && m_hasResponseStarted))
        tryAbandonAttempt(Observation::None, detail, m_router.now());
}

}
