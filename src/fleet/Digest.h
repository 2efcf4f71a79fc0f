#pragma once

#include "dispatch/CrashRegistry.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace eelgrassford::fleet {

/// Names a runner's lifetime in a digest: the lower half of its hash, to keep digests short.
using RunnerKey = std::uint32_t;

/// @brief What one daemon knows of one runner.
struct RunnerState {
    RunnerKey runner = 0;
    /// Requests that the sender has under way there.
    std::uint32_t underWay = 0;
    /// Recent requests that it served and failed, with older ones counting less, in tenths.
    std::uint32_t servedTenths = 0;
    std::uint32_t failedTenths = 0;
    /// Time for which the sender still avoids it, in milliseconds.
    std::uint32_t suspendedMs = 0;
    bool operator==(const RunnerState&) const = default;
};

/// @brief What a daemon tells the others several times a second.
///
/// Each digest replaces the one before, so that a lost datagram costs nothing but time.
struct Digest {
    /// Differs for each life of a host.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string ip;
    std::string region;
    /// Revision of the last published change that the sender has.
    std::uint64_t changeRevision = 0;
    /// Addresses of some other daemons.
    std::vector<std::string> members;
    std::vector<RunnerState> runners;
    std::vector<dispatch::CrashRecord> crashes;
    /// The sender ends now; its requests are done.
    bool isLeaving = false;
};

/// @brief Asks a daemon that reads the store for its proof of contact.
struct FreshnessRequest {
    std::uint64_t nonce = 0;
    bool operator==(const FreshnessRequest&) const = default;
};

/// @brief Vouches for a proof of contact.
struct FreshnessReply {
    /// Of the request.
    std::uint64_t nonce = 0;
    /// Age of the proof that everything up to changeRevision is current, in milliseconds; negative without one.
    std::int64_t proofAgeMs = -1;
    std::uint64_t changeRevision = 0;
    bool operator==(const FreshnessReply&) const = default;
};

using Message = std::variant<Digest, FreshnessRequest, FreshnessReply>;

struct DigestError {
    std::string what;
    std::string message() const { return "[fleet.701] " + what; }
};

/// @brief Encodes a message as a CBOR array: its kind, then its fields; fields are only ever added at the end.
std::string encode(const Message& message);

/// @brief Decodes a message; never throws.
tl::expected<Message, DigestError> decode(std::string_view bytes);

}
