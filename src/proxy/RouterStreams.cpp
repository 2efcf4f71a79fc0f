#include "common/Hash.h"
#include "proxy/Router.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

void Router::mergeSoleVersions(std::span<const runners::SoleVersion> versions)
{
    for (const auto& version : versions)
        m_versionHistory.adopt(version, m_clock());
}

void Router::mergeDepartures(std::span<const runners::Departure> departures)
{
    m_cacheQueries.adoptDepartures(departures);
}

void Router::beginStop(TimePoint cutAt)
{
    m_stop.emplace(now(), cutAt);
    publishOrigins(now());
}

void Router::recordOrigins(std::span<const dispatch::StreamOrigin> origins, const routing::Route& route, TimePoint now)
{
    for (const auto& origin : origins)
        m_streamOrigins.record(origin, now);
    if (m_directory && route.isResumable)
        m_directory->publish(
            { origins.begin(), origins.end() }, m_originPolicy.copiesFor(origins.front().software, now));
}

void Router::publishOrigins(TimePoint now)
{
    if (m_directory)
        m_directory->publish(m_streamOrigins.all(now), dispatch::OriginCopies::Few);
}

void Router::spreadOrigins(TimePoint now)
{
    for (const auto software : m_originPolicy.takeContested(now)) {
        const auto origins = m_streamOrigins.of(software, now);
        telemetry::logInfo("origins-spread",
            { { "software", toHex(software) }, { "streams", static_cast<std::uint64_t>(origins.size()) } });
        if (m_directory)
            m_directory->publish(origins, dispatch::OriginCopies::Many);
    }
}

std::string Router::destinationOf(const routing::Route& route, std::uint64_t software) const
{
    for (const auto& destination : route.destinations) {
        for (const auto* runner : m_registry.runnersOf(destination.service)) {
            if (runner->software == software)
                return destination.service;
        }
    }
    return {};
}

}
