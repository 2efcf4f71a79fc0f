#pragma once

#include "gateway/Http.h"
#include <chrono>
#include <optional>

namespace eelgrassford::gateway {

/// @brief Stable identities of the errors that callers see; docs/ERRORS.md lists each with its mend.
enum class ProblemCode {
    MalformedRequest = 401,
    BodyTooLarge = 402,
    HeadersTooLarge = 403,
    UnknownOrganisation = 404,
    UnknownModel = 405,
    UnknownService = 406,
    UnknownPath = 407,
    BadIdempotencyKey = 408,
    KeyReused = 409,
    RateLimited = 410,
    Overloaded = 411,
    NoUpstream = 412,
    DeadlineUnreachable = 413,
    Quarantined = 414,
    Stopping = 415,
    ClaimFailed = 416,
    OutcomeUnknown = 417,
    NotReady = 418,
};

/// @brief What the caller may believe about a refused request.
enum class ProblemOutcome { NotRun, Unknown };

/// @brief An error as the caller sees it (RFC 9457).
struct Problem {
    std::uint16_t status = 500;
    ProblemCode code = ProblemCode::MalformedRequest;
    std::string detail;
    ProblemOutcome outcome = ProblemOutcome::NotRun;
    /// When to come back, for errors that pass.
    std::optional<std::chrono::milliseconds> retryAfter;
};

std::string_view reasonPhrase(std::uint16_t status);
std::string_view nameOf(ProblemCode code);
std::string_view nameOf(ProblemOutcome outcome);

/// @brief The problem as `application/problem+json`.
HttpResponse toResponse(const Problem& problem);

}
