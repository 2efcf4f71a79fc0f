#include "gateway/CallerRequest.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace eelgrassford::gateway {

namespace {

    constexpr std::string_view organisationHeader = "Eelgrassford-Organisation";
    constexpr std::string_view chatHeader = "Eelgrassford-Chat";
    constexpr std::string_view priorityHeader = "Eelgrassford-Priority";
    constexpr std::string_view keyHeader = "Idempotency-Key";
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::size_t maximumKeyLength = 255;
    constexpr double defaultModelTimeoutSeconds = 300.0;
    constexpr std::uint32_t defaultRetries = 2;
    constexpr int maximumPriority = 9;

    using Result = tl::expected<CallerRequest, Problem>;

    auto fail(std::uint16_t status, ProblemCode code, std::string detail)
    {
        return tl::make_unexpected(Problem { status, code, std::move(detail), ProblemOutcome::NotRun, {} });
    }

    bool isSafeMethod(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

    void applyRule(const config::Rule* rule, CallerRequest& result)
    {
        if (!rule)
            return;
        result.isIdempotent = rule->isIdempotent;
        result.timeoutSeconds = rule->timeoutSeconds;
        result.retries = rule->retries;
    }

    /// Reads the headers that every routed request may carry.
    std::optional<Problem> readHeaders(
        const HttpRequest& request, const config::Configuration& configuration, CallerRequest& result)
    {
        const auto organisation = request.header(organisationHeader);
        if (!organisation || request.headerCount(organisationHeader) > 1
            || !configuration.findOrganisation(*organisation))
            return Problem { 403, ProblemCode::UnknownOrganisation,
                "the header Eelgrassford-Organisation must name a declared organisation once", ProblemOutcome::NotRun,
                {} };
        result.organisation = *organisation;
        if (const auto priority = request.header(priorityHeader)) {
            const auto [end, error]
                = std::from_chars(priority->data(), priority->data() + priority->size(), result.priority);
            if (error != std::errc {} || end != priority->data() + priority->size() || result.priority < 0
                || result.priority > maximumPriority)
                return Problem { 400, ProblemCode::MalformedRequest,
                    "Eelgrassford-Priority must be a digit from 0 to 9", ProblemOutcome::NotRun, {} };
        }
        if (const auto value = request.header(keyHeader)) {
            const auto key = parseIdempotencyKey(*value);
            if (!key || request.headerCount(keyHeader) > 1)
                return Problem { 400, ProblemCode::BadIdempotencyKey,
                    "Idempotency-Key must be given once, with 1 to 255 visible ASCII characters",
                    ProblemOutcome::NotRun, {} };
            result.idempotencyKey = *key;
        }
        return std::nullopt;
    }

    Result readModelRequest(
        const HttpRequest& request, const config::Configuration& configuration, CallerRequest result)
    {
        if (request.method != "POST")
            return fail(405, ProblemCode::UnknownPath, "use POST");
        auto chat = dispatch::parseChatRequest(request.body, request.header(chatHeader).value_or(std::string_view {}));
        if (!chat)
            return fail(400, ProblemCode::MalformedRequest, chat.error().what);
        if (!configuration.findModel(chat->model))
            return fail(404, ProblemCode::UnknownModel, "model '" + chat->model + "' is not declared");
        result.chat = std::move(*chat);
        result.destination = result.chat.model;
        result.isModel = true;
        result.isIdempotent = true;
        result.timeoutSeconds = defaultModelTimeoutSeconds;
        result.retries = defaultRetries;
        result.upstreamTarget = request.target;
        const auto service = std::find_if(configuration.services.begin(), configuration.services.end(),
            [](const config::Service& item) { return item.kind == config::ServiceKind::Model; });
        if (service != configuration.services.end())
            applyRule(configuration.findRule(service->name, request.method, request.path()), result);
        return result;
    }

    Result readServiceRequest(
        const HttpRequest& request, const config::Configuration& configuration, CallerRequest result)
    {
        const auto rest = std::string_view(request.target).substr(servicesPrefix.size());
        const auto nameEnd = std::min(rest.find_first_of("/?"), rest.size());
        const auto name = rest.substr(0, nameEnd);
        const auto* service = configuration.findService(name);
        if (!service || service->kind != config::ServiceKind::Application)
            return fail(404, ProblemCode::UnknownService, "service '" + std::string(name) + "' is not declared");
        result.destination = service->name;
        result.upstreamTarget = rest.substr(nameEnd);
        if (!result.upstreamTarget.starts_with('/'))
            result.upstreamTarget.insert(0, "/");
        const std::string_view path
            = std::string_view(result.upstreamTarget).substr(0, result.upstreamTarget.find('?'));
        result.isIdempotent = isSafeMethod(request.method);
        result.retries = defaultRetries;
        applyRule(configuration.findRule(service->name, request.method, path), result);
        return result;
    }

}

std::optional<std::string> parseIdempotencyKey(std::string_view value)
{
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
        value = value.substr(1, value.size() - 2);
    const bool isVisible = std::all_of(
        value.begin(), value.end(), [](char c) { return c > 0x20 && c < 0x7f && c != '"' && c != '\\' && c != ','; });
    if (value.empty() || value.size() > maximumKeyLength || !isVisible)
        return std::nullopt;
    return std::string(value);
}

tl::expected<CallerRequest, Problem> readCallerRequest(
    const HttpRequest& request, const config::Configuration& configuration)
{
    CallerRequest result;
    if (auto problem = readHeaders(request, configuration, result))
        return tl::make_unexpected(std::move(*problem));
    const auto path = request.path();
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        return readModelRequest(request, configuration, std::move(result));
    if (path.starts_with(servicesPrefix))
        return readServiceRequest(request, configuration, std::move(result));
    return fail(
        404, ProblemCode::UnknownPath, "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/...");
}

HttpResponse listModels(const config::Configuration& configuration)
{
    nlohmann::json data = nlohmann::json::array();
    for (const auto& model : configuration.models)
        data.push_back({ { "id", model.name }, { "object", "model" }, { "owned_by", "eelgrassford" } });
    return { 200, { { "Content-Type", "application/json" } },
        nlohmann::json { { "object", "list" }, { "data", data } }.dump() };
}

}
