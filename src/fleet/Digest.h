#pragma once

#include "dispatch/CrashRegistry.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::fleet {

/// @brief What one daemon knows of one runner.
struct RunnerState {
    /// Hash of the runner's id and lifetime.
    std::uint64_t runner = 0;
    /// Requests that the sender has under way there.
    std::uint32_t underWay = 0;
    /// Recent requests that it served and failed, with older ones counting less, in tenths.
    std::uint32_t servedTenths = 0;
    std::uint32_t failedTenths = 0;
    /// Time for which the sender still avoids it, in milliseconds.
    std::uint32_t suspendedMs = 0;
    bool operator==(const RunnerState&) const = default;
};

/// @brief Another daemon that the sender hears.
struct MemberReference {
    std::string ip;
    /// The newest digest that the sender has of it; tells that one when the sender must have written.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool operator==(const MemberReference&) const = default;
};

/// @brief What a daemon tells the others several times a second.
///
/// Each digest replaces the one before, so that a lost datagram costs nothing but time.
struct Digest {
    std::string host;
    /// Differs for each life of a host.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string ip;
    std::string region;
    std::uint64_t configurationRevision = 0;
    /// Age of the sender's proof that its configuration is current, in milliseconds; negative without one.
    std::int64_t proofAgeMs = -1;
    std::vector<MemberReference> members;
    std::vector<RunnerState> runners;
    std::vector<dispatch::CrashRecord> crashes;
    /// The sender ends now; its requests are done.
    bool isLeaving = false;
};

struct DigestError {
    std::string what;
    std::string message() const { return "[fleet.701] " + what; }
};

/// @brief Encodes a digest as a CBOR array; fields are only ever added at the end.
std::string encode(const Digest& digest);

/// @brief Decodes a digest; never throws.
tl::expected<Digest, DigestError> decodeDigest(std::string_view bytes);

}
