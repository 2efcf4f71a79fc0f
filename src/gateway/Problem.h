#pragma once

#include "gateway/Http.h"
#include <chrono>
#include <optional>

namespace eelgrassford::gateway {

/// @brief Stable codes of the errors that callers see; docs/ERRORS.md lists the remedy for each.
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

/// @brief Whether a refused request may have run at an upstream.
enum class ProblemOutcome { NotRun, Unknown };

/// @brief An error as the caller sees it (RFC 9457).
struct Problem {
    std::uint16_t status = 500;
    ProblemCode code = ProblemCode::MalformedRequest;
    std::string detail;
    ProblemOutcome outcome = ProblemOutcome::NotRun;
    /// Delay after which the caller may retry, for temporary errors.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// @brief The HTTP reason phrase of a status, or "Status" for statuses that the router does not name.
std::string_view reasonPhrase(std::uint16_t status);
/// @brief The name that callers see in a problem's type or outcome.
std::string_view nameOf(ProblemCode code);
std::string_view nameOf(ProblemOutcome outcome);

/// @brief Encodes a problem as an `application/problem+json` response.
HttpResponse toResponse(const Problem& problem);

}
