#include "routing/RouteTable.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::routing {

namespace {

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host);
        key += '\n';
        key += prefix;
        return key;
    }

}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes)
        m_routesByPrefix.emplace(routeKey(hostName(route.host), route.pathPrefix), &route);
    for (const auto& service : m_configuration.services)
        m_servicesByName.emplace(service.name, &service);
    for (const auto& organisation : m_configuration.organisations) {
        for (const auto& credential : organisation.credentials)
            m_organisationsByCredential.emplace(credential, &organisation);
    }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = m_routesByPrefix.find(routeKey(host, path.substr(0, end + 1)));
        if (found != m_routesByPrefix.end())
            return found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

const Service* RouteTable::findService(std::string_view name) const
{
    const auto found = m_servicesByName.find(std::string(name));
    return found == m_servicesByName.end() ? nullptr : found->second;
}

const Organisation* RouteTable::findOrganisation(std::string_view credential) const
{
    if (credential.empty())
        return nullptr;
    const auto found = m_organisationsByCredential.find(std::string(credential));
    return found == m_organisationsByCredential.end() ? nullptr : found->second;
}

std::string_view chooseDestination(const Route& route, std::uint64_t draw)
{
    if (route.destinations.empty())
        return {};
    double total = 0.0;
    for (const auto& destination : route.destinations)
        total += destination.weight;
    auto remaining = toUnitInterval(draw) * total;
    for (const auto& destination : route.destinations) {
        if (remaining < destination.weight)
            return destination.service;
        remaining -= destination.weight;
    }
    return route.destinations.back().service;
}

std::string hostName(std::string_view header)
{
    std::string name(header.substr(0, header.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

}
