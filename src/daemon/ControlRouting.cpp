#include "common/Hash.h"
#include "daemon/ControlThread.h"
#include "daemon/SystemClock.h"
#include "telemetry/DecisionLog.h"
#include <nlohmann/json.hpp>

namespace eelgrassford::daemon {

using gateway::Problem;
using gateway::ProblemCode;
using gateway::ProblemOutcome;
using telemetry::logInfo;
using telemetry::logWarning;

namespace {

    constexpr auto defaultRetryAfter = std::chrono::seconds(1);
    constexpr Duration loadReportTimeout = std::chrono::milliseconds(1000);

    Problem quarantineProblem(Duration remaining)
    {
        return { 422, ProblemCode::Quarantined, "this request crashed the upstreams that ran it",
            ProblemOutcome::NotRun, std::chrono::ceil<std::chrono::milliseconds>(remaining) };
    }

    Problem toProblem(const admission::Decision& decision)
    {
        const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
        switch (decision.verdict) {
        case admission::Verdict::RateLimited:
            return { 429, ProblemCode::RateLimited, "the organisation's rate is used up", ProblemOutcome::NotRun,
                retryAfter };
        case admission::Verdict::DeadlineUnreachable:
            return { 503, ProblemCode::DeadlineUnreachable, "the request could not start in time",
                ProblemOutcome::NotRun, retryAfter };
        default:
            return { 503, ProblemCode::Overloaded, "too many requests are waiting", ProblemOutcome::NotRun,
                retryAfter };
        }
    }

}

void ControlThread::route(RouteRequest request, RouteCallback callback)
{
    asio::post(m_context, [this, request = std::move(request), callback = std::move(callback)]() mutable {
        const auto now = currentTime();
        const auto ticket = request.ticket;
        auto& active = m_active[ticket];
        active.request = std::move(request);
        active.callback = std::move(callback);
        active.sendBefore = active.request.deadline;
        if (!m_isReady) {
            refuse(ticket,
                { 503, ProblemCode::NotReady, "the daemon is starting", ProblemOutcome::NotRun, defaultRetryAfter });
            return;
        }
        if (const auto remaining = m_quarantine.remaining(active.request.fingerprint, now);
            remaining > Duration::zero()) {
            refuse(ticket, quarantineProblem(remaining));
            return;
        }
        if (active.request.key)
            performActions(m_claims->begin(*active.request.key, active.request.fingerprint, ticket, now));
        else
            submitForAdmission(active);
    });
}

void ControlThread::reroute(Ticket ticket, std::vector<std::string> excluded, RouteCallback callback)
{
    asio::post(m_context, [this, ticket, excluded = std::move(excluded), callback = std::move(callback)]() mutable {
        const auto found = m_active.find(ticket);
        if (found == m_active.end())
            return;
        releaseWork(found->second);
        found->second.callback = std::move(callback);
        // A request that may have crashed its upstream waits for the result of the crash check, so that it cannot crash
        // one upstream after another.
        const auto check = excluded.empty() ? m_crashChecks.end() : m_crashChecks.find(excluded.back());
        if (check != m_crashChecks.end())
            check->second.waiting.emplace_back(ticket, std::move(excluded));
        else
            retryPlacement(ticket, excluded);
    });
}

void ControlThread::retryPlacement(Ticket ticket, std::span<const std::string> excluded)
{
    const auto found = m_active.find(ticket);
    if (found == m_active.end())
        return;
    const auto remaining = m_quarantine.remaining(found->second.request.fingerprint, currentTime());
    if (remaining > Duration::zero())
        refuse(ticket, quarantineProblem(remaining));
    else
        place(found->second, excluded);
}

void ControlThread::recordAttemptEnd(Ticket ticket, std::string upstream, AttemptEnd end)
{
    asio::post(m_context, [this, ticket, upstream = std::move(upstream), end] {
        const auto now = currentTime();
        if (end == AttemptEnd::Answered)
            m_view.reportSuccess(upstream, now);
        else if (end != AttemptEnd::Cancelled && end != AttemptEnd::Declined)
            m_view.reportFailure(upstream, now);
        if (end == AttemptEnd::Broken && !m_crashChecks.contains(upstream)) {
            CrashCheck check;
            check.startedAt = now;
            for (const auto& [id, active] : m_active) {
                if (active.upstream == upstream)
                    check.running.push_back(active.request.fingerprint);
            }
            m_crashChecks.emplace(upstream, std::move(check));
            pollLoadReport(upstream);
        }
        if (const auto found = m_active.find(ticket); found != m_active.end())
            releaseWork(found->second);
    });
}

void ControlThread::finish(Ticket ticket, RequestEnd end, claims::Answer answer)
{
    asio::post(m_context, [this, ticket, end, answer = std::move(answer)] {
        const auto found = m_active.find(ticket);
        if (found == m_active.end())
            return;
        const auto now = currentTime();
        auto active = std::move(found->second);
        m_active.erase(found);
        releaseWork(active);
        const auto& key = active.request.key;
        if (active.stage == Stage::Queued)
            m_admission.cancel(ticket);
        if (key && active.stage != Stage::Claiming) {
            if (end == RequestEnd::Answered)
                performActions(m_claims->complete(*key, answer, now));
            else if (end == RequestEnd::NotRun)
                performActions(m_claims->abandon(*key, now));
            else
                performActions(m_claims->reportUnknownOutcome(*key, now));
        }
        if (active.stage == Stage::Running)
            applyDecisions(m_admission.finish(active.request.organisation, now));
    });
}

void ControlThread::performActions(claims::ClaimsNode::Actions actions)
{
    for (auto& action : actions) {
        if (auto* envelope = std::get_if<claims::Envelope>(&action)) {
            std::visit([&](auto& message) { m_mesh.send(envelope->to, peer::Message(std::move(message))); },
                envelope->message);
        } else if (const auto* dispatch = std::get_if<claims::Dispatch>(&action)) {
            const auto found = m_active.find(dispatch->ticket);
            if (found == m_active.end()) {
                performActions(m_claims->abandon(dispatch->key, currentTime()));
                continue;
            }
            logInfo("claim-won", { { "ticket", dispatch->ticket }, { "key", toHex(dispatch->key.high) } });
            found->second.sendBefore = std::min(found->second.sendBefore, dispatch->deadline);
            submitForAdmission(found->second);
        } else {
            deliverOutcome(std::get<claims::Settle>(action));
        }
    }
}

void ControlThread::deliverOutcome(const claims::Settle& settle)
{
    const auto found = m_active.find(settle.ticket);
    if (found == m_active.end())
        return;
    const auto callback = std::move(found->second.callback);
    m_active.erase(found);
    switch (settle.outcome) {
    case claims::ClaimOutcome::Answered:
        logInfo("claim-joined", { { "ticket", settle.ticket }, { "upstream", settle.answer.upstream } });
        callback(settle.answer);
        return;
    case claims::ClaimOutcome::NotRun:
        callback(Problem {
            503, ProblemCode::ClaimFailed, "the key could not be claimed", ProblemOutcome::NotRun, defaultRetryAfter });
        return;
    case claims::ClaimOutcome::Unknown:
        callback(Problem { 503, ProblemCode::OutcomeUnknown, "the request may have run; ask again with the same key",
            ProblemOutcome::Unknown, defaultRetryAfter });
        return;
    case claims::ClaimOutcome::Mismatch:
        callback(Problem { 422, ProblemCode::KeyReused, "the idempotency key was used with another request",
            ProblemOutcome::NotRun, {} });
        return;
    }
}

void ControlThread::applyDecisions(const std::vector<admission::Decision>& decisions)
{
    for (const auto& decision : decisions) {
        const auto found = m_active.find(decision.ticket);
        if (decision.verdict != admission::Verdict::Admitted) {
            refuse(decision.ticket, toProblem(decision));
            continue;
        }
        if (found == m_active.end())
            continue;
        found->second.stage = Stage::Running;
        place(found->second, {});
    }
}

void ControlThread::submitForAdmission(ActiveRequest& active)
{
    const auto& request = active.request;
    active.stage = Stage::Queued;
    applyDecisions(m_admission.submit(
        { request.ticket, request.organisation, request.priority, active.sendBefore }, currentTime()));
}

void ControlThread::place(ActiveRequest& active, std::span<const std::string> excluded)
{
    const auto now = currentTime();
    const auto& request = active.request;
    auto* pool = findPool(request);
    const auto decision = pool ? pool->choose(request.chat, excluded, now) : placement::Decision {};
    logInfo("placement",
        { { "ticket", request.ticket }, { "organisation", request.organisation },
            { "destination", request.destination }, { "chat", toHex(request.chat.chat) },
            { "considered", decision.considered }, { "chosen", pool ? pool->idOf(decision.runner) : std::string() },
            { "reason", placement::nameOf(decision.reason) }, { "load", decision.load }, { "bound", decision.bound } });
    m_metrics.countPlacement(request.destination, std::string(placement::nameOf(decision.reason)));
    if (decision.runner == placement::noRunner) {
        const bool isRetry = !excluded.empty();
        refuse(request.ticket,
            { 503, ProblemCode::NoUpstream,
                isRetry ? "no other upstream can take the request" : "no upstream can take the request",
                ProblemOutcome::NotRun, defaultRetryAfter });
        return;
    }
    active.upstream = pool->idOf(decision.runner);
    const bool isWarm = placement::isWarm(decision.reason);
    if (request.isModel)
        m_metrics.countPromptTokens(isWarm ? request.chat.reusableTokens : 0, request.chat.promptTokens);
    active.work = isWarm ? request.chat.work()
                         : placement::workOf(request.chat.promptTokens, request.chat.expectedOutputTokens);
    pool->addWork(active.upstream, active.work, now);
    active.callback(Route { active.upstream, m_view.find(active.upstream)->host.address, active.sendBefore });
}

void ControlThread::refuse(Ticket ticket, const Problem& problem)
{
    const auto found = m_active.find(ticket);
    if (found == m_active.end())
        return;
    auto active = std::move(found->second);
    m_active.erase(found);
    logInfo("refusal",
        { { "ticket", ticket }, { "organisation", active.request.organisation },
            { "code", gateway::nameOf(problem.code) } });
    auto answered = problem;
    // Without the claim, this daemon cannot know whether an earlier request with the same key ran.
    if (active.request.key && active.stage == Stage::Claiming)
        answered.outcome = ProblemOutcome::Unknown;
    active.callback(answered);
    if (active.stage == Stage::Running)
        applyDecisions(m_admission.finish(active.request.organisation, currentTime()));
    if (active.request.key && active.stage != Stage::Claiming)
        performActions(m_claims->abandon(*active.request.key, currentTime()));
}

void ControlThread::releaseWork(ActiveRequest& active)
{
    if (active.upstream.empty())
        return;
    if (auto* pool = findPool(active.request))
        pool->addWork(active.upstream, -active.work, currentTime());
    active.upstream.clear();
}

placement::RunnerPool* ControlThread::findPool(const RouteRequest& request)
{
    const auto found = m_pools.find(request.isModel ? request.destination : "service:" + request.destination);
    return found == m_pools.end() ? nullptr : &found->second;
}

void ControlThread::pollLoadReports()
{
    for (const auto& [id, member] : m_view.members()) {
        if (member.host.role != membership::HostRole::Entry)
            pollLoadReport(id);
    }
}

void ControlThread::pollLoadReport(const std::string& upstream)
{
    const auto* member = m_view.find(upstream);
    if (!member || !m_pendingLoadReports.insert(upstream).second)
        return;
    upstream::Call call;
    call.url = "http://" + member->host.address + "/v1/load";
    call.timeout = loadReportTimeout;
    const auto startedAt = currentTime();
    m_client.fetch(
        call, [this, upstream, startedAt](const auto& result, std::uint16_t status, const std::string& body) {
            m_pendingLoadReports.erase(upstream);
            onLoadReport(upstream, startedAt, result, status, body);
            if (m_crashChecks.contains(upstream))
                pollLoadReport(upstream);
        });
}

void ControlThread::onLoadReport(const std::string& upstream, TimePoint startedAt, const upstream::CallResult& result,
    std::uint16_t status, const std::string& body)
{
    const auto now = currentTime();
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const bool isUsable = result.end == upstream::CallEnd::Complete && status == 200 && json.is_object()
        && json.contains("running") && json["running"].is_number_unsigned() && json.contains("age_ms")
        && json["age_ms"].is_number_unsigned();
    if (!isUsable) {
        m_view.reportFailure(upstream, now);
        // A report whose connection broke does not show whether the upstream crashed; the next report decides.
        if (result.end != upstream::CallEnd::Broken)
            resolveCrashCheck(upstream, startedAt, result.end == upstream::CallEnd::NeverConnected);
        return;
    }
    m_view.reportSuccess(upstream, now);
    const auto sampledAt = now - std::chrono::milliseconds(json["age_ms"].get<std::int64_t>());
    const auto instance = json.value("instance", std::string());
    const auto waiting = json.contains("waiting_prompt_tokens") && json["waiting_prompt_tokens"].is_number()
        ? json["waiting_prompt_tokens"].get<double>()
        : 0.0;
    const auto work = placement::workOf(waiting, placement::defaultOutputTokens * json["running"].get<double>());
    const bool isRestarted = !m_upstreamInstances[upstream].empty() && m_upstreamInstances[upstream] != instance;
    m_upstreamInstances[upstream] = instance;
    resolveCrashCheck(upstream, startedAt, isRestarted);
    for (auto& [name, pool] : m_pools) {
        if (isRestarted)
            pool.handleRunnerRestart(upstream);
        pool.report(upstream, work, sampledAt);
    }
}

void ControlThread::resolveCrashCheck(const std::string& upstream, TimePoint reportStartedAt, bool hasCrashed)
{
    const auto found = m_crashChecks.find(upstream);
    // A report that was already being fetched when the connection broke may date from before the crash.
    if (found == m_crashChecks.end() || (!hasCrashed && reportStartedAt <= found->second.startedAt))
        return;
    const auto check = std::move(found->second);
    m_crashChecks.erase(found);
    if (hasCrashed) {
        logWarning("upstream-death",
            { { "upstream", upstream }, { "requests", static_cast<std::uint64_t>(check.running.size()) } });
        for (const auto digest : m_quarantine.recordUpstreamDeath(check.running, currentTime())) {
            logWarning("quarantine", { { "request", toHex(digest) }, { "upstream", upstream } });
            m_mesh.broadcast(peer::QuarantineNotice { digest });
        }
    }
    for (const auto& [ticket, excluded] : check.waiting)
        retryPlacement(ticket, excluded);
}

}
