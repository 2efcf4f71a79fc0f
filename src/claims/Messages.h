#pragma once

#include "common/Hash.h"
#include "common/Time.h"
#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassford::claims {

using HostId = std::string;
using Incarnation = std::uint64_t;

/// @brief Digest of an organisation's idempotency key (128 bits).
struct Key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Key&) const = default;
};

/// @brief Identifies one attempt to claim a key. Of two contending claims, the greater one yields to the lesser one.
struct ClaimId {
    HostId claimant;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const ClaimId&) const = default;
};

/// @brief Identifies a witness view by its revision and a digest of its members.
struct WitnessViewDigest {
    std::uint64_t revision = 0;
    std::uint64_t membersDigest = 0;
    bool operator==(const WitnessViewDigest&) const = default;
};

/// @brief The witnesses of one group of keys, derived from one revision of the host list.
struct WitnessView {
    std::uint64_t revision = 0;
    /// Sorted host ids.
    std::vector<HostId> members;

    /// @brief Number of members that form a majority.
    std::size_t quorum() const { return members.size() / 2 + 1; }
    /// @brief Smallest number of members that overlaps with every quorum.
    std::size_t blockingCount() const { return members.size() - quorum() + 1; }
    bool contains(const HostId& host) const { return std::binary_search(members.begin(), members.end(), host); }
    WitnessViewDigest digest() const
    {
        std::uint64_t membersDigest = 0;
        for (const auto& member : members)
            membersDigest = mix64(membersDigest, hash64(member));
        return { revision, membersDigest };
    }
    bool operator==(const WitnessView&) const = default;
};

/// @brief Final answer to a request, kept for callers that send the same key again.
struct Answer {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    std::string upstream;
    bool operator==(const Answer&) const = default;
};

/// @brief A witness's grant of one key, as it sends it to other witnesses.
struct Grant {
    Key key;
    ClaimId holder;
    /// Time since the grant. A time stamp would depend on the clocks of both hosts.
    Duration age {};
    /// Witnesses reported different holders; the key is granted to no claim until this grant expires.
    bool isConflicted = false;
    bool operator==(const Grant&) const = default;
};

/// @brief Asks a witness to grant a key to a claim.
struct ClaimRequest {
    Key key;
    ClaimId claim;
    WitnessViewDigest view;
    bool operator==(const ClaimRequest&) const = default;
};

/// @brief A witness's decision on a claim.
enum class Verdict {
    /// The key is granted to this claim.
    Granted,
    /// The key is granted to another claim, or its holder is in conflict.
    Held,
    /// The witness does not grant keys at present, has a view with other members, or the claim was released.
    Refused,
};

/// @brief Answers a ClaimRequest.
struct ClaimReply {
    Key key;
    ClaimId claim;
    Verdict verdict = Verdict::Refused;
    /// The claim that holds the key; set if the verdict is Held.
    ClaimId holder;
    /// The view of the witness.
    WitnessViewDigest view;
    bool operator==(const ClaimReply&) const = default;
};

/// @brief Releases a key whose claim was not dispatched and never will be.
struct ClaimRelease {
    Key key;
    ClaimId claim;
    bool operator==(const ClaimRelease&) const = default;
};

/// @brief Asks a witness for its grants and moves it to this view, so that it stops granting under earlier views.
struct SyncRequest {
    std::uint32_t group = 0;
    WitnessView view;
    bool operator==(const SyncRequest&) const = default;
};

/// @brief Answers a SyncRequest.
struct SyncReply {
    std::uint32_t group = 0;
    WitnessView view;
    /// The last view in which the responder was ready to grant; absent if it has not been ready since its start.
    std::optional<WitnessView> readyView;
    /// The fleet starts for the first time, and the responder has granted nothing yet.
    bool isFirstStart = false;
    std::vector<Grant> grants;
    bool operator==(const SyncReply&) const = default;
};

/// @brief Asks the holder of a key for its answer.
struct JoinRequest {
    Key key;
    /// Digest of method, path and body.
    std::uint64_t fingerprint = 0;
    ClaimId holder;
    /// The requester's own claim; if the holder is still claiming the key, the greater of the two claims yields.
    ClaimId requester;
    bool operator==(const JoinRequest&) const = default;
};

/// @brief What the holder of a key knows of its request.
enum class JoinState {
    /// The holder is claiming the key or running the request; its answer will follow.
    Pending,
    /// The holder's claim yielded to the requester's claim.
    Yielded,
    /// The named claim was given up before dispatch.
    Abandoned,
    /// The holder does not know whether the request ran.
    Unknown,
    /// The key was used with another request.
    Mismatch,
};

/// @brief Answers a JoinRequest.
struct JoinReply {
    Key key;
    ClaimId holder;
    JoinState state = JoinState::Unknown;
    bool operator==(const JoinReply&) const = default;
};

/// @brief Carries the kept answer of a key.
struct AnswerMessage {
    Key key;
    std::uint64_t fingerprint = 0;
    Answer answer;
    bool operator==(const AnswerMessage&) const = default;
};

using Message = std::variant<ClaimRequest, ClaimReply, ClaimRelease, SyncRequest, SyncReply, JoinRequest, JoinReply,
    AnswerMessage>;

/// @brief A message and the host it goes to.
struct Envelope {
    HostId to;
    Message message;
};

/// @brief Durations on which the at-most-once guarantee depends; they must be equal on every daemon of a fleet.
struct Timing {
    /// Time from the start of a claim within which a quorum must grant it.
    Duration quorumTimeout = std::chrono::seconds(3);
    /// Time from the start of a claim within which its request may be sent.
    Duration dispatchTimeout = std::chrono::seconds(30);
    /// Time for which grants are kept; answers are kept for longer, by twice the dispatch timeout.
    Duration retention = std::chrono::minutes(15);
    /// Time after which the witnesses beyond a bare quorum are asked as well.
    Duration hedgeDelay = std::chrono::milliseconds(50);
    /// Interval between repeats of an unanswered message.
    Duration resendInterval = std::chrono::milliseconds(200);
    /// Time without a reply from the holder after which the outcome of a joined request is reported as unknown.
    Duration joinTimeout = std::chrono::seconds(3);
    /// Time for which a restarted witness grants nothing; exceeds the quorum timeout to allow for clock drift and late
    /// timers.
    Duration abstentionPeriod = std::chrono::seconds(5);
};

}
