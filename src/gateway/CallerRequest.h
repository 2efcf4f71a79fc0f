#pragma once

#include "config/Configuration.h"
#include "dispatch/ChatRequest.h"
#include "gateway/Http.h"
#include "gateway/Problem.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace eelgrassford::gateway {

/// @brief A caller's request, checked against the configuration in force.
struct CallerRequest {
    std::string organisation;
    /// Name of the model or of the plain service.
    std::string destination;
    bool isModel = false;
    bool isIdempotent = false;
    double timeoutSeconds = 30.0;
    std::uint32_t retries = 0;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
    int priority = 0;
    /// Path and query at the upstream.
    std::string upstreamTarget;
    /// Of model requests.
    dispatch::ChatRequest chat;
};

/// @brief Reads and checks a request; every fault becomes a 4xx problem.
tl::expected<CallerRequest, Problem> readCallerRequest(
    const HttpRequest& request, const config::Configuration& configuration);

/// @brief The answer to `GET /v1/models`.
HttpResponse listModels(const config::Configuration& configuration);

/// @brief Reads an Idempotency-Key header: a structured-field string or a bare token of 1 to 255 characters.
std::optional<std::string> parseIdempotencyKey(std::string_view value);

}
