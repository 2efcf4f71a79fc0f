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

/// Identifies a caller's request within its daemon.
using Ticket = std::uint64_t;

/// @brief What the control thread needs to decide on a request.
struct RouteRequest {
    Ticket ticket = 0;
    std::string organisation;
    /// Name of the model or service.
    std::string destination;
    bool isModel = false;
    bool isIdempotent = false;
    /// Set for non-idempotent requests that carry an idempotency key.
    std::optional<claims::Key> key;
    /// Digest of method, path and body.
    std::uint64_t fingerprint = 0;
    placement::Request chat;
    int priority = 0;
    TimePoint deadline {};
};

/// @brief Where to send a request.
struct Route {
    std::string upstream;
    std::string address;
    /// Nothing may be sent after this time.
    TimePoint sendBefore {};
};

/// @brief The control thread's reply to a request.
using RouteReply = std::variant<Route, claims::Answer, gateway::Problem>;
using RouteCallback = std::function<void(RouteReply)>;

/// @brief How an attempt at an upstream ended, for membership, load and quarantine.
enum class AttemptEnd {
    Answered,
    NeverConnected,
    Declined,
    Broken,
    Crossed,
    TimedOut,
    /// The caller went away.
    Cancelled
};

/// @brief How a request ended, for admission and claims.
enum class RequestEnd { Answered, NotRun, Unknown };

}
