#include "proxy/OriginPolicy.h"

#include <algorithm>
#include <iterator>

namespace eelgrassford::proxy {

namespace {

    bool hasDestination(const routing::Route& route, std::string_view service)
    {
        return std::ranges::find(route.destinations, service, &routing::Destination::service)
            != route.destinations.end();
    }

}

void OriginPolicy::recordRoutes(const routing::RouteTable& before, const routing::RouteTable& after, TimePoint now)
{
    for (const auto& route : after.configuration().routes) {
        const auto* previous = before.findRoute(routing::hostName(route.host), route.pathPrefix);
        if (!previous)
            continue;
        for (const auto& destination : previous->destinations) {
            if (!hasDestination(route, destination.service))
                m_formerServices[{ route.host, route.pathPrefix }][destination.service] = now;
        }
    }
    for (auto& [prefix, services] : m_formerServices)
        std::erase_if(services, [&](const auto& service) { return now - service.second > m_versions.window(); });
    std::erase_if(m_formerServices, [](const auto& route) { return route.second.empty(); });
}

std::vector<std::string> OriginPolicy::servicesOf(const routing::Route& route, TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& destination : route.destinations)
        result.push_back(destination.service);
    if (const auto former = m_formerServices.find({ route.host, route.pathPrefix }); former != m_formerServices.end()) {
        for (const auto& [service, leftAt] : former->second) {
            if (now - leftAt <= m_versions.window() && !hasDestination(route, service))
                result.push_back(service);
        }
    }
    return result;
}

std::optional<std::uint64_t> OriginPolicy::deriveSoftware(const routing::Route& route, TimePoint now) const
{
    // Of several services it is not known which one began a stream.
    const auto services = servicesOf(route, now);
    return services.size() == 1 ? m_versions.soleVersion(services.front(), now) : std::nullopt;
}

dispatch::OriginCopies OriginPolicy::copiesFor(std::uint64_t software, TimePoint now) const
{
    // Of a single version the caches tell as well: no runner of another one may have begun its streams.
    return m_versions.singleVersions(now).contains(software) ? dispatch::OriginCopies::Few
                                                             : dispatch::OriginCopies::Many;
}

std::vector<std::uint64_t> OriginPolicy::takeContested(TimePoint now)
{
    auto single = m_versions.singleVersions(now);
    std::vector<std::uint64_t> result;
    std::ranges::set_difference(m_single, single, std::back_inserter(result));
    m_single = std::move(single);
    return result;
}

}
