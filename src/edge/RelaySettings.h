#pragma once

#include "common/Address.h"
#include "common/Time.h"
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::edge {

/// @brief Everything that a relaying daemon is told by its settings file, checked.
struct RelaySettings {
    std::string host;
    std::string dataCentre;
    std::string region;
    std::string ip;
    Address callers;
    Address admin;
    std::string readinessPath = "/readyz";
    /// Address for metrics alone, beside those on the admin address.
    std::optional<Address> metrics;
    Address store;
    /// UDP port on which daemons tell each other their load, the same on every host.
    std::uint16_t fleetPort = 0;
    /// Bandwidth of this host's link in megabits a second.
    double linkMegabits = 1000.0;
    /// Hosts to ask for the other hosts; may be stale.
    std::vector<std::string> seeds;
    /// Time between the signal to stop and the end of the process at the latest.
    Duration grace = std::chrono::seconds(8);
    /// Time after which withdrawn credentials must not work anywhere.
    Duration revocation = std::chrono::milliseconds(5000);
    double retryRatio = 0.2;
    double retryAllowance = 0.0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Multiple of the mean load that no runner may exceed.
    double loadBound = 2.0;
};

/// @brief A settings file that cannot be used.
struct SettingsError {
    std::string what;
    std::string message() const { return "[settings.601] " + what; }
};

/// @brief Reads a settings file; unknown keys are ignored, wrong values refused with what is allowed.
tl::expected<RelaySettings, SettingsError> parseRelaySettings(std::string_view text);

/// @brief Reads a settings file from a path.
tl::expected<RelaySettings, SettingsError> readRelaySettings(const std::string& path);

}
