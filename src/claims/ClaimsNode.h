#pragma once

#include "claims/Claimant.h"
#include "claims/Messages.h"
#include "claims/Witness.h"
#include "claims/WitnessChoice.h"
#include <deque>
#include <map>
#include <set>
#include <span>

namespace eelgrassford::claims {

/// Identifies a caller's request within one daemon.
using Ticket = std::uint64_t;

/// @brief Tells the daemon that its claim won the key: it must send the request once, before the deadline, or abandon
/// it.
struct Dispatch {
    Key key;
    Ticket ticket;
    TimePoint deadline;
};

/// @brief How a caller's request ended.
enum class ClaimOutcome {
    /// The request ran and its answer is known.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run; its answer is not known.
    Unknown,
    /// The key was used with another request.
    Mismatch,
};

/// @brief Reports the final outcome of a caller's request.
struct Settle {
    Ticket ticket;
    ClaimOutcome outcome;
    /// Empty unless the outcome is Answered.
    Answer answer;
};

using Action = std::variant<Envelope, Dispatch, Settle>;

/// @brief Ensures, together with the other daemons of the fleet, that each non-idempotent request runs at most once.
///
/// Claims a key at its witnesses before the request is sent, joins the holder of a key that another daemon claimed, and
/// acts as witness itself. Every call returns the actions to take; the object has no I/O, clock or thread.
class ClaimsNode {
public:
    struct Options {
        /// Id of this host.
        HostId self;
        /// Distinguishes this start of the daemon from earlier ones.
        Incarnation incarnation = 0;
        Timing timing;
        /// No daemon of the fleet has served within the retention.
        bool isFirstStart = false;
        /// Number of groups into which keys are divided, each with its own witnesses; one for a small fleet.
        std::uint32_t groupCount = 1;
        /// Fewer hosts mean that all of them are witnesses.
        std::size_t witnessesPerGroup = 9;
    };
    using Actions = std::vector<Action>;

    ClaimsNode(const Options& options, TimePoint now);

    /// @brief Takes a host list. An empty or an older one is ignored.
    /// @param isFromPlatform whether the list came from the platform rather than from a peer
    Actions setHosts(std::uint64_t revision, std::span<const EntryHost> hosts, bool isFromPlatform, TimePoint now);
    /// @brief Starts to claim the key for a caller's request, or waits for the answer of an earlier request with this
    /// key.
    /// @param fingerprint digest of method, path and body
    /// @param ticket identifies the caller's request in the Dispatch and Settle actions
    Actions begin(Key key, std::uint64_t fingerprint, Ticket ticket, TimePoint now);
    /// @brief Takes the complete answer of a dispatched request.
    Actions complete(Key key, const Answer& answer, TimePoint now);
    /// @brief Reports that the outcome of the dispatched request is unknown: it may have run.
    Actions reportUnknownOutcome(Key key, TimePoint now);
    /// @brief Releases the key of a request of which nothing was sent and nothing will be sent.
    Actions abandon(Key key, TimePoint now);
    /// @brief Processes a message of another daemon.
    Actions receive(const HostId& from, const Message& message, TimePoint now);
    /// @brief Sends due messages and ends claims and joins that timed out; to be called periodically.
    Actions tick(TimePoint now);
    /// @brief Sends all kept answers to the witnesses of their keys, before a planned stop.
    Actions replicateAnswers(TimePoint now);

    /// @brief Whether this daemon has a host list and all its witnesses may grant keys.
    bool isReady() const;
    /// @brief Number of grants that this daemon keeps as a witness.
    std::size_t grantCount() const;
    /// @brief Number of keys whose claim or answer this daemon keeps.
    std::size_t recordCount() const { return m_records.size(); }

private:
    enum class Phase {
        Claiming,
        Running,
        /// Waiting for the answer of the claim that holds the key.
        Joining,
        Answered,
        Unknown,
        /// Nothing is under way here; the next request with this key starts a new claim.
        Abandoned,
    };

    struct Record {
        Phase phase = Phase::Claiming;
        std::uint64_t fingerprint = 0;
        TimePoint createdAt;
        TimePoint nextJoinAt;
        TimePoint lastReplyAt;
        /// This daemon's own claim.
        ClaimId claim;
        std::optional<Claimant> claimant;
        /// The claim whose answer is awaited while joining.
        ClaimId joinedClaim;
        /// Callers' requests that wait for the outcome.
        std::vector<Ticket> tickets;
        /// Hosts that wait for this daemon's answer.
        std::set<HostId> joiners;
        Answer answer;
    };

    std::uint32_t groupOf(const Key& key) const { return static_cast<std::uint32_t>(key.low % m_options.groupCount); }
    Witness& findOrCreateWitness(std::uint32_t group, TimePoint now);
    void startClaim(const Key& key, Record& record, TimePoint now);
    void advance(const Key& key, Record& record, TimePoint now);
    void joinHolder(const Key& key, Record& record, const ClaimId& holder, TimePoint now);
    void yieldTo(const Key& key, Record& record, const ClaimId& holder, TimePoint now);
    void settleTickets(Record& record, ClaimOutcome outcome);
    void notifyJoiners(const Key& key, Record& record, JoinState state);
    void publishAnswer(const Key& key, Record& record);
    void send(const HostId& to, Message message);
    void dropExpired(TimePoint now);
    void routeOutgoing(TimePoint now);
    void deliver(const HostId& from, const Message& message, TimePoint now);
    Actions takeActions();

    void handle(const HostId& from, const ClaimRequest& request, TimePoint now);
    void handle(const HostId& from, const ClaimReply& reply, TimePoint now);
    void handle(const HostId& from, const ClaimRelease& release, TimePoint now);
    void handle(const HostId& from, const SyncRequest& request, TimePoint now);
    void handle(const HostId& from, const SyncReply& reply, TimePoint now);
    void handle(const HostId& from, const JoinRequest& request, TimePoint now);
    void handle(const HostId& from, const JoinReply& reply, TimePoint now);
    void handle(const HostId& from, const AnswerMessage& message, TimePoint now);

    Options m_options;
    TimePoint m_startedAt;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_hostsRevision = 0;
    std::vector<EntryHost> m_hosts;
    std::map<std::uint32_t, Witness> m_witnesses;
    std::map<std::uint32_t, WitnessView> m_views;
    std::map<Key, Record> m_records;
    /// Keys that are being claimed or joined; only their records need periodic work.
    std::set<Key> m_unsettled;
    TimePoint m_nextExpiryAt {};
    std::deque<Message> m_loopback;
    std::vector<Action> m_actions;
    std::vector<Envelope> m_outgoing;
};

}
