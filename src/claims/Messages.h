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

/// @brief Identity of one attempt to claim a key; the order decides which of two contenders yields.
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

/// @brief The witnesses of one group of keys, as the host list of one revision gives them.
struct WitnessView {
    std::uint64_t revision = 0;
    /// Sorted.
    std::vector<HostId> members;

    std::size_t quorum() const { return members.size() / 2 + 1; }
    /// @brief Smallest number of members that meets every quorum.
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

/// @brief A caller's final answer, kept for resends of the same key.
struct Answer {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    std::string upstream;
    bool operator==(const Answer&) const = default;
};

/// @brief What a witness knows of one key.
struct Grant {
    Key key;
    ClaimId holder;
    /// Time since the grant, so that no clock offset matters.
    Duration age {};
    /// Witnesses disagreed on the holder; nobody is granted the key until it expires.
    bool isConflicted = false;
    bool operator==(const Grant&) const = default;
};

struct ClaimRequest {
    Key key;
    ClaimId claim;
    WitnessViewDigest view;
    bool operator==(const ClaimRequest&) const = default;
};

enum class Verdict { Granted, Held, Refused };

struct ClaimReply {
    Key key;
    ClaimId claim;
    Verdict verdict = Verdict::Refused;
    /// The holder where the verdict is Held.
    ClaimId holder;
    WitnessViewDigest view;
    bool operator==(const ClaimReply&) const = default;
};

/// @brief The named claim never was dispatched and never will be.
struct ClaimRelease {
    Key key;
    ClaimId claim;
    bool operator==(const ClaimRelease&) const = default;
};

/// @brief Asks a witness for its grants, and moves it to the view, under which it stops granting in earlier ones.
struct SyncRequest {
    std::uint32_t group = 0;
    WitnessView view;
    bool operator==(const SyncRequest&) const = default;
};

struct SyncReply {
    std::uint32_t group = 0;
    WitnessView view;
    /// The last view in which the responder granted; absent if it never did since its start.
    std::optional<WitnessView> readyView;
    /// The fleet starts for the first time and the responder has granted nothing yet.
    bool isFirstStart = false;
    std::vector<Grant> grants;
    bool operator==(const SyncReply&) const = default;
};

/// @brief Asks the holder of a key for its answer.
struct JoinRequest {
    Key key;
    std::uint64_t fingerprint = 0;
    ClaimId holder;
    /// The requester's own claim, which yields or wins by order.
    ClaimId requester;
    bool operator==(const JoinRequest&) const = default;
};

enum class JoinState {
    /// The holder runs or claims it; its answer will follow.
    Pending,
    /// The holder gave way to the requester.
    Yielded,
    /// The named claim was given up before dispatch.
    Abandoned,
    /// The holder cannot say whether it ran.
    Unknown,
    /// The key was used with another request.
    Mismatch,
};

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

/// @brief Durations on which at-most-once rests; equal on every daemon of a fleet.
struct Timing {
    /// Time in which a claim must gather its quorum.
    Duration window = std::chrono::seconds(3);
    /// Time from the start of a claim in which its request may be sent.
    Duration dispatchLimit = std::chrono::seconds(30);
    /// Time for which grants and answers are kept.
    Duration retention = std::chrono::minutes(15);
    /// Time after which the witnesses beyond a bare quorum are asked as well.
    Duration hedge = std::chrono::milliseconds(50);
    /// Interval between repeats of an unanswered message.
    Duration repeat = std::chrono::milliseconds(200);
    /// Time without a sign from the holder after which a joined request is given up.
    Duration joinSilence = std::chrono::seconds(3);
    /// Time that a witness abstains after a restart; covers the window with clock drift and late timers.
    Duration quiet = std::chrono::seconds(5);
};

}
