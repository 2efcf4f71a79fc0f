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

/// @brief Announces periodically which configuration and host list the sender has, so that peers request only newer
/// ones.
struct Heartbeat {
    std::uint64_t configurationRevision = 0;
    std::string configurationHash;
    std::uint64_t hostListRevision = 0;
    bool isReady = false;
    bool operator==(const Heartbeat&) const = default;
};

/// @brief Requests the configuration in force at the receiver.
struct ConfigurationRequest {
    /// Hashes of the parts that the requester already holds.
    std::vector<std::string> heldParts;
    bool operator==(const ConfigurationRequest&) const = default;
};

/// @brief Carries the configuration in force at the sender.
struct ConfigurationReply {
    config::Manifest manifest;
    /// Content of the parts that the requester lacks.
    std::vector<std::string> parts;
    bool operator==(const ConfigurationReply&) const = default;
};

/// @brief Requests the host list in use at the receiver.
struct HostListRequest {
    bool operator==(const HostListRequest&) const = default;
};

/// @brief Carries the host list in use at the sender.
struct HostListReply {
    membership::HostList list;
    bool operator==(const HostListReply&) const = default;
};

/// @brief Work that the sender has assigned to a runner since its last digest.
struct WorkDelta {
    HostId runner;
    /// In decode-token equivalents.
    double work = 0.0;
    bool operator==(const WorkDelta&) const = default;
};

/// @brief A chat that was last served by another runner than its first choice.
struct PlacementException {
    std::uint64_t chat = 0;
    /// Empty if the chat is back at its first choice, which ends the exception.
    HostId runner;
    /// Prompt tokens of the chat that the runner holds.
    std::uint32_t tokens = 0;
    /// Runner that served the chat before and may still hold an earlier prefix.
    HostId previous;
    bool operator==(const PlacementException&) const = default;
};

/// @brief Reports what the sender has placed on the runners of one model since its last digest.
struct PlacementDigest {
    std::string model;
    std::vector<WorkDelta> workDeltas;
    std::vector<PlacementException> exceptions;
    bool operator==(const PlacementDigest&) const = default;
};

/// @brief Reports the request rate of each organisation at the sender.
struct DemandDigest {
    std::vector<admission::Demand> demand;
    bool operator==(const DemandDigest& other) const;
};

/// @brief Announces that the sender has quarantined a request that crashed its upstreams.
struct QuarantineNotice {
    /// Digest that identifies the request.
    std::uint64_t requestDigest = 0;
    bool operator==(const QuarantineNotice&) const = default;
};

/// @brief A message between daemons. The index of an alternative is its kind on the wire.
using Message = std::variant<Heartbeat, ConfigurationRequest, ConfigurationReply, HostListRequest, HostListReply,
    PlacementDigest, DemandDigest, QuarantineNotice, claims::ClaimRequest, claims::ClaimReply, claims::ClaimRelease,
    claims::SyncRequest, claims::SyncReply, claims::JoinRequest, claims::JoinReply, claims::AnswerMessage>;

/// @brief Name of the kind of a message, for metrics and logs.
std::string_view kindName(const Message& message);
std::string_view kindName(std::size_t kind);

}
