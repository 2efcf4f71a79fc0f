#pragma once

#include "common/Time.h"
#include "gateway/StreamServer.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassford::routing {

/// @brief Whether the requests of a route may run more than once, and the form of their responses.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events with increasing ids; runs at most once unless the stream can be resumed.
    Stream,
};

/// @brief A service that receives a share of a route's requests.
struct Destination {
    std::string service;
    /// Share of the requests, relative to the weights of the route's other destinations.
    double weight = 1.0;
};

/// @brief Where requests of one host and path prefix go, and how they are treated.
struct Route {
    std::string name;
    /// Host name that callers ask for, compared without case and port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<Destination> destinations;
    /// Longest time from the arrival of a request to the end of its response.
    Duration timeout = std::chrono::seconds(30);
    /// Target time to the response, or to the first event of a stream.
    Duration latencyObjective = std::chrono::seconds(1);
    /// Longest pause between the events of a stream for which its response is still on time; 0 if none is stated.
    Duration eventGapObjective {};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Largest number of upstreams that may run the same request.
    std::uint32_t maxAttempts = 1;
    /// Requests need no credentials.
    bool isPublic = false;
    /// A broken stream may continue at another upstream after the last relayed event.
    bool isResumable = false;

    /// @brief Whether a request may be sent again although an upstream may already have run it.
    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable);
    }
};

/// @brief A service to which routes send requests.
struct Service {
    std::string name;
    /// Whether its upstreams are model-serving engines, which cache prompts.
    bool isModel = false;
    /// Requests that one of its engines runs at once; 0 if not stated.
    std::uint32_t engineSlots = 0;
    /// Tokens of prompts and outputs that one of its engines can hold; 0 if not stated.
    std::uint64_t kvCapacityTokens = 0;
    /// Output tokens in one event of a stream.
    std::uint32_t tokensPerEvent = 1;
    /// Time for which an upstream is cold after its start; 0 if the service has no cold upstreams.
    Duration coldStart {};
    /// Requests per second that a cold upstream sustains.
    double coldRequestsPerSecond = 0.0;
    /// What the service states of its cold start cannot be used; it has none then.
    bool hasUnusableColdStart = false;
};

/// @brief An organisation and the credentials of its callers.
struct Organisation {
    std::string name;
    std::vector<std::string> credentials;
    /// Overrides the priority of the route; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
};

/// @brief The complete configuration at one revision.
struct Configuration {
    std::uint64_t revision = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    /// Whether routes that are not public accept only the credentials of organisations, of which there may be none.
    bool requiresCredentials = true;
    /// Limits of requests and connections of callers.
    gateway::CallerLimits limits;
};

}
