#pragma once

#include "gateway/CallerBudget.h"
#include <filesystem>
#include <optional>

namespace eelgrassford::edge {

/// @brief Memory and descriptors that this process may use.
struct HostLimits {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// @brief Limits of the settings; empty ones follow from the host.
struct LimitSettings {
    /// Megabytes (10^6 bytes) of memory for the process.
    std::optional<double> memoryMegabytes;
    std::optional<double> descriptors;
    /// Least bytes per second of a body or of a response, over 30 s; 0 for no minimum.
    double minBytesPerSecond = gateway::CallerBudgetOptions {}.minBytesPerSecond;
};

/// @brief Smallest memory limit of this process's control groups (versions 1 and 2); empty without one.
/// @param root directory in place of "/", for tests
std::optional<std::size_t> controlGroupMemory(const std::filesystem::path& root = "/");

/// @brief The limits in force: a memory limit from the settings replaces that of the host, and a limit of descriptors
/// can only be lower than the host's.
HostLimits hostLimits(const LimitSettings& settings);

/// @brief The part of a process's limits that is for callers.
gateway::CallerBudgetOptions callerBudget(const HostLimits& limits, double minBytesPerSecond);

/// @brief Makes the allocator return large buffers to the system as soon as they are freed; call before other threads
/// start.
void limitRetainedMemory();

/// @brief Returns memory that the allocator keeps to the system.
void returnFreeMemory();

}
