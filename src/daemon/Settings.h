#pragma once

#include "common/Address.h"
#include "common/Time.h"
#include "peer/Handshake.h"
#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassford::daemon {

/// @brief Everything that a daemon is told at its start, checked.
struct Settings {
    std::string host;
    std::string region;
    std::string dataCentre;
    Address listen;
    Address peerListen;
    Address adminListen;
    std::string configurationUrl;
    std::string hostListUrl;
    peer::FleetKeys fleetKeys;
    std::uint32_t trafficThreads = 2;
    std::size_t bodyLimit = 8u << 20;
    std::size_t queueLimit = 1000;
    double requestsPerRunner = 64.0;
    Duration reportInterval = std::chrono::milliseconds(250);
    Duration claimRetention = std::chrono::minutes(15);
    /// Revision at which the fleet is started for the first time; 0 means that it has run before.
    std::uint64_t firstStartRevision = 0;
    Duration drainDelay = std::chrono::seconds(2);
    Duration stopTimeout = std::chrono::minutes(10);
    std::string logLevel = "info";
};

/// @brief Reads flags and environment variables.
/// @return the settings, or the exit code after help or errors were printed
std::optional<Settings> readSettings(int argumentCount, const char* const* arguments, int& exitCode);

}
