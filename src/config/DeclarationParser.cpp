#include "config/DeclarationParser.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace eelgrassford::config {

namespace {

    constexpr double maximumTimeoutSeconds = 3600.0;
    constexpr double maximumLoadBound = 10.0;
    constexpr std::size_t maximumNameLength = 128;

    /// Reads typed values from one TOML table and records an error for each invalid value.
    class TableReader {
    public:
        TableReader(const toml::table& table, std::string_view file, std::string_view kind, Errors& errors)
            : m_table(table)
            , m_file(file)
            , m_kind(kind)
            , m_errors(errors)
        {
        }

        std::string where(const toml::node* node = nullptr) const
        {
            const auto& source = node ? node->source() : m_table.source();
            return m_file + ":" + std::to_string(source.begin.line);
        }

        void report(ErrorCode code, const toml::node* node, std::string what)
        {
            m_errors.push_back({ code, where(node), std::move(what) });
        }

        std::string name(std::string_view key, bool isRequired, std::string fallback = {})
        {
            const auto* node = find(key);
            if (!node) {
                if (isRequired)
                    report(ErrorCode::MissingKey, nullptr, quoted(key) + " is missing; add it");
                return fallback;
            }
            auto value = node->value_exact<std::string>();
            if (!value) {
                report(ErrorCode::WrongType, node, quoted(key) + " must be a string");
                return fallback;
            }
            if (value->empty() || value->size() > maximumNameLength) {
                report(ErrorCode::OutOfRange, node,
                    quoted(key) + " must have between 1 and " + std::to_string(maximumNameLength) + " characters");
            }
            return *value;
        }

        double number(std::string_view key, double fallback, double low, double high)
        {
            const auto* node = find(key);
            if (!node)
                return fallback;
            auto value = node->value<double>();
            if (!value || node->is_boolean()) {
                report(ErrorCode::WrongType, node, quoted(key) + " must be a number");
                return fallback;
            }
            // The negated form also rejects NaN.
            if (!(*value >= low && *value <= high)) {
                std::ostringstream message;
                message << quoted(key) << " must lie between " << low << " and " << high;
                report(ErrorCode::OutOfRange, node, message.str());
                return fallback;
            }
            return *value;
        }

        std::uint32_t count(std::string_view key, std::uint32_t fallback, std::uint32_t high)
        {
            const auto* node = find(key);
            if (node && !node->is_integer()) {
                report(ErrorCode::WrongType, node, quoted(key) + " must be a whole number");
                return fallback;
            }
            return static_cast<std::uint32_t>(number(key, fallback, 0, high));
        }

        std::optional<bool> flag(std::string_view key)
        {
            const auto* node = find(key);
            if (!node)
                return std::nullopt;
            auto value = node->value_exact<bool>();
            if (!value)
                report(ErrorCode::WrongType, node, quoted(key) + " must be true or false");
            return value;
        }

        std::vector<std::string> names(std::string_view key)
        {
            const auto* node = find(key);
            std::vector<std::string> values;
            if (!node)
                return values;
            const auto* array = node->as_array();
            if (!array) {
                report(ErrorCode::WrongType, node, quoted(key) + " must be a list of strings");
                return values;
            }
            for (const auto& element : *array) {
                if (auto value = element.value_exact<std::string>())
                    values.push_back(*value);
                else
                    report(ErrorCode::WrongType, &element, quoted(key) + " must be a list of strings");
            }
            return values;
        }

        /// Reports every key of the table that has not been read.
        void reportUnknownKeys()
        {
            for (const auto& [key, node] : m_table) {
                if (!m_knownKeys.contains(std::string(key.str())))
                    report(ErrorCode::UnknownKey, &node,
                        "unknown key " + quoted(key.str()) + "; remove it or mend its spelling");
            }
        }

    private:
        const toml::node* find(std::string_view key)
        {
            m_knownKeys.emplace(key);
            return m_table.get(key);
        }

        std::string quoted(std::string_view key) const { return "'" + m_kind + "." + std::string(key) + "'"; }

        const toml::table& m_table;
        std::string m_file;
        std::string m_kind;
        Errors& m_errors;
        std::set<std::string, std::less<>> m_knownKeys;
    };

    Service readService(TableReader& reader)
    {
        Service service;
        service.name = reader.name("name", true);
        const auto kind = reader.name("kind", true, "application");
        if (kind != "model" && kind != "application")
            reader.report(
                ErrorCode::OutOfRange, nullptr, "'service.kind' must be 'model' or 'application', not '" + kind + "'");
        service.kind = kind == "model" ? ServiceKind::Model : ServiceKind::Application;
        return service;
    }

    Organisation readOrganisation(TableReader& reader)
    {
        Organisation organisation;
        organisation.name = reader.name("name", true);
        organisation.weight = reader.number("weight", organisation.weight, 0.001, 1e6);
        organisation.ratePerSecond = reader.number("rate_per_second", 0.0, 0.0, 1e9);
        organisation.concurrency = reader.count("concurrency", 0, 1000000);
        return organisation;
    }

    Model readModel(TableReader& reader)
    {
        Model model;
        model.name = reader.name("name", true);
        model.version = reader.name("version", false, model.version);
        model.adapters = reader.names("adapters");
        model.replicas = reader.count("replicas", model.replicas, 1000000);
        model.loadBound = reader.number("load_bound", model.loadBound, 1.0, maximumLoadBound);
        model.strategy = reader.name("strategy", false, model.strategy);
        return model;
    }

    Rule readRule(TableReader& reader, const std::string& defaultService)
    {
        Rule rule;
        rule.service = reader.name("service", defaultService.empty(), defaultService);
        rule.method = reader.name("method", false, rule.method);
        std::transform(rule.method.begin(), rule.method.end(), rule.method.begin(),
            [](unsigned char c) { return std::toupper(c); });
        rule.path = reader.name("path", false, rule.path);
        const auto idempotent = reader.flag("idempotent");
        if (!idempotent)
            reader.report(ErrorCode::MissingKey, nullptr, "'rule.idempotent' is missing; say true or false");
        rule.isIdempotent = idempotent.value_or(false);
        rule.timeoutSeconds = reader.number("timeout_seconds", rule.timeoutSeconds, 0.1, maximumTimeoutSeconds);
        rule.retries = reader.count("retries", rule.retries, 10);
        return rule;
    }

    using TableHandler = std::function<void(TableReader&)>;

    /// Calls the handler for a single table, or for each table of an array of tables.
    void readTables(const toml::node& node, std::string_view kind, std::string_view file, Errors& errors,
        const TableHandler& handler)
    {
        auto readOne = [&](const toml::node& element) {
            const auto* table = element.as_table();
            if (!table) {
                errors.push_back(
                    { ErrorCode::WrongType, std::string(file) + ":" + std::to_string(element.source().begin.line),
                        "'" + std::string(kind) + "' must be a table" });
                return;
            }
            TableReader reader(*table, file, kind, errors);
            handler(reader);
            reader.reportUnknownKeys();
        };
        if (const auto* array = node.as_array()) {
            for (const auto& element : *array)
                readOne(element);
            return;
        }
        readOne(node);
    }

    template <typename Entities> void checkDuplicates(const Entities& entities, std::string_view kind, Errors& errors)
    {
        std::set<std::string> names;
        for (const auto& entity : entities) {
            if (!names.insert(entity.name).second) {
                errors.push_back({ ErrorCode::Duplicate, std::string(kind) + " '" + entity.name + "'",
                    "declared more than once; keep one declaration" });
            }
        }
    }

}

void DeclarationParser::add(std::string_view text, std::string_view file)
{
    toml::table document;
    try {
        document = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        m_errors.push_back({ ErrorCode::Syntax, std::string(file) + ":" + std::to_string(error.source().begin.line),
            std::string(error.description()) });
        return;
    }

    std::string defaultService;
    const std::vector<std::pair<std::string_view, TableHandler>> handlers {
        { "service",
            [&](TableReader& reader) {
                m_configuration.services.push_back(readService(reader));
                defaultService = m_configuration.services.back().name;
            } },
        { "organisation",
            [&](TableReader& reader) { m_configuration.organisations.push_back(readOrganisation(reader)); } },
        { "model", [&](TableReader& reader) { m_configuration.models.push_back(readModel(reader)); } },
        { "rule", [&](TableReader& reader) { m_configuration.rules.push_back(readRule(reader, defaultService)); } },
    };
    for (const auto& [kind, handler] : handlers) {
        if (const auto* node = document.get(kind))
            readTables(*node, kind, file, m_errors, handler);
    }
    for (const auto& [key, node] : document) {
        const auto isKnown = std::any_of(handlers.begin(), handlers.end(),
            [name = key.str()](const auto& handler) { return handler.first == name; });
        if (!isKnown) {
            m_errors.push_back(
                { ErrorCode::UnknownKey, std::string(file) + ":" + std::to_string(node.source().begin.line),
                    "unknown table '" + std::string(key.str()) + "'; use service, organisation, model or rule" });
        }
    }
}

tl::expected<Configuration, Errors> DeclarationParser::finish()
{
    checkDuplicates(m_configuration.services, "service", m_errors);
    checkDuplicates(m_configuration.organisations, "organisation", m_errors);
    checkDuplicates(m_configuration.models, "model", m_errors);
    for (const auto& rule : m_configuration.rules) {
        if (!m_configuration.findService(rule.service)) {
            m_errors.push_back({ ErrorCode::UnknownReference, "rule " + rule.method + " " + rule.path,
                "service '" + rule.service + "' is not declared; declare it or mend the name" });
        }
    }
    if (!m_errors.empty())
        return tl::make_unexpected(std::move(m_errors));
    auto byName = [](const auto& left, const auto& right) { return left.name < right.name; };
    std::sort(m_configuration.services.begin(), m_configuration.services.end(), byName);
    std::sort(m_configuration.organisations.begin(), m_configuration.organisations.end(), byName);
    std::sort(m_configuration.models.begin(), m_configuration.models.end(), byName);
    return std::move(m_configuration);
}

}
