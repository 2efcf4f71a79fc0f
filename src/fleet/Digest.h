#pragma once

#include "admission/Demand.h"
#include "dispatch/CrashRegistry.h"
#include "dispatch/StreamOrigins.h"
#include "runners/Departures.h"
#include "runners/SoleVersion.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace eelgrassford::fleet {

/// Identifies one lifetime of a runner: the lower half of its 64-bit identity hash, to keep digests short.
using RunnerKey = std::uint32_t;

/// @brief Work that is left at a runner, of the requests of one or several daemons.
struct RemainingWork {
    /// Prompt tokens that are not computed yet.
    std::uint32_t prefillTokens = 0;
    /// Usual time of the rest of the outputs, in milliseconds.
    std::uint32_t outputMs = 0;
    /// Tokens in the runner's memory.
    std::uint32_t residentTokens = 0;
    bool operator==(const RemainingWork&) const = default;
    RemainingWork& operator+=(const RemainingWork& other);
    /// @brief Subtracts a part; the sum may be older than it, so no figure falls below 0.
    RemainingWork& operator-=(const RemainingWork& part);
};

/// @brief State of one runner as seen by one daemon.
struct RunnerState {
    RunnerKey runner = 0;
    /// Requests of the sender in flight on the runner.
    std::uint32_t inFlight = 0;
    /// Decaying count of the sender's requests that the runner served, in tenths of a request.
    std::uint32_t servedTenths = 0;
    /// Decaying count of the sender's requests that the runner failed, in tenths of a request.
    std::uint32_t failedTenths = 0;
    /// Rest of the time for which the sender suspends the runner, in milliseconds; 0 if it is not suspended.
    std::uint32_t suspendedMs = 0;
    /// Work that is left of the sender's requests.
    RemainingWork remaining {};
    bool operator==(const RunnerState&) const = default;
};

/// @brief What a runner stated of itself in a response: the request rate that it accepts from all daemons together, or
/// that it leaves.
struct RunnerStatement {
    RunnerKey runner = 0;
    /// Requests per second; empty if the runner states no limit any more. Without meaning if it leaves.
    std::optional<double> perSecond;
    /// Time since the runner stated this.
    Duration age {};
    /// Whether the runner stated it to the sender, rather than to another daemon that told the sender.
    bool isOwn = true;
    /// Whether it stated that it leaves, rather than a limit.
    bool isLeaving = false;
};

/// @brief State that a daemon gossips to the others several times a second.
///
/// Each digest replaces the previous one, so that a lost datagram only delays its news.
struct Digest {
    /// Differs for each start of a daemon, so that the digests after a restart are not taken for older ones.
    std::uint64_t incarnation = 0;
    /// Rises with each digest of an incarnation.
    std::uint64_t sequence = 0;
    std::string ip;
    std::string region;
    /// Revision of the newest change of the store that the sender's mirror holds.
    std::uint64_t changeRevision = 0;
    /// IP addresses of some other daemons, from which the receiver learns of them.
    std::vector<std::string> members;
    std::vector<RunnerState> runners;
    std::vector<dispatch::CrashRecord> crashes;
    /// The sender stops now; its requests are finished.
    bool isLeaving = false;
    /// IP address of the only daemon that counts the sender's states; empty if every receiver counts them.
    std::string aggregator;
    /// What runners stated to the sender.
    std::vector<RunnerStatement> statements;
    /// Work that the sender's callers request, with the heaviest flows of each service.
    std::vector<admission::ServiceDemand> demands;
    /// Time of the fleet; empty if the sender does not know it.
    std::optional<Duration> fleetTime;
};

/// @brief State of one runner, summed over several daemons.
struct RunnerTotal {
    RunnerKey runner = 0;
    /// Sums of the fields of RunnerState.
    std::uint32_t inFlight = 0;
    std::uint32_t servedTenths = 0;
    std::uint32_t failedTenths = 0;
    /// Daemons that suspend the runner now.
    std::uint32_t suspendedBy = 0;
    RemainingWork remaining {};
    bool operator==(const RunnerTotal&) const = default;
};

/// @brief Sum of the states of several daemons, which an aggregator sends several times a second.
struct Summary {
    enum class Scope {
        /// The daemons that report to the sender; for other aggregators.
        Group,
        /// All daemons; for those that report to the sender.
        Fleet,
    };
    Scope scope = Scope::Group;
    std::uint64_t incarnation = 0;
    /// Rises with each summary of an incarnation.
    std::uint64_t sequence = 0;
    std::string ip;
    std::string region;
    /// Sequence of the receiver's newest digest that the sum contains; 0 if it contains none.
    std::uint64_t acknowledged = 0;
    /// Age of the sender's newest freshness proof, as in FreshnessReply.
    std::int64_t proofAgeMs = -1;
    /// Revision of the newest change of the store that the sender's mirror holds.
    std::uint64_t changeRevision = 0;
    /// Number of daemons in the sum.
    std::uint32_t daemons = 0;
    /// IP addresses of some daemons that are alive.
    std::vector<std::string> members;
    std::vector<RunnerTotal> runners;
    std::vector<dispatch::CrashRecord> crashes;
    /// The sender stops now; its daemons choose another aggregator.
    bool isLeaving = false;
    /// What runners stated, as the sender knows.
    std::vector<RunnerStatement> statements;
    /// Work that the callers of these daemons request.
    std::vector<admission::ServiceDemand> demands;
    /// Time of the fleet; empty if the sender does not know it.
    std::optional<Duration> fleetTime;
};

/// @brief Asks a daemon that reads the store how fresh its mirror is.
struct FreshnessRequest {
    /// Matches the reply to its request.
    std::uint64_t nonce = 0;
    bool operator==(const FreshnessRequest&) const = default;
};

/// @brief States how fresh the mirror of the answering daemon is.
struct FreshnessReply {
    /// Nonce of the request.
    std::uint64_t nonce = 0;
    /// Time since the store last proved that the mirror, complete up to changeRevision, is current, in milliseconds;
    /// negative if it never did.
    std::int64_t proofAgeMs = -1;
    /// Revision of the newest change that the mirror holds.
    std::uint64_t changeRevision = 0;
    bool operator==(const FreshnessReply&) const = default;
};

/// @brief Gives origins of streams to a daemon that keeps them.
struct StreamOriginList {
    std::vector<dispatch::StreamOrigin> origins;
};

/// @brief Asks a daemon which software began a stream, and which versions it knows to have served alone, or to
/// have left.
struct StreamQuestion {
    /// Matches the answer to its question.
    std::uint64_t nonce = 0;
    dispatch::StreamKey stream = 0;
};

/// @brief Answers a StreamQuestion.
struct StreamAnswer {
    /// Nonce of the question.
    std::uint64_t nonce = 0;
    /// Software that began the stream; empty if the sender does not know it.
    std::optional<std::uint64_t> software;
    std::vector<runners::SoleVersion> soleVersions;
    std::vector<runners::Departure> departures;
};

using Message
    = std::variant<Digest, FreshnessRequest, FreshnessReply, Summary, StreamOriginList, StreamQuestion, StreamAnswer>;

/// @brief A datagram that cannot be decoded.
struct DigestError {
    std::string what;
    std::string message() const { return "[fleet.701] " + what; }
};

/// @brief Encodes a message as a CBOR array of its kind and the array of its fields. New fields are only ever added at
/// the end.
std::string encode(const Message& message);

/// @brief Encodes the part of a summary that is the same for all its receivers.
std::string encodeBody(const Summary& summary);

/// @brief Encodes a summary for one receiver.
/// @param acknowledged see Summary::acknowledged
/// @param body result of encodeBody()
std::string encodeSummary(std::uint64_t acknowledged, std::string_view body);

/// @brief Decodes a message; never throws.
tl::expected<Message, DigestError> decode(std::string_view bytes);

}
