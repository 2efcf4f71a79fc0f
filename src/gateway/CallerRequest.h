#pragma once

#include "config/Configuration.h"
#include "dispatch/ChatRequest.h"
#include "gateway/Http.h"
#include "gateway/Problem.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace eelgrassford::gateway {

/// @brief A caller's request, validated against the configuration in force.
struct CallerRequest {
    std::string organisation;
    /// Name of the model or of the application service.
    std::string destination;
    bool isModel = false;
    bool isIdempotent = false;
    double timeoutSeconds = 30.0;
    /// Attempts allowed after the first one.
    std::uint32_t retries = 0;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
    /// From 0 to 9.
    int priority = 0;
    /// Path and query that are sent to the upstream.
    std::string upstreamTarget;
    /// Set for model requests only.
    dispatch::ChatRequest chat;
};

/// @brief Reads and validates a request.
/// @return the request, or a 4xx problem that describes the first fault found
tl::expected<CallerRequest, Problem> readCallerRequest(
    const HttpRequest& request, const config::Configuration& configuration);

/// @brief The answer to `GET /v1/models`.
HttpResponse listModels(const config::Configuration& configuration);

/// @brief Reads an Idempotency-Key header: a structured-field string or a bare token of 1 to 255 characters.
/// @return the key without quotes, or nothing if the value is invalid
std::optional<std::string> parseIdempotencyKey(std::string_view value);

}
