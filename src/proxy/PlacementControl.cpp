#include "proxy/PlacementControl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassford::proxy {

namespace {

    /// Time after the last report of a slowdown for which a service is still placed by work.
    constexpr Duration slowdownReportLifetime = std::chrono::seconds(60);
    /// Output of a stream, in events, and work of an application, in milliseconds, before any was observed.
    constexpr double unknownEvents = 40.0;
    constexpr double unknownWorkMs = 200.0;

    work::RunnerKey keyOf(const runners::Runner& runner) { return static_cast<work::RunnerKey>(runner.identity); }

    bool isStream(const WorkRequest& work) { return work.route.kind == routing::RequestKind::Stream; }

    std::uint32_t toCount(double value)
    {
        constexpr double largest = 1e9;
        return static_cast<std::uint32_t>(std::clamp(std::ceil(value), 0.0, largest));
    }

}

PlacementControl::PlacementControl(const runners::Registry& registry, const Options& options)
    : m_registry(registry)
{
    setOptions(options);
}

void PlacementControl::setOptions(const Options& options)
{
    m_options = options;
    m_byWork.setBound(options.bound);
}

bool PlacementControl::isByWork(std::string_view service, TimePoint now) const
{
    if (m_options.toleratedDataCentreLosses > 0)
        return true;
    return m_options.followsReports && hasReport(service, now);
}

bool PlacementControl::admitsByWork(std::string_view service, TimePoint now) const
{
    return m_options.admitsAllByWork || m_options.toleratedDataCentreLosses > 0 || hasReport(service, now);
}

bool PlacementControl::hasReport(std::string_view service, TimePoint now) const
{
    const auto reported = m_slowdownReportedAt.find(service);
    return reported != m_slowdownReportedAt.end() && now - reported->second < slowdownReportLifetime;
}

std::optional<double> PlacementControl::hintOf(const WorkRequest& work)
{
    if (!isStream(work) || !work.metadata.expectedOutputTokens)
        return std::nullopt;
    const auto tokensPerEvent = work.service ? work.service->tokensPerEvent : 1u;
    return static_cast<double>(*work.metadata.expectedOutputTokens) / tokensPerEvent;
}

runners::RequestCost PlacementControl::costOf(const WorkRequest& work, const work::Rates& rates) const
{
    runners::RequestCost cost;
    cost.isStream = isStream(work);
    cost.latencyObjective = work.route.latencyObjective;
    const auto amount = m_costs.estimate(
        work.route.name, work.organisation, hintOf(work), cost.isStream ? unknownEvents : unknownWorkMs);
    if (!cost.isStream) {
        cost.outputMs = amount.mean;
        return cost;
    }
    cost.promptTokens = std::max(work.affinity.promptTokens, work.metadata.promptTokens);
    cost.prefixTokens = std::min<double>(work.affinity.prefixTokens, cost.promptTokens);
    cost.outputMs = amount.mean * rates.eventMs;
    cost.residentTokens = cost.promptTokens + amount.mean * (work.service ? work.service->tokensPerEvent : 1u);
    return cost;
}

runners::Placement PlacementControl::place(
    const runners::PlacementRequest& request, const WorkRequest& work, TimePoint now)
{
    if (!isByWork(request.service, now))
        return runners::place(m_registry, request, m_options.bound, now);
    runners::ServiceProfile profile;
    profile.rates = m_costs.rates(work.serviceName, now);
    profile.kvCapacityTokens = work.service ? static_cast<double>(work.service->kvCapacityTokens) : 0.0;
    profile.keepsDataCentre = m_options.toleratedDataCentreLosses > 0;
    return m_byWork.place(m_registry, m_remaining, request, costOf(work, profile.rates), profile, now);
}

std::optional<AttemptWork> PlacementControl::begin(const runners::PlacementRequest& request, const WorkRequest& work,
    const runners::Placement& placement, TimePoint now)
{
    if (!placement.work)
        return std::nullopt;
    const auto& runner = *placement.runner;
    const auto cost = costOf(work, m_costs.rates(work.serviceName, now));
    AttemptWork attempt;
    attempt.prefillTokens = placement.work->uncachedTokens;
    attempt.pendingTokens = m_remaining.view(keyOf(runner), now).left.prefillTokens;
    attempt.outputMs = cost.outputMs;
    attempt.sentAt = now;
    attempt.lastEventAt = now;
    attempt.dispatched
        = m_remaining.begin(keyOf(runner), { attempt.prefillTokens, cost.outputMs, cost.residentTokens }, now);
    m_byWork.recordSent(request.affinityKey, runner, now);
    return attempt;
}

void PlacementControl::recordEvents(
    std::optional<AttemptWork>& attempt, const WorkRequest& work, std::uint64_t events, TimePoint now)
{
    if (!attempt || events <= attempt->events)
        return;
    const auto elapsedMs = toMilliseconds(now - attempt->lastEventAt);
    const auto arrived = static_cast<double>(events - attempt->events);
    const auto rates = m_costs.rates(work.serviceName, now);
    if (attempt->events == 0) {
        m_costs.recordFirstEvent(work.serviceName, attempt->prefillTokens, attempt->pendingTokens, elapsedMs, now);
    } else {
        m_costs.recordEventGap(work.serviceName, elapsedMs / arrived, now);
        m_remaining.recordSpeed(attempt->dispatched.runner, elapsedMs / arrived / rates.eventMs, now);
    }
    attempt->events = events;
    attempt->lastEventAt = now;
    m_remaining.advance(attempt->dispatched, arrived * rates.eventMs);
}

void PlacementControl::end(
    std::optional<AttemptWork>& attempt, const WorkRequest& work, runners::Observation observation, TimePoint now)
{
    if (!attempt)
        return;
    const auto ended = std::exchange(attempt, std::nullopt);
    m_remaining.end(ended->dispatched);
    const bool isComplete = observation == runners::Observation::Served;
    // Requests that their caller or deadline ended needed at least what was observed; failures tell nothing.
    if (!isComplete && observation != runners::Observation::None && observation != runners::Observation::Silent)
        return;
    const auto elapsedMs = toMilliseconds(now - ended->sentAt);
    const auto amount = isStream(work) ? static_cast<double>(ended->events) : elapsedMs;
    // A resumed stream brings only the rest of its events.
    if (!work.metadata.isContinuation)
        m_costs.record(work.route.name, work.organisation, hintOf(work), { amount, isComplete });
    if (!isComplete)
        return;
    m_costs.recordRequest(work.serviceName, elapsedMs, now);
    if (!isStream(work) && ended->outputMs > 0.0)
        m_remaining.recordSpeed(ended->dispatched.runner, elapsedMs / ended->outputMs, now);
}

void PlacementControl::recordReport(const runners::Runner& runner, const runners::ReportedLoad& load, TimePoint now)
{
    if (!load.slowdown)
        return;
    m_slowdownReportedAt.insert_or_assign(runner.entry.service, now);
    m_remaining.recordReport(keyOf(runner), *load.slowdown, now);
}

fleet::RemainingWork PlacementControl::remaining(const runners::Runner& runner) const
{
    const auto own = m_remaining.own(keyOf(runner));
    return { toCount(own.prefillTokens), toCount(own.outputMs), toCount(own.residentTokens) };
}

void PlacementControl::setPeers(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries)
{
    std::unordered_map<work::RunnerKey, work::Amount> peers;
    for (const auto& [runner, summary] : summaries) {
        const auto& left = summary.remaining;
        if (left != fleet::RemainingWork {})
            peers[runner] = { static_cast<double>(left.prefillTokens), static_cast<double>(left.outputMs),
                static_cast<double>(left.residentTokens) };
    }
    m_remaining.setPeers(peers);
}

}
