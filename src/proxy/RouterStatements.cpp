#include "proxy/Router.h"

#include "proxy/Session.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Time for which other daemons are told of what a runner stated.
    constexpr Duration statementReportTime = std::chrono::seconds(10);
    /// Logged in place of a rate that is not limited.
    constexpr double noLimit = -1.0;

}

std::vector<fleet::RunnerStatement> Router::recentStatements(TimePoint now) const
{
    std::vector<fleet::RunnerStatement> result;
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto key = static_cast<fleet::RunnerKey>(runner->identity);
        const auto& limit = runner->limit;
        if (limit.statedAt != TimePoint {} && now - limit.statedAt < statementReportTime)
            result.push_back({ key, limit.perSecond, now - limit.statedAt, runner->isLimitOwn });
        if (runner->statedLeavingAt && now - *runner->statedLeavingAt < statementReportTime)
            result.push_back({ key, {}, now - *runner->statedLeavingAt, runner->isLeavingOwn, true });
    }
    return result;
}

void Router::mergeStatements(std::span<const fleet::RunnerStatement> statements)
{
    const auto now = m_clock();
    std::unordered_map<fleet::RunnerKey, runners::Runner*> runners;
    for (const auto& [id, runner] : m_registry.runners())
        runners[static_cast<fleet::RunnerKey>(runner->identity)] = runner.get();
    for (const auto& statement : statements) {
        const auto found = runners.find(statement.runner);
        if (found == runners.end())
            continue;
        auto& runner = *found->second;
        const auto statedAt = now - statement.age;
        const auto before = runner.limit.perSecond;
        if (statement.isLeaving) {
            if (m_registry.mergeLeaving(runner, statedAt))
                onRunnerLeaving(runner, {}, now);
        } else if (m_registry.mergeLimit(runner, { statement.perSecond, statedAt }, now)) {
            logLimit(runner, before, {});
        }
    }
}

void Router::onRunnerLeaving(const runners::Runner& runner, std::string_view request, TimePoint now)
{
    telemetry::logInfo("runner-leaving",
        { { "runner", runner.entry.id }, { "request", request },
            { "age_ms", toMilliseconds(now - runner.statedLeavingAt.value_or(now)) },
            { "listed", runner.entry.isLeaving }, { "requests", runner.ownLoad } });
    recallRequests(runner.entry.id, "the runner leaves");
}

void Router::onRunnerPaused(const runners::Runner& runner, std::string_view request, TimePoint now)
{
    telemetry::logInfo("runner-paused",
        { { "runner", runner.entry.id }, { "request", request }, { "for_ms", toMilliseconds(runner.pausedUntil - now) },
            { "returns_after_ms", toMilliseconds(runner.returnsAt - now) }, { "requests", runner.ownLoad } });
    recallRequests(runner.entry.id, "the runner asks for a pause");
}

void Router::recallRequests(std::string_view runner, std::string_view reason)
{
    for (const auto& session : requestsAt(runner))
        session->recall(reason);
}

void Router::logLimit(const runners::Runner& runner, std::optional<double> before, std::string_view request) const
{
    telemetry::logInfo("runner-limit",
        { { "runner", runner.entry.id }, { "request", request },
            { "per_second", runner.limit.perSecond.value_or(noLimit) }, { "before", before.value_or(noLimit) },
            { "share", runner.rateShare ? runner.rateShare->perSecond() : noLimit },
            { "daemons", static_cast<std::uint64_t>(m_registry.fleet().others.size() + 1) } });
}

void Router::logLimitUse()
{
    for (const auto& [id, runner] : m_registry.runners()) {
        const auto sent = std::exchange(runner->sentWhileLimited, 0);
        if (sent > 0 && runner->limit.perSecond)
            telemetry::logInfo(
                "runner-limit-use", { { "runner", id }, { "per_second", *runner->limit.perSecond }, { "sent", sent } });
    }
}

void Session::recordStatements(runners::Runner& runner) const
{
    const auto before = runner.limit.perSecond;
    const auto now = m_router.now();
    if (m_router.m_registry.recordLimit(runner, m_attempt->metadata.rateLimit, m_attempt->sentAt, now))
        m_router.logLimit(runner, before, m_admitted.metadata.attemptId);
    const auto& metadata = m_attempt->metadata;
    if (metadata.hasUnusablePause && !std::exchange(runner.isUnusablePauseLogged, true))
        telemetry::logWarning("runner-pause-unusable",
            { { "runner", runner.entry.id }, { "request", m_admitted.metadata.attemptId },
                { "used_ms", metadata.pause ? toMilliseconds(*metadata.pause) : 0.0 } });
    if (metadata.pause && m_router.m_registry.recordPause(runner, *metadata.pause, now))
        m_router.onRunnerPaused(runner, m_admitted.metadata.attemptId, now);
    m_router.recordColdStatement(runner, metadata, m_admitted.metadata.attemptId);
    if (metadata.isLeaving && m_router.m_registry.recordLeaving(runner, now))
        m_router.onRunnerLeaving(runner, m_admitted.metadata.attemptId, now);
}

}
