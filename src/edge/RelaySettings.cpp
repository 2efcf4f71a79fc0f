#include "edge/RelaySettings.h"

#include <fstream>
#include <sstream>
#include <toml++/toml.h>

namespace eelgrassford::edge {

namespace {

    /// Reads typed values from a document and collects a message for each missing or invalid one.
    class SettingsReader {
    public:
        explicit SettingsReader(const toml::table& document)
            : m_document(document)
        {
        }

        std::string text(std::string_view path)
        {
            const auto value = m_document.at_path(path).value<std::string>();
            if (!value || value->empty())
                report(path, "a text that is not empty");
            return value.value_or("");
        }

        std::string optionalText(std::string_view path, std::string fallback)
        {
            const auto node = m_document.at_path(path);
            const auto value = node.value<std::string>();
            if (node && !value)
                report(path, "a text");
            return value.value_or(std::move(fallback));
        }

        Address address(std::string_view path)
        {
            const auto value = m_document.at_path(path).value<std::string>();
            const auto result = value ? Address::parse(*value) : std::nullopt;
            if (!result)
                report(path, "IP:PORT");
            return result.value_or(Address {});
        }

        double number(std::string_view path, double fallback, double minimum, double maximum)
        {
            const auto node = m_document.at_path(path);
            if (!node)
                return fallback;
            const auto value = node.value<double>();
            if (!value || *value < minimum || *value > maximum) {
                report(path, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
                return fallback;
            }
            return *value;
        }

        std::optional<double> optionalNumber(std::string_view path, double minimum, double maximum)
        {
            // Platforms state 0 for a limit that a host does not have.
            const auto value = m_document.at_path(path).value<double>();
            if (!m_document.at_path(path) || value == 0.0)
                return std::nullopt;
            return number(path, minimum, minimum, maximum);
        }

        std::vector<std::string> texts(std::string_view path)
        {
            std::vector<std::string> result;
            const auto* array = m_document.at_path(path).as_array();
            if (!array)
                return result;
            for (const auto& element : *array) {
                if (const auto value = element.value<std::string>())
                    result.push_back(*value);
                else
                    report(path, "a list of texts");
            }
            return result;
        }

        const std::string& errors() const { return m_errors; }

    private:
        void report(std::string_view path, const std::string& allowed)
        {
            std::ostringstream problem;
            problem << path;
            if (const auto node = m_document.at_path(path))
                node.visit([&](const auto& value) { problem << " = " << value << " is not " << allowed; });
            else
                problem << " is missing; it is " << allowed;
            m_errors += (m_errors.empty() ? "" : "; ") + problem.str();
        }

        const toml::table& m_document;
        std::string m_errors;
    };

    constexpr double maxSeconds = 86400.0;
    constexpr double maxMilliseconds = maxSeconds * 1000.0;
    /// The process itself takes about 13 MB.
    constexpr double minMemoryMegabytes = 16.0;
    constexpr double maxMemoryMegabytes = 1e7;
    constexpr double minDescriptors = 64.0;
    constexpr double maxDescriptors = 1e7;
    /// Above it the callers of a small host could not all upload over its link.
    constexpr double maxMinTransferRate = 400.0;

    Duration milliseconds(double value) { return fromSeconds(value / 1000.0); }

}

tl::expected<RelaySettings, SettingsError> parseRelaySettings(std::string_view text)
{
    toml::table document;
    try {
        document = toml::parse(text);
    } catch (const toml::parse_error& error) {
        std::ostringstream position;
        position << error.source().begin;
        return tl::unexpected(SettingsError { std::string(error.description()) + " at " + position.str() });
    }
    SettingsReader reader(document);
    RelaySettings settings;
    settings.host = reader.text("host");
    settings.dataCentre = reader.text("data_centre");
    settings.region = reader.optionalText("region", settings.dataCentre);
    settings.ip = reader.text("ip");
    settings.callerAddress = reader.address("listen.callers");
    settings.adminAddress = reader.address("listen.admin");
    settings.readinessPath = reader.optionalText("listen.readiness_path", settings.readinessPath);
    if (document.at_path("listen.metrics"))
        settings.metricsAddress = reader.address("listen.metrics");
    settings.storeAddress = reader.address("store.address");
    settings.fleetPort = static_cast<std::uint16_t>(reader.number("fleet.port", 0, 0, 65535));
    settings.linkMegabitsPerSecond = reader.number("fleet.link_megabits", settings.linkMegabitsPerSecond, 0.1, 1e6);
    settings.seeds = reader.texts("fleet.seeds");
    settings.stopGracePeriod
        = fromSeconds(reader.number("stop.grace_seconds", toSeconds(settings.stopGracePeriod), 0.5, maxSeconds));
    settings.configurationDeadline = milliseconds(reader.number(
        "configuration.apply_milliseconds", toMilliseconds(settings.configurationDeadline), 100, maxMilliseconds));
    settings.revocationDeadline = milliseconds(reader.number(
        "credentials.revocation_milliseconds", toMilliseconds(settings.revocationDeadline), 100, maxMilliseconds));
    settings.retryRatio = reader.number("retries.ratio", settings.retryRatio, 0, 10);
    settings.retryAllowance = reader.number("retries.allowance", settings.retryAllowance, 0, 1e6);
    settings.retryWindow
        = fromSeconds(reader.number("retries.window_seconds", toSeconds(settings.retryWindow), 0.1, maxSeconds));
    settings.loadBound = reader.number("runners.load_bound", settings.loadBound, 1, 100);
    settings.placesByReports = reader.optionalText("runners.placement", "load") == "work";
    settings.fleetDataCentreLosses = static_cast<std::uint32_t>(reader.number("fleet.data_centre_losses", 0, 0, 100));
    settings.toleratedDataCentreLosses
        = static_cast<std::uint32_t>(reader.number("runners.tolerated_data_centre_losses", 0, 0, 100));
    settings.limits.memoryMegabytes
        = reader.optionalNumber("memory.limit_megabytes", minMemoryMegabytes, maxMemoryMegabytes);
    settings.limits.descriptors = reader.optionalNumber("memory.max_descriptors", minDescriptors, maxDescriptors);
    settings.limits.minBytesPerSecond
        = reader.number("memory.min_bytes_per_second", settings.limits.minBytesPerSecond, 0, maxMinTransferRate);
    settings.coldOverage = reader.number("runners.cold_overage", settings.coldOverage, 0, 100);
    settings.coldSlack = reader.number("runners.cold_slack", settings.coldSlack, 0, 1e6);
    if (!reader.errors().empty())
        return tl::unexpected(SettingsError { reader.errors() });
    return settings;
}

tl::expected<RelaySettings, SettingsError> readRelaySettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(SettingsError { "cannot read " + path });
    std::ostringstream text;
    text << file.rdbuf();
    return parseRelaySettings(text.str());
}

}
