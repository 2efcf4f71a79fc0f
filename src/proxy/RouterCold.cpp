#include "proxy/Router.h"

#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Lines about runners that became cold, for each sweep. A data centre that returns brings dozens at once.
    constexpr std::size_t coldLinesPerSweep = 10;
    /// Logged in place of an interval if this daemon sends nothing.
    constexpr double noInterval = -1.0;

    std::string_view nameOf(runners::Registry::ColdEvidence evidence)
    {
        using Evidence = runners::Registry::ColdEvidence;
        switch (evidence) {
        case Evidence::Listed:
            return "listed";
        case Evidence::Response:
            return "response";
        case Evidence::NewEntry:
            return "new-entry";
        case Evidence::OwnSuspension:
            return "suspended";
        case Evidence::PeerSuspension:
            return "suspended-by-peers";
        case Evidence::Returned:
            return "returned";
        }
        return "";
    }

}

void Router::setRoutes(std::shared_ptr<const routing::RouteTable> routes)
{
    std::map<std::string, runners::ColdStart, std::less<>> coldStarts;
    if (routes) {
        for (const auto& service : routes->configuration().services) {
            if (service.coldStart > Duration::zero())
                coldStarts[service.name] = { service.coldStart, service.coldRequestsPerSecond };
        }
    }
    m_registry.setColdStarts(std::move(coldStarts));
    if (m_routes && routes)
        m_originPolicy.recordRoutes(*m_routes, *routes, m_clock());
    m_routes = std::move(routes);
}

void Router::recordColdStatement(runners::Runner& runner, const ResponseMetadata& metadata, std::string_view request)
{
    if (metadata.hasUnusableColdTime && !std::exchange(runner.isUnusableColdTimeLogged, true))
        telemetry::logWarning("cold-time-unusable", { { "runner", runner.entry.id }, { "request", request } });
    if (metadata.coldRemaining)
        m_registry.recordCold(runner, *metadata.coldRemaining, m_clock());
}

void Router::logColdRunners(TimePoint now)
{
    const auto news = m_registry.takeColdNews();
    for (std::size_t i = 0; i < std::min(news.size(), coldLinesPerSweep); ++i) {
        const auto* runner = m_registry.find(news[i].runner);
        if (!runner)
            continue;
        telemetry::logInfo("runner-cold",
            { { "runner", news[i].runner }, { "evidence", nameOf(news[i].evidence) },
                { "for_ms", toMilliseconds(runner->coldUntil - now) },
                { "interval_ms", runner->coldInterval ? toMilliseconds(*runner->coldInterval) : noInterval },
                { "daemons", static_cast<std::uint64_t>(m_registry.fleet().others.size() + 1) },
                { "requests", runner->ownLoad } });
    }
    if (news.size() > coldLinesPerSweep)
        telemetry::logInfo(
            "runners-cold", { { "others", static_cast<std::uint64_t>(news.size() - coldLinesPerSweep) } });
}

void Router::updateColdMetrics(TimePoint now)
{
    std::map<std::string, double> cold;
    std::map<std::string, std::uint64_t> missing;
    for (const auto& [id, runner] : m_registry.runners()) {
        if (!runner->coldStart)
            continue;
        cold[runner->entry.service] += runner->isCold(now) ? 1.0 : 0.0;
        missing[runner->entry.service] += runner->entry.coldRemaining ? 0 : 1;
    }
    for (const auto& [service, count] : cold)
        m_metrics.setGauge("eelgrassford_cold_runners", count, { { "service", service } });
    for (const auto& [service, count] : missing) {
        if (count > 0 && m_coldTimeMissing.insert(service).second)
            telemetry::logWarning("cold-time-missing", { { "service", service }, { "runners", count } });
    }
}

}
