#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassford::config {

using Revision = std::uint64_t;

/// @brief How a service is served: by model runners or by application runners.
enum class ServiceKind { Model, Application };

/// @brief A named destination of callers' requests.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Application;
    bool operator==(const Service&) const = default;
};

/// @brief A group of callers that shares one weight and one set of limits.
struct Organisation {
    std::string name;
    double weight = 1.0;
    /// Requests a second over the whole fleet; 0 means unlimited.
    double ratePerSecond = 0.0;
    /// Requests under way at once over the whole fleet; 0 means unlimited.
    std::uint32_t concurrency = 0;
    bool operator==(const Organisation&) const = default;
};

/// @brief A model, its versions and adapters, and how its load is bounded.
struct Model {
    std::string name;
    std::string version = "1";
    std::vector<std::string> adapters;
    std::uint32_t replicas = 1;
    /// No runner is given more than this multiple of the mean load.
    double loadBound = 1.25;
    std::string strategy = "bounded-load";
    bool operator==(const Model&) const = default;
};

/// @brief Says which requests of a service are idempotent, how long they may take and how often they are retried.
struct Rule {
    std::string service;
    /// HTTP method in capitals, or "*" for any.
    std::string method = "*";
    /// Path below the service; a trailing "*" matches any rest.
    std::string path = "*";
    bool isIdempotent = false;
    double timeoutSeconds = 30.0;
    std::uint32_t retries = 2;
    bool operator==(const Rule&) const = default;
};

/// @brief Everything that operators declare, at one revision.
struct Configuration {
    Revision revision = 0;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Rule> rules;

    const Service* findService(std::string_view name) const;
    const Organisation* findOrganisation(std::string_view name) const;
    const Model* findModel(std::string_view name) const;
    /// @brief The first rule of @a service that matches, in the order of declaration; null where none does.
    const Rule* findRule(std::string_view service, std::string_view method, std::string_view path) const;
    bool operator==(const Configuration&) const = default;
};

}
