#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
#include <map>
#include <optional>
#include <span>
#include <string>

namespace eelgrassford::fleet {

/// @brief Elects the daemons that read the store, and asks them for freshness proofs if this one cannot read it. No
/// I/O.
///
/// A few elected readers watch the store. Each other daemon asks them in turn when their mirror was last proven
/// current, and up to which revision. Every daemon computes the election from its own live members, without agreement:
/// one without live members reads the store, and so does one whose newest proof is too old.
class ReaderElection {
public:
    struct Options {
        /// Readers; fewer if the fleet has fewer daemons. The number does not grow with the fleet, of which in a large
        /// one only the aggregators ask the readers.
        std::size_t readers = 3;
        /// Time between the freshness requests of a daemon that is not elected.
        Duration requestInterval = std::chrono::milliseconds(300);
        /// The same for an aggregator, whose proofs grow older on their way to other daemons.
        Duration aggregatorRequestInterval = std::chrono::milliseconds(200);
        /// Age of the newest proof above which a daemon that is not elected reads the store as well.
        Duration maxProofAge = std::chrono::milliseconds(1600);
        /// Most requests without a reply; beyond them the oldest is dropped.
        std::size_t maxPendingRequests = 8;

        /// @brief Options with which a change is in force in time even if all readers lose the store just before it.
        /// @param deadline longest time from the publication of a change until every daemon uses it
        static Options forDeadline(Duration deadline);
    };
    /// @brief A freshness request and the reader to send it to.
    struct OutgoingRequest {
        std::string ip;
        FreshnessRequest request;
    };
    /// @brief State of a reader, as of its reply.
    struct ReaderStatus {
        /// Latest time at which the reader's mirror is proven current; empty if the reader has no proof.
        std::optional<TimePoint> provenAt;
        /// Revision of the newest change that the reader's mirror held.
        std::uint64_t changeRevision = 0;
        /// Address of the reader.
        std::string ip;
    };

    /// @param firstNonce nonce of the first request; differs for each start of a daemon, so that a reply to an earlier
    /// one is not accepted
    ReaderElection(std::string ownIp, std::uint64_t firstNonce, const Options& options);
    ReaderElection(std::string ownIp, std::uint64_t firstNonce);

    void setOptions(const Options& options) { m_options = options; }
    /// @brief Repeats the election.
    /// @param liveIps addresses of the live members, without this daemon
    void update(std::span<const std::string> liveIps);
    /// @brief Whether this daemon reads the store.
    /// @param provenAt time of its newest freshness proof, from the store or from a reader
    bool isReader(std::optional<TimePoint> provenAt, TimePoint now) const;
    /// @brief Whether this daemon is an elected reader, which the others send their requests to.
    bool isElected() const { return m_isElected; }
    /// @brief Whether this daemon needs the proofs of the readers. An elected one does if its own grow too old, as when
    /// the store refuses it alone.
    /// @param ownProvenAt time of its newest freshness proof from the store itself
    bool needsProof(std::optional<TimePoint> ownProvenAt, TimePoint now) const;
    /// @brief The next freshness request to another reader, if one is due; the readers take turns.
    /// @param isAggregator whether this daemon passes its proof on to others
    std::optional<OutgoingRequest> nextRequest(TimePoint now, bool isAggregator = false);
    /// @brief Matches a reply to its request.
    ///
    /// The age of the proof is subtracted from the time at which the request was sent, so that network delay or a
    /// suspension of the process makes a proof older, never newer.
    /// @return empty if no pending request has the nonce of the reply
    std::optional<ReaderStatus> receive(const FreshnessReply& reply);

private:
    bool isTooOld(std::optional<TimePoint> provenAt, TimePoint now) const;

    struct PendingRequest {
        std::string ip;
        TimePoint sentAt {};
    };

    std::string m_ownIp;
    Options m_options;
    /// Elected readers, without this daemon.
    std::vector<std::string> m_readers;
    bool m_isElected = true;
    std::uint64_t m_nextNonce;
    std::size_t m_nextReader = 0;
    std::map<std::uint64_t, PendingRequest> m_pending;
    TimePoint m_nextRequestAt {};
};

}
