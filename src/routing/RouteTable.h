#pragma once

#include "routing/Configuration.h"
#include <memory>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::routing {

/// @brief A configuration with indices for the decisions on each request. Immutable.
class RouteTable {
public:
    explicit RouteTable(Configuration configuration);

    std::uint64_t revision() const { return m_configuration.revision; }
    const Configuration& configuration() const { return m_configuration; }
    /// @brief The route of a host with the longest prefix that begins a path; null where none does.
    /// @param host name without port, compared without case
    /// @complexity linear in the length of the path
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const Service* findService(std::string_view name) const;
    /// @brief The organisation that holds a credential, or null.
    const Organisation* findOrganisation(std::string_view credential) const;
    /// @brief Whether callers have to show a credential on routes that are not public.
    bool hasOrganisations() const { return !m_configuration.organisations.empty(); }

private:
    Configuration m_configuration;
    std::unordered_map<std::string, const Route*> m_routes;
    std::unordered_map<std::string, const Service*> m_services;
    std::unordered_map<std::string, const Organisation*> m_organisations;
};

/// @brief Chooses the destination of a request by the weights of its route.
/// @param draw uniform number that decides
/// @return the service's name; empty if the route has no destination
std::string_view chooseDestination(const Route& route, std::uint64_t draw);

/// @brief The host of a Host header, in lower case and without port.
std::string hostName(std::string_view header);

}
