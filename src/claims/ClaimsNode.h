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

/// Identifies a caller's request within its daemon.
using Ticket = std::uint64_t;

/// @brief The key is this daemon's: send the request once, before the deadline, or abandon it.
struct Dispatch {
    Key key;
    Ticket ticket;
    TimePoint deadline;
};

enum class ClaimOutcome { Answered, NotRun, Unknown, Mismatch };

/// @brief The final outcome of a caller's request.
struct Settle {
    Ticket ticket;
    ClaimOutcome outcome;
    Answer answer;
};

using Action = std::variant<Envelope, Dispatch, Settle>;

/// @brief One daemon's part in running each non-idempotent request at most once.
///
/// Every call returns the actions to take; the object has no I/O, clock or thread.
class ClaimsNode {
public:
    struct Options {
        HostId self;
        Incarnation incarnation = 0;
        Timing timing;
        bool isFirstStart = false;
        /// Groups into which keys are divided; one for a small fleet.
        std::uint32_t groupCount = 1;
        std::size_t witnessesPerGroup = 9;
    };
    using Actions = std::vector<Action>;

    ClaimsNode(const Options& options, TimePoint now);

    /// @brief Takes a newer host list.
    /// @param isFromPlatform whether the platform itself, not a peer, gave it
    Actions setHosts(std::uint64_t revision, std::span<const EntryHost> hosts, bool isFromPlatform, TimePoint now);
    /// @brief Asks for the right to run the request, or for its answer.
    /// @param fingerprint digest of method, path and body
    Actions begin(Key key, std::uint64_t fingerprint, Ticket ticket, TimePoint now);
    /// @brief Takes the whole answer of a dispatched request.
    Actions complete(Key key, const Answer& answer, TimePoint now);
    /// @brief The dispatched request has no known outcome.
    Actions reportUnknownOutcome(Key key, TimePoint now);
    /// @brief Nothing of the request left and nothing will; gives the key back.
    Actions abandon(Key key, TimePoint now);
    Actions receive(const HostId& from, const Message& message, TimePoint now);
    Actions tick(TimePoint now);
    /// @brief Hands kept answers to the witnesses before a planned stop.
    Actions replicateAnswers(TimePoint now);

    bool isReady() const;
    std::size_t grantCount() const;
    std::size_t recordCount() const { return m_records.size(); }

private:
    enum class Phase { Claiming, Running, Joining, Answered, Unknown, Abandoned };

    struct Record {
        Phase phase = Phase::Claiming;
        std::uint64_t fingerprint = 0;
        TimePoint createdAt;
        TimePoint nextJoinAt;
        TimePoint lastSignAt;
        ClaimId claim;
        std::optional<Claimant> claimant;
        ClaimId joined;
        std::vector<Ticket> tickets;
        std::set<HostId> joiners;
        Answer answer;
    };

    std::uint32_t groupOf(const Key& key) const { return static_cast<std::uint32_t>(key.low % m_options.groupCount); }
    Witness& witness(std::uint32_t group, TimePoint now);
    void startClaim(const Key& key, Record& record, TimePoint now);
    void advance(const Key& key, Record& record, TimePoint now);
    void joinHolder(const Key& key, Record& record, const ClaimId& holder, TimePoint now);
    void yieldTo(const Key& key, Record& record, const ClaimId& holder, TimePoint now);
    void settleAll(Record& record, ClaimOutcome outcome);
    void notifyJoiners(const Key& key, Record& record, JoinState state);
    void shareAnswer(const Key& key, Record& record);
    void send(const HostId& to, Message message);
    void dropExpired(TimePoint now);
    void drainLoopback(TimePoint now);
    void deliver(const HostId& from, const Message& message, TimePoint now);
    Actions take();

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
    /// Keys whose record is being claimed or joined; only these need attention as time passes.
    std::set<Key> m_unsettled;
    TimePoint m_nextExpiryAt {};
    std::deque<Message> m_loopback;
    std::vector<Action> m_actions;
    std::vector<Envelope> m_outgoing;
};

}
