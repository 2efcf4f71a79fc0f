#include "proxy/OverloadControl.h"

#include "telemetry/DecisionLog.h"
#include <algorithm>
#include <utility>

namespace eelgrassford::proxy {

namespace {

    /// Time for which the load of a service is reused; a busy daemon receives a few requests within it.
    constexpr Duration loadRefreshInterval = std::chrono::milliseconds(20);
    /// Flows that a daemon reports of all services together, and the least of one service.
    constexpr std::size_t reportedFlows = 12;
    constexpr std::size_t minimumFlowsPerService = 2;
    /// Services that a daemon reports: those with the most requested work.
    constexpr std::size_t reportedServices = reportedFlows / minimumFlowsPerService;

    void logRefusal(std::string_view requestId, std::string_view service, const admission::AdmissionRequest& request,
        const admission::ServiceLoad& load, const admission::SheddingDecision& decision, double bound)
    {
        telemetry::logInfo("overload-refusal",
            { { "request", requestId }, { "service", service }, { "organisation", request.organisation },
                { "verdict", admission::nameOf(decision.verdict) }, { "priority", request.priority },
                { "surging", decision.isSurging }, { "share", decision.share }, { "pressure", decision.pressure },
                { "under_way", load.inFlight }, { "bound", bound },
                { "expected_wait_ms", toMilliseconds(decision.expectedWait) },
                { "retry_after_ms", toMilliseconds(decision.retryAfter) } });
    }

    void logWorkRefusal(std::string_view requestId, std::string_view service,
        const admission::AdmissionRequest& request, const admission::ServiceLoad& load,
        const admission::WorkDecision& decision, double bound)
    {
        telemetry::logInfo("overload-refusal",
            { { "request", requestId }, { "service", service }, { "organisation", request.organisation },
                { "verdict", admission::nameOf(decision.verdict) }, { "priority", request.priority },
                { "share", decision.share }, { "mean_share", decision.meanShare }, { "window", decision.position },
                { "epoch", decision.epoch }, { "demand", decision.demand }, { "pressure", decision.pressure },
                { "under_way", load.inFlight }, { "bound", bound },
                { "expected_wait_ms", toMilliseconds(decision.expectedWait) },
                { "retry_after_ms", toMilliseconds(decision.retryAfter) } });
    }

}

std::optional<Duration> OverloadControl::refuseIfOverloaded(
    const std::string& service, std::string_view requestId, const admission::AdmissionRequest& request, TimePoint now)
{
    auto& entry = serviceOf(service, now);
    refreshLoad(service, entry, now);
    const auto decision = decide(service, entry, request, now);
    if (decision.verdict == admission::SheddingVerdict::Admitted)
        return std::nullopt;
    if (!decision.isSurging && hasRateRoom(service, now))
        return std::nullopt;
    const auto bound = entry.shedder.bound(entry.load);
    ++entry.refusals[std::string(admission::nameOf(decision.verdict))];
    if (isWorkAware(service))
        logWorkRefusal(requestId, service, request, entry.load, decision, bound);
    else
        logRefusal(requestId, service, request, entry.load, decision, bound);
    if (!std::exchange(entry.isOverloaded, true))
        telemetry::logWarning("service-overloaded",
            { { "service", service }, { "pressure", decision.pressure }, { "under_way", entry.load.inFlight },
                { "slots", entry.load.slots }, { "bound", bound } });
    return decision.retryAfter;
}

admission::WorkDecision OverloadControl::decide(
    const std::string& name, Service& service, const admission::AdmissionRequest& request, TimePoint now)
{
    if (!isWorkAware(name))
        return { service.shedder.decide(request, service.load, now) };
    return service.workAdmission.decide(
        request, service.load, service.shedder, now.time_since_epoch() + m_clockLead, now);
}

void OverloadControl::setWorkAware(const std::string& service, bool isWorkAware)
{
    if (isWorkAware)
        m_workAwareServices.insert(service);
    else
        m_workAwareServices.erase(service);
}

std::vector<admission::ServiceDemand> OverloadControl::demand(TimePoint now) const
{
    std::vector<admission::ServiceDemand> result;
    for (const auto& [name, service] : m_services) {
        if (!isWorkAware(name))
            continue;
        auto demand = service.workAdmission.shares().ownDemand(reportedFlows, now);
        demand.service = admission::serviceKeyOf(name);
        if (demand.total() > 0)
            result.push_back(std::move(demand));
    }
    std::sort(
        result.begin(), result.end(), [](const auto& left, const auto& right) { return left.total() > right.total(); });
    result.resize(std::min(result.size(), reportedServices));
    for (auto& demand : result)
        admission::keepHeaviest(demand.flows, reportedFlows / result.size());
    return result;
}

void OverloadControl::setPeerDemand(
    std::span<const admission::ServiceDemand> demands, Duration clockLead, TimePoint now)
{
    m_clockLead = clockLead;
    for (auto& [name, service] : m_services) {
        const auto found = std::find_if(demands.begin(), demands.end(),
            [key = admission::serviceKeyOf(name)](const auto& demand) { return demand.service == key; });
        service.workAdmission.shares().setOthers(found == demands.end() ? nullptr : &*found, now);
    }
}

bool OverloadControl::hasRateRoom(std::string_view service, TimePoint now) const
{
    const auto runners = m_registry.runnersOf(service);
    return std::any_of(runners.begin(), runners.end(), [&](const runners::Runner* runner) {
        return (runner->rateShare || runner->isCold(now)) && m_registry.isUsable(*runner, now);
    });
}

void OverloadControl::recordFirstByte(const std::string& service, bool isLate, TimePoint now)
{
    serviceOf(service, now).shedder.recordFirstByte(isLate, now);
}

void OverloadControl::recordServiceTime(
    const std::string& service, std::string_view route, Duration time, TimePoint now)
{
    serviceOf(service, now).shedder.recordServiceTime(route, time);
}

void OverloadControl::sweep(TimePoint now)
{
    for (auto& [name, service] : m_services) {
        service.shedder.removeIdleFlows(now);
        service.workAdmission.shares().removeIdle(now);
        if (!service.isOverloaded)
            continue;
        refreshLoad(name, service, now);
        if (!service.shedder.isWithinBaseline(service.load))
            continue;
        service.isOverloaded = false;
        telemetry::logInfo("service-recovered",
            { { "service", name }, { "under_way", service.load.inFlight }, { "slots", service.load.slots } });
    }
}

void OverloadControl::updateMetrics(telemetry::Metrics& metrics, TimePoint now)
{
    for (auto& [name, service] : m_services) {
        refreshLoad(name, service, now);
        const telemetry::Metrics::Labels labels { { "service", name } };
        metrics.setGauge("eelgrassford_service_under_way", service.load.inFlight, labels);
        metrics.setGauge("eelgrassford_service_bound", service.shedder.bound(service.load), labels);
        metrics.setGauge("eelgrassford_service_overloaded", service.isOverloaded ? 1.0 : 0.0, labels);
        for (const auto& [verdict, count] : service.refusals)
            metrics.setTotal("eelgrassford_overload_refusals_total", static_cast<double>(count),
                { { "service", name }, { "reason", verdict } });
        if (!isWorkAware(name))
            continue;
        const auto& shares = service.workAdmission.shares();
        metrics.setGauge("eelgrassford_service_demand", shares.demand(), labels);
        metrics.setGauge("eelgrassford_service_share", shares.meanShare(), labels);
        metrics.setGauge("eelgrassford_service_lowest_share", shares.lowestShare(), labels);
    }
}

OverloadControl::Service& OverloadControl::serviceOf(const std::string& name, TimePoint now)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    return m_services.emplace(name, Service { admission::LoadShedder(now), {}, {}, {}, {}, false }).first->second;
}

void OverloadControl::refreshLoad(const std::string& name, Service& service, TimePoint now) const
{
    if (service.loadRefreshedAt && now - *service.loadRefreshedAt < loadRefreshInterval)
        return;
    service.loadRefreshedAt = now;
    service.load = {};
    for (const auto* runner : m_registry.runnersOf(name)) {
        // Free slots of a runner whose rate is limited are of no use to requests that exceed the limit.
        if (!m_registry.isUsable(*runner, now) || runner->rateShare || runner->isCold(now))
            continue;
        const double slots = runner->entry.slots;
        service.load.slots += slots;
        service.load.inFlight += std::min(m_registry.load(*runner, now), service.shedder.runnerLoadLimit(slots));
    }
}

}
