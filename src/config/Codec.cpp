#include "config/Codec.h"

#include <algorithm>

namespace eelgrassford::config {

NLOHMANN_JSON_SERIALIZE_ENUM(
    ServiceKind, { { ServiceKind::Model, "model" }, { ServiceKind::Application, "application" } })

void to_json(nlohmann::json& json, const Service& service)
{
    json = { { "name", service.name }, { "kind", service.kind } };
}

void from_json(const nlohmann::json& json, Service& service)
{
    json.at("name").get_to(service.name);
    json.at("kind").get_to(service.kind);
}

void to_json(nlohmann::json& json, const Organisation& organisation)
{
    json = { { "name", organisation.name }, { "weight", organisation.weight },
        { "rate_per_second", organisation.ratePerSecond }, { "concurrency", organisation.concurrency } };
}

void from_json(const nlohmann::json& json, Organisation& organisation)
{
    json.at("name").get_to(organisation.name);
    json.at("weight").get_to(organisation.weight);
    json.at("rate_per_second").get_to(organisation.ratePerSecond);
    json.at("concurrency").get_to(organisation.concurrency);
}

void to_json(nlohmann::json& json, const Model& model)
{
    json = { { "name", model.name }, { "version", model.version }, { "adapters", model.adapters },
        { "replicas", model.replicas }, { "load_bound", model.loadBound }, { "strategy", model.strategy } };
}

void from_json(const nlohmann::json& json, Model& model)
{
    json.at("name").get_to(model.name);
    json.at("version").get_to(model.version);
    json.at("adapters").get_to(model.adapters);
    json.at("replicas").get_to(model.replicas);
    json.at("load_bound").get_to(model.loadBound);
    json.at("strategy").get_to(model.strategy);
}

void to_json(nlohmann::json& json, const Rule& rule)
{
    json = { { "service", rule.service }, { "method", rule.method }, { "path", rule.path },
        { "idempotent", rule.isIdempotent }, { "timeout_seconds", rule.timeoutSeconds }, { "retries", rule.retries } };
}

void from_json(const nlohmann::json& json, Rule& rule)
{
    json.at("service").get_to(rule.service);
    json.at("method").get_to(rule.method);
    json.at("path").get_to(rule.path);
    json.at("idempotent").get_to(rule.isIdempotent);
    json.at("timeout_seconds").get_to(rule.timeoutSeconds);
    json.at("retries").get_to(rule.retries);
}

namespace {

    template <typename Entities>
    auto findByName(const Entities& entities, std::string_view name) -> decltype(entities.data())
    {
        auto found
            = std::find_if(entities.begin(), entities.end(), [&](const auto& entity) { return entity.name == name; });
        return found == entities.end() ? nullptr : &*found;
    }

    bool isMethodMatch(std::string_view pattern, std::string_view method)
    {
        return pattern == "*" || pattern == method;
    }

    bool isPathMatch(std::string_view pattern, std::string_view path)
    {
        if (!pattern.empty() && pattern.back() == '*')
            return path.starts_with(pattern.substr(0, pattern.size() - 1));
        return path == pattern;
    }

}

const Service* Configuration::findService(std::string_view name) const { return findByName(services, name); }
const Organisation* Configuration::findOrganisation(std::string_view name) const
{
    return findByName(organisations, name);
}
const Model* Configuration::findModel(std::string_view name) const { return findByName(models, name); }

const Rule* Configuration::findRule(std::string_view service, std::string_view method, std::string_view path) const
{
    auto found = std::find_if(rules.begin(), rules.end(), [&](const Rule& rule) {
        return rule.service == service && isMethodMatch(rule.method, method) && isPathMatch(rule.path, path);
    });
    return found == rules.end() ? nullptr : &*found;
}

}
