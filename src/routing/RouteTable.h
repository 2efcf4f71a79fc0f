#pragma once

#include "routing/Configuration.h"
#include <memory>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::routing {

/// @brief An immutable configuration with indices for the look-ups that each request needs.
class RouteTable {
public:
    explicit RouteTable(Configuration configuration);

    std::uint64_t revision() const { return m_configuration.revision; }
    const Configuration& configuration() const { return m_configuration; }
    /// @brief The route of @a host with the longest path prefix that matches @a path, or null.
    /// @param host lower-case name without port, see hostName()
    /// @complexity linear in the length of the path
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// @brief The service of a name, or null.
    const Service* findService(std::string_view name) const;
    /// @brief The organisation that holds a credential, or null.
    const Organisation* findOrganisation(std::string_view credential) const;
    /// @brief Whether routes that are not public require a credential.
    bool requiresCredentials() const { return m_configuration.requiresCredentials; }

private:
    Configuration m_configuration;
    std::unordered_map<std::string, const Route*> m_routesByPrefix;
    std::unordered_map<std::string, const Service*> m_servicesByName;
    std::unordered_map<std::string, const Organisation*> m_organisationsByCredential;
};

/// @brief Chooses a destination of a route at random, in proportion to the weights.
/// @param draw uniform random bits
/// @return the service's name; empty if the route has no destination
std::string_view chooseDestination(const Route& route, std::uint64_t draw);

/// @brief The host name in a Host header, in lower case and without port.
std::string hostName(std::string_view header);

}
