#pragma once

#include "edge/DocumentCodec.h"
#include "proxy/Codec.h"
#include "store/Protocol.h"
#include <string>

namespace eelgrassford::edge {

/// @brief Formats of a platform: the protocol of its store, its published documents and its HTTP headers.
struct PlatformAdapter {
    const store::Protocol& store;
    const DocumentCodec& documents;
    const proxy::Codec& headers;
};

/// @brief Runs the daemon as a relay between callers and runners until it is told to stop.
/// @param settingsPath settings file; see RelaySettings
/// @param logLevel "debug", "info", "warn" or "error"
/// @return exit code of the process
int runRelay(const std::string& settingsPath, const std::string& logLevel, const PlatformAdapter& adapter);

}
