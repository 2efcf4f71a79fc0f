#pragma once

#include "common/Address.h"
#include "common/Time.h"
#include "edge/HostLimits.h"
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::edge {

/// @brief Validated contents of the settings file of a relaying daemon.
struct RelaySettings {
    std::string host;
    std::string dataCentre;
    /// Daemons exchange digests only within a region; by default the data centre.
    std::string region;
    /// Address on which the other daemons reach this one.
    std::string ip;
    /// Address on which callers are served.
    Address callerAddress;
    /// Address of the readiness check, the status and the metrics.
    Address adminAddress;
    std::string readinessPath = "/readyz";
    /// Additional address that serves the metrics, besides the admin address.
    std::optional<Address> metricsAddress;
    /// Address of the store that publishes the configuration and the runners.
    Address storeAddress;
    /// Port for digests (UDP) and published changes (TCP) between daemons; the same on every host.
    std::uint16_t fleetPort = 0;
    /// Bandwidth of this host's link, in megabits per second.
    double linkMegabitsPerSecond = 1000.0;
    /// Addresses (IP:PORT) of hosts through which the other hosts are discovered; may be out of date. The port is
    /// not used.
    std::vector<std::string> seeds;
    /// Longest time from the stop signal to the exit of the process.
    Duration stopGracePeriod = std::chrono::seconds(8);
    /// Longest time from the publication of a configuration until every daemon uses it.
    Duration configurationDeadline = std::chrono::milliseconds(2000);
    /// Longest time from the revocation of a credential until every daemon refuses it.
    Duration revocationDeadline = std::chrono::milliseconds(5000);
    /// Retries of the whole fleet per first attempt within the retry window.
    double retryRatio = 0.2;
    /// Retries that the whole fleet may send within the retry window besides those by the ratio.
    double retryAllowance = 0.0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Largest permitted load of a runner, as a multiple of the mean load.
    double loadBound = 2.0;
    /// Data centres that the deployment may lose at once. If there are any, requests stay in the data centre of the
    /// daemon, where possible.
    std::uint32_t toleratedDataCentreLosses = 0;
    /// Whether services whose runners report how long work takes on them are placed by work.
    bool placesByReports = false;
    /// The same for the messages between daemons, which are aggregated from a smaller fleet on if there are any.
    std::uint32_t fleetDataCentreLosses = 0;
    /// Memory and descriptors of this process.
    LimitSettings limits;
    /// Requests that a cold runner may get within any second: this multiple of the rate that it sustains, and this
    /// number besides.
    double coldOverage = 1.0;
    double coldSlack = 0.0;
};

/// @brief A settings file that cannot be used.
struct SettingsError {
    std::string what;
    /// @brief The description with the number of the error.
    std::string message() const { return "[settings.601] " + what; }
};

/// @brief Parses a settings file in TOML. Unknown keys are ignored.
/// @return the settings, or an error that names each invalid value and what is allowed
tl::expected<RelaySettings, SettingsError> parseRelaySettings(std::string_view text);

/// @brief Reads and parses the settings file at @a path.
tl::expected<RelaySettings, SettingsError> readRelaySettings(const std::string& path);

}
