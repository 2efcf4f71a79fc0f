#include "gateway/Problem.h"

#include <nlohmann/json.hpp>

namespace eelgrassford::gateway {

std::string_view reasonPhrase(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string_view nameOf(ProblemCode code)
{
    switch (code) {
    case ProblemCode::MalformedRequest:
        return "malformed-request";
    case ProblemCode::BodyTooLarge:
        return "body-too-large";
    case ProblemCode::HeadersTooLarge:
        return "headers-too-large";
    case ProblemCode::UnknownOrganisation:
        return "unknown-organisation";
    case ProblemCode::UnknownModel:
        return "unknown-model";
    case ProblemCode::UnknownService:
        return "unknown-service";
    case ProblemCode::UnknownPath:
        return "unknown-path";
    case ProblemCode::BadIdempotencyKey:
        return "bad-idempotency-key";
    case ProblemCode::KeyReused:
        return "key-reused";
    case ProblemCode::RateLimited:
        return "rate-limited";
    case ProblemCode::Overloaded:
        return "overloaded";
    case ProblemCode::NoUpstream:
        return "no-upstream";
    case ProblemCode::DeadlineUnreachable:
        return "deadline-unreachable";
    case ProblemCode::Quarantined:
        return "quarantined";
    case ProblemCode::Stopping:
        return "stopping";
    case ProblemCode::ClaimFailed:
        return "claim-failed";
    case ProblemCode::OutcomeUnknown:
        return "outcome-unknown";
    case ProblemCode::NotReady:
        return "not-ready";
    }
    return "unspecified";
}

std::string_view nameOf(ProblemOutcome outcome) { return outcome == ProblemOutcome::NotRun ? "not-run" : "unknown"; }

HttpResponse toResponse(const Problem& problem)
{
    const nlohmann::json body {
        { "type", "urn:eelgrassford:problem:" + std::string(nameOf(problem.code)) },
        { "title", reasonPhrase(problem.status) },
        { "status", problem.status },
        { "code", static_cast<int>(problem.code) },
        { "detail", problem.detail },
        { "outcome", nameOf(problem.outcome) },
    };
    HttpResponse response;
    response.status = problem.status;
    response.headers = { { "Content-Type", "application/problem+json" },
        { "Eelgrassford-Outcome", std::string(nameOf(problem.outcome)) } };
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter).count();
        response.headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

}
