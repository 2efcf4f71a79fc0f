#pragma once

#include "soak/Record.h"
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassford::soak {

/// @brief An execution of a request, as logged by the runner when it began.
struct Execution {
    std::string id;
    std::string runner;
    TimePoint at {};
};

/// @brief A revoked API key and the time at which the store accepted the revocation.
struct Revocation {
    std::string key;
    TimePoint at {};
};

/// @brief An evacuation of a data centre.
struct Evacuation {
    /// Its runners.
    std::vector<std::string> runners;
    /// Time at which the store acknowledged the key, and before which it was not removed; empty while it is there.
    TimePoint at {};
    std::optional<TimePoint> endsAt;
};

/// @brief What callers, runners and the store observed while one seed ran.
struct Observations {
    std::vector<Record> records;
    std::vector<Execution> executions;
    std::vector<Revocation> revocations;
    std::vector<Evacuation> evacuations;
    /// Whether the schedule had planned operations only, without faults.
    bool isPlannedOnly = false;
};

/// @brief Reads the log to which all runners append their executions.
std::vector<Execution> readExecutions(const std::filesystem::path& path);

/// @brief Checks the guarantees given to callers.
/// @return one line for each violation, starting with the request's id
std::vector<std::string> findViolations(const Observations& observations);

}
