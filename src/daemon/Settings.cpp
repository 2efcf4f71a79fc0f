#include "daemon/Settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio.hpp>
#include <iostream>

namespace eelgrassford::daemon {

namespace {

    constexpr int usageExitCode = 2;

    std::string environmentName(const std::string& flag)
    {
        std::string name = "EELGRASSFORD_" + flag.substr(2);
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) { return c == '-' ? '_' : std::toupper(c); });
        return name;
    }

    /// Values of the flags that need parsing or a change of unit.
    struct RawSettings {
        std::string listen;
        std::string peerListen;
        std::string adminListen;
        std::string fleetKeys;
        double reportIntervalSeconds = 0.25;
        double claimRetentionSeconds = 900;
        double drainDelaySeconds = 2;
        double stopTimeoutSeconds = 600;
    };

    template <typename Value>
    CLI::Option* addFlag(CLI::App& app, const std::string& flag, Value& value, const std::string& help)
    {
        return app.add_option(flag, value, help)->envname(environmentName(flag))->capture_default_str();
    }

    void addFlags(CLI::App& app, Settings& settings, RawSettings& raw)
    {
        addFlag(app, "--host", settings.host, "Name of this host in the host list")->required();
        addFlag(app, "--region", settings.region, "Region of this host")->required();
        addFlag(app, "--data-centre", settings.dataCentre, "Data centre of this host")->required();
        addFlag(app, "--listen", raw.listen, "IP:PORT for callers")->required();
        addFlag(app, "--peer-listen", raw.peerListen, "IP:PORT for other daemons")->required();
        addFlag(app, "--admin-listen", raw.adminListen, "IP:PORT for operators: health, metrics, status")->required();
        addFlag(app, "--configuration-url", settings.configurationUrl,
            "Base URL of the published bundle in the configuration service")
            ->required();
        addFlag(app, "--host-list-url", settings.hostListUrl, "URL of the host list")->required();
        addFlag(app, "--fleet-keys", raw.fleetKeys, "NAME:SECRET[,NAME:SECRET]; the first key signs, all are accepted")
            ->required();
        addFlag(app, "--traffic-threads", settings.trafficThreads, "Threads that serve callers")
            ->check(CLI::Range(1, 64));
        addFlag(app, "--body-limit", settings.bodyLimit, "Largest request body in bytes")
            ->check(CLI::Range(1024, 1 << 28));
        addFlag(app, "--queue-limit", settings.queueLimit, "Requests that may wait for admission")
            ->check(CLI::Range(0, 1000000));
        addFlag(app, "--requests-per-runner", settings.requestsPerRunner,
            "Most requests in flight that a runner should have")
            ->check(CLI::Range(1.0, 100000.0));
        addFlag(app, "--report-interval", raw.reportIntervalSeconds, "Seconds between load reports of a runner")
            ->check(CLI::Range(0.01, 60.0));
        addFlag(app, "--claim-retention", raw.claimRetentionSeconds,
            "Seconds for which idempotency keys and their answers are kept")
            ->check(CLI::Range(60.0, 86400.0));
        addFlag(app, "--first-start-revision", settings.firstStartRevision,
            "Configuration revision at which this fleet starts for the first time; ignored at any other revision");
        addFlag(app, "--drain-delay", raw.drainDelaySeconds,
            "Seconds between becoming unready and refusing new connections during a stop")
            ->check(CLI::Range(0.0, 600.0));
        addFlag(app, "--stop-timeout", raw.stopTimeoutSeconds,
            "Longest time in seconds that a stop waits for requests in flight")
            ->check(CLI::Range(0.0, 86400.0));
        addFlag(app, "--log-level", settings.logLevel, "debug, info, warn or error")
            ->check(CLI::IsMember({ "debug", "info", "warn", "error" }));
    }

    bool isHttpUrl(const std::string& url)
    {
        return url.starts_with("http://") && url.size() > std::string("http://").size();
    }

    /// Parses and validates what CLI11 cannot; returns one message per invalid setting.
    std::vector<std::string> validate(Settings& settings, const RawSettings& raw)
    {
        std::vector<std::string> errors;
        auto readAddress = [&](const std::string& flag, const std::string& text, Address& address) {
            if (const auto parsed = Address::parse(text))
                address = *parsed;
            else
                errors.push_back(flag + ": '" + text + "' is not IP:PORT");
        };
        readAddress("--listen", raw.listen, settings.listen);
        readAddress("--peer-listen", raw.peerListen, settings.peerListen);
        readAddress("--admin-listen", raw.adminListen, settings.adminListen);
        if (!isHttpUrl(settings.configurationUrl))
            errors.push_back("--configuration-url: must begin with http://");
        if (!isHttpUrl(settings.hostListUrl))
            errors.push_back("--host-list-url: must begin with http://");
        if (const auto keys = peer::parseFleetKeys(raw.fleetKeys))
            settings.fleetKeys = *keys;
        else
            errors.push_back("--fleet-keys: must be NAME:SECRET[,NAME:SECRET] with secrets of at least 16 characters");
        settings.reportInterval = fromSeconds(raw.reportIntervalSeconds);
        settings.claimRetention = fromSeconds(raw.claimRetentionSeconds);
        settings.drainDelay = fromSeconds(raw.drainDelaySeconds);
        settings.stopTimeout = fromSeconds(raw.stopTimeoutSeconds);
        return errors;
    }

}

std::optional<Settings> readSettings(int argumentCount, const char* const* arguments, int& exitCode)
{
    Settings settings;
    RawSettings raw;
    CLI::App app {
        "Routes callers' requests to model engines and application runners.\n"
        "Every flag can be given as an environment variable as well: --data-centre is EELGRASSFORD_DATA_CENTRE."
    };
    app.set_version_flag("--version", "eelgrassfordd 0.1.0");
    addFlags(app, settings, raw);
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::CallForHelp& help) {
        exitCode = app.exit(help);
        return std::nullopt;
    } catch (const CLI::CallForVersion& version) {
        exitCode = app.exit(version);
        return std::nullopt;
    } catch (const CLI::ParseError& error) {
        std::cerr << "eelgrassfordd: " << error.what() << "\n";
        exitCode = usageExitCode;
        return std::nullopt;
    }
    const auto errors = validate(settings, raw);
    for (const auto& error : errors)
        std::cerr << "eelgrassfordd: " << error << "\n";
    if (!errors.empty()) {
        exitCode = usageExitCode;
        return std::nullopt;
    }
    return settings;
}

}
