#include "proxy/Router.h"

namespace eelgrassford::proxy {

void Router::mergeSoleVersions(std::span<const runners::SoleVersion> versions)
{
    for (const auto& version : versions)
        m_versionHistory.adopt(version, m_clock());
}

void Router::beginStop(TimePoint cutAt)
{
    m_stop.emplace(now(), cutAt);
    publishOrigins(dispatch::OriginCopies::Few, now());
}

void Router::recordOrigins(std::span<const dispatch::StreamOrigin> origins, std::string_view service, TimePoint now)
{
    for (const auto& origin : origins)
        m_streamOrigins.record(origin, now);
    if (m_directory && !m_versionHistory.soleVersion(service, now))
        m_directory->publish({ origins.begin(), origins.end() }, dispatch::OriginCopies::Many);
}

void Router::publishOrigins(dispatch::OriginCopies copies, TimePoint now)
{
    if (m_directory)
        m_directory->publish(m_streamOrigins.all(now), copies);
}

std::optional<std::uint64_t> Router::soleSoftware(const routing::Route& route, TimePoint now) const
{
    // Of several services it is not known which one began a stream.
    if (route.destinations.size() != 1)
        return std::nullopt;
    return m_versionHistory.soleVersion(route.destinations.front().service, now);
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
