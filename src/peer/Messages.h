#pragma once

#include "admission/AdmissionController.h"
#include "claims/Messages.h"
#include "config/Bundle.h"
#include "membership/HostList.h"
#include <string>
#include <variant>
#include <vector>

namespace eelgrassford::peer {

using HostId = std::string;

/// @brief Sent at a steady interval; says what the sender has, so that peers ask only for what is new.
struct Heartbeat {
    std::uint64_t configurationRevision = 0;
    std::string configurationHash;
    std::uint64_t hostListRevision = 0;
    bool isReady = false;
    bool operator==(const Heartbeat&) const = default;
};

struct ConfigurationRequest {
    /// Hashes of the parts that the asker already holds.
    std::vector<std::string> heldParts;
    bool operator==(const ConfigurationRequest&) const = default;
};

struct ConfigurationReply {
    config::Manifest manifest;
    /// Only the parts that the asker lacks.
    std::vector<std::string> parts;
    bool operator==(const ConfigurationReply&) const = default;
};

struct HostListRequest {
    bool operator==(const HostListRequest&) const = default;
};

struct HostListReply {
    membership::HostList list;
    bool operator==(const HostListReply&) const = default;
};

/// @brief Work given to a runner since the last digest.
struct WorkDelta {
    HostId runner;
    double work = 0.0;
    bool operator==(const WorkDelta&) const = default;
};

/// @brief A chat whose warm runner is not its first choice; an empty runner ends the exception.
struct PlacementException {
    std::uint64_t chat = 0;
    HostId runner;
    std::uint32_t tokens = 0;
    HostId previous;
    bool operator==(const PlacementException&) const = default;
};

struct PlacementDigest {
    std::string model;
    std::vector<WorkDelta> workDeltas;
    std::vector<PlacementException> exceptions;
    bool operator==(const PlacementDigest&) const = default;
};

struct DemandDigest {
    std::vector<admission::Demand> demand;
    bool operator==(const DemandDigest& other) const;
};

struct QuarantineNotice {
    std::uint64_t requestDigest = 0;
    bool operator==(const QuarantineNotice&) const = default;
};

/// @brief Everything that daemons tell each other.
using Message = std::variant<Heartbeat, ConfigurationRequest, ConfigurationReply, HostListRequest, HostListReply,
    PlacementDigest, DemandDigest, QuarantineNotice, claims::ClaimRequest, claims::ClaimReply, claims::ClaimRelease,
    claims::SyncRequest, claims::SyncReply, claims::JoinRequest, claims::JoinReply, claims::AnswerMessage>;

/// Name of a message's kind, for metrics and logs.
std::string_view kindName(const Message& message);
std::string_view kindName(std::size_t kind);

}
