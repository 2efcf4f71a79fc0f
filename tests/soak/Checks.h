#pragma once

#include "soak/Record.h"
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace eelgrassford::soak {

/// @brief A run that a runner began, by its own word.
struct Run {
    std::string id;
    std::string runner;
    TimePoint at {};
};

/// @brief A key that was taken away, and when the store had it.
struct Revocation {
    std::string key;
    TimePoint at {};
};

/// @brief Everything that was seen of a run of the soak.
struct Evidence {
    std::vector<Record> records;
    std::vector<Run> runs;
    std::vector<Revocation> revocations;
    /// Only planned work was done.
    bool isPlannedOnly = false;
};

/// @brief Reads the log that all runners append to.
std::vector<Run> readRuns(const std::filesystem::path& path);

/// @brief The promises that were broken, one line each, with the request's id.
std::vector<std::string> brokenPromises(const Evidence& evidence);

}
