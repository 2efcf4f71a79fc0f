#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassford::config {

using Revision = std::uint64_t;

/// @brief Type of the runners that serve a service.
enum class ServiceKind { Model, Application };

/// @brief A named target of callers' requests.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Application;
    bool operator==(const Service&) const = default;
};

/// @brief A customer; its callers share one weight and one set of limits.
struct Organisation {
    std::string name;
    /// Share of the capacity relative to other organisations.
    double weight = 1.0;
    /// Requests per second across the whole fleet; 0 means unlimited.
    double ratePerSecond = 0.0;
    /// Requests in flight across the whole fleet; 0 means unlimited.
    std::uint32_t concurrency = 0;
    bool operator==(const Organisation&) const = default;
};

/// @brief A model with its version, its adapters and its placement settings.
struct Model {
    std::string name;
    std::string version = "1";
    std::vector<std::string> adapters;
    std::uint32_t replicas = 1;
    /// Upper limit for the load of a runner, as a multiple of the mean load.
    double loadBound = 1.25;
    /// Name of the placement strategy.
    std::string strategy = "bounded-load";
    bool operator==(const Model&) const = default;
};

/// @brief Declares idempotency, timeout and retries of the requests of a service that match a method and path.
struct Rule {
    std::string service;
    /// HTTP method in upper case, or "*" for any method.
    std::string method = "*";
    /// Path relative to the service; a trailing "*" matches any suffix.
    std::string path = "*";
    bool isIdempotent = false;
    double timeoutSeconds = 30.0;
    /// Most retries after the first attempt.
    std::uint32_t retries = 2;
    bool operator==(const Rule&) const = default;
};

/// @brief All declarations of the operators, at one revision.
struct Configuration {
    Revision revision = 0;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Rule> rules;

    /// @brief Finds an entity by name; null if it is not declared.
    const Service* findService(std::string_view name) const;
    const Organisation* findOrganisation(std::string_view name) const;
    const Model* findModel(std::string_view name) const;
    /// @brief The first matching rule of @a service in order of declaration, or null if none matches.
    const Rule* findRule(std::string_view service, std::string_view method, std::string_view path) const;
    bool operator==(const Configuration&) const = default;
};

}
