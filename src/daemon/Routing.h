#pragma once

#include "claims/Messages.h"
#include "common/Time.h"
#include "dispatch/Outcome.h"
#include "gateway/Problem.h"
#include "placement/Strategy.h"
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassford::daemon {

/// @brief Identifies a caller's request within its daemon.
using Ticket = std::uint64_t;

/// @brief The properties of a request that admission, claims and placement depend on.
struct RouteRequest {
    Ticket ticket = 0;
    std::string organisation;
    /// Name of the model or service.
    std::string destination;
    bool isModel = false;
    bool isIdempotent = false;
    /// Set for non-idempotent requests that carry an idempotency key.
    std::optional<claims::Key> key;
    /// Digest of method, path with query, and body; used to recognise requests that crash upstreams and reused keys.
    std::uint64_t fingerprint = 0;
    placement::Request chat;
    int priority = 0;
    /// Time at which the caller's timeout ends.
    TimePoint deadline {};
};

/// @brief Where to send a request.
struct Route {
    /// Host id of the upstream.
    std::string upstream;
    /// IP:PORT of the upstream.
    std::string address;
    /// The request must not be sent after this time.
    TimePoint sendBefore {};
};

/// @brief Result of routing: a route, the kept answer of an earlier request with the same key, or a refusal.
using RouteReply = std::variant<Route, claims::Answer, gateway::Problem>;
using RouteCallback = std::function<void(RouteReply)>;

/// @brief How an attempt at an upstream ended; input of membership, load estimates and quarantine.
enum class AttemptEnd {
    Answered,
    NeverConnected,
    /// The upstream refused the request without running it.
    Declined,
    /// The connection or the stream broke before the end of the answer.
    Broken,
    /// The answer carried the id of another call, or none.
    MismatchedAnswer,
    TimedOut,
    /// The caller disconnected.
    Cancelled
};

/// @brief How a request ended; input of admission and claims.
enum class RequestEnd {
    Answered,
    /// No upstream ran it.
    NotRun,
    /// An upstream may have run it, but there is no answer.
    Unknown
};

}
