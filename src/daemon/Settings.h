#pragma once

#include "common/Address.h"
#include "common/Time.h"
#include "peer/Handshake.h"
#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassford::daemon {

/// @brief Validated settings of a daemon, from command line flags and environment variables.
struct Settings {
    /// Name of this host in the host list.
    std::string host;
    std::string region;
    std::string dataCentre;
    /// Address for callers.
    Address listen;
    /// Address for other daemons.
    Address peerListen;
    /// Address for operators: health, metrics, status.
    Address adminListen;
    /// Base URL of the published bundle in the configuration service.
    std::string configurationUrl;
    std::string hostListUrl;
    peer::FleetKeys fleetKeys;
    std::uint32_t trafficThreads = 2;
    /// Largest request body in bytes.
    std::size_t bodyLimit = 8u << 20;
    /// Requests that may wait for admission.
    std::size_t queueLimit = 1000;
    /// Most requests in flight that a runner of weight 1 should have; sets the capacity for admission.
    double requestsPerRunner = 64.0;
    /// Interval at which the load report of each upstream is fetched.
    Duration reportInterval = std::chrono::milliseconds(250);
    /// Time for which idempotency keys and their answers are kept.
    Duration claimRetention = std::chrono::minutes(15);
    /// Configuration revision at which the fleet is started for the first time; 0 means that it has run before.
    std::uint64_t firstStartRevision = 0;
    /// Time between becoming unready and refusing new connections during a stop.
    Duration drainDelay = std::chrono::seconds(2);
    /// Longest time that a stop waits for requests in flight.
    Duration stopTimeout = std::chrono::minutes(10);
    std::string logLevel = "info";
};

/// @brief Reads and validates flags and environment variables; prints help, the version or errors.
/// @param exitCode set if no settings are returned: 0 after help or the version, 2 after errors
/// @return the settings, or nullopt if the process should exit
std::optional<Settings> readSettings(int argumentCount, const char* const* arguments, int& exitCode);

}
