#pragma once

#include "common/Time.h"
#include <cstdint>
#include <string>

namespace eelgrassford::runners {

/// @brief A runner as the platform lists it.
struct RunnerEntry {
    std::string id;
    std::string service;
    std::string ip;
    std::uint16_t port = 0;
    std::string dataCentre;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// It takes nothing new and will end.
    bool isLeaving = false;
    /// Start of this lifetime in Unix milliseconds, 0 if not stated; a runner may come back under its old id.
    std::uint64_t startedAtMs = 0;
    bool operator==(const RunnerEntry&) const = default;
};

/// @brief Load that a runner stated in a response.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// @brief What an attempt showed of a runner.
enum class Observation {
    /// It answered with a success, or with a failure that is the request's own.
    Served,
    /// It answered 5xx for a request that it ran.
    Failed,
    /// It had no room.
    Declined,
    /// The connection broke under a request.
    ConnectionLost,
    /// No connection could be established.
    CannotConnect,
    /// Nothing arrived for too long.
    Silent,
    /// Another lifetime or another runner has its address.
    Replaced,
    /// Nothing was learnt, as when the caller left.
    None,
};

/// @brief A runner with what this daemon knows of its load and health.
struct Runner {
    RunnerEntry entry;
    /// Hash of id and lifetime, equal on every daemon.
    std::uint64_t identity = 0;
    /// Requests that this daemon has under way there.
    std::uint32_t ownLoad = 0;
    /// Requests that other daemons say they have under way there.
    std::uint32_t peerLoad = 0;
    ReportedLoad reported;
    TimePoint reportedAt {};
    /// Own requests under way when the load was reported.
    std::uint32_t ownLoadAtReport = 0;

    std::uint32_t consecutiveConnectionFailures = 0;
    /// Requests that it served and failed here, older ones counting less.
    double served = 0.0;
    double failed = 0.0;
    TimePoint decayedAt {};
    TimePoint lastServedAt {};
    /// The same as other daemons count them, and how many of them avoid it now.
    double peerServed = 0.0;
    double peerFailed = 0.0;
    std::uint32_t suspendedByPeers = 0;
    TimePoint suspendedUntil {};
    Duration nextSuspension {};
    /// After a suspension one request at a time shows whether it serves again.
    bool isOnProbation = false;
    /// Last time at which a byte came from it, or it was given a request while it had none.
    TimePoint lastActivityAt {};
    /// A probe finds out whether it is reachable.
    bool isBeingProbed = false;
    TimePoint listedSince {};

    std::uint32_t knownLoad() const { return ownLoad + peerLoad; }
    double samples() const { return served + failed + peerServed + peerFailed; }
    double failureRate() const { return samples() > 0.0 ? (failed + peerFailed) / samples() : 0.0; }
};

}
