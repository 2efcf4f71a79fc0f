#include "proxy/OverloadControl.h"

#include "telemetry/DecisionLog.h"
#include <algorithm>
#include <utility>

namespace eelgrassford::proxy {

namespace {

    /// Time for which the load of a service is reused; a busy daemon receives a few requests within it.
    constexpr Duration loadRefreshInterval = std::chrono::milliseconds(20);

}

std::optional<Duration> OverloadControl::refuseIfOverloaded(
    const std::string& service, std::string_view requestId, const admission::AdmissionRequest& request, TimePoint now)
{
    auto& entry = serviceOf(service, now);
    refreshLoad(service, entry, now);
    const auto decision = entry.shedder.decide(request, entry.load, now);
    if (decision.verdict == admission::SheddingVerdict::Admitted)
        return std::nullopt;
    if (!decision.isSurging && hasRateRoom(service, now))
        return std::nullopt;
    const auto bound = entry.shedder.bound(entry.load);
    telemetry::logInfo("overload-refusal",
        { { "request", requestId }, { "service", service }, { "organisation", request.organisation },
            { "verdict", admission::nameOf(decision.verdict) }, { "priority", request.priority },
            { "surging", decision.isSurging }, { "share", decision.share }, { "pressure", decision.pressure },
            { "under_way", entry.load.inFlight }, { "bound", bound },
            { "expected_wait_ms", toMilliseconds(decision.expectedWait) },
            { "retry_after_ms", toMilliseconds(decision.retryAfter) } });
    if (!std::exchange(entry.isOverloaded, true))
        telemetry::logWarning("service-overloaded",
            { { "service", service }, { "pressure", decision.pressure }, { "under_way", entry.load.inFlight },
                { "slots", entry.load.slots }, { "bound", bound } });
    return decision.retryAfter;
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
    }
}

OverloadControl::Service& OverloadControl::serviceOf(const std::string& name, TimePoint now)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    return m_services.emplace(name, Service { admission::LoadShedder(now), {}, {}, false }).first->second;
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
