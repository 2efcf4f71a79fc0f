#pragma once

#include "common/Time.h"
#include "gateway/StreamServer.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassford::routing {

/// @brief What may be repeated of a request.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events with growing ids; runs at most once unless it can be resumed.
    Stream,
};

/// @brief A service that takes part of a route's requests.
struct Destination {
    std::string service;
    double weight = 1.0;
};

/// @brief Where requests of one host and path prefix go, and how they are treated.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<Destination> destinations;
    /// Longest time that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(30);
    /// Time in which an answer, or the first event of a stream, is worth most.
    Duration latencyObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Most upstreams that may be given one request.
    std::uint32_t maxAttempts = 1;
    /// Needs no credentials.
    bool isPublic = false;
    /// A broken stream may go on at another upstream, behind the last event.
    bool isResumable = false;

    /// @brief Whether a request may run again after it may have run.
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable);
    }
};

/// @brief A destination with its limits.
struct Service {
    std::string name;
    /// Whether its upstreams are model engines, which keep prompts.
    bool isModel = false;
};

/// @brief An organisation with the credentials that its callers may use.
struct Organisation {
    std::string name;
    std::vector<std::string> credentials;
    /// Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
};

/// @brief Everything that is in force at one revision.
struct Configuration {
    std::uint64_t revision = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    gateway::CallerLimits limits;
};

}
