#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
#include <map>
#include <optional>
#include <span>
#include <string>

namespace eelgrassford::fleet {

/// @brief Decides which daemons read the store, and keeps the proof of contact of those that do not. No I/O.
///
/// A few daemons watch the store; the others ask them, in turn, for their proof and for what is new. Each daemon
/// decides for itself from whom it hears: one that hears nobody reads, and so does one whose proof grows old.
class ReaderElection {
public:
    struct Options {
        /// Daemons that read in a small fleet, and daemons for each further reader in a large one.
        std::size_t readers = 3;
        std::size_t membersPerReader = 25;
        /// Time between questions of a daemon that does not read.
        Duration askInterval = std::chrono::milliseconds(600);
        /// Age of the proof at which a daemon reads by itself.
        Duration fallbackAge = std::chrono::milliseconds(2700);
        /// Questions that may be open; the oldest is given up.
        std::size_t openQuestions = 8;
    };
    /// @brief A question to put to a reader.
    struct OutgoingRequest {
        std::string ip;
        FreshnessRequest request;
    };
    /// @brief What an answer means.
    struct ReaderStatus {
        /// Time at which everything up to the answered revision was current.
        std::optional<TimePoint> provenAt;
        std::uint64_t changeRevision = 0;
        /// The daemon that answered.
        std::string ip;
    };

    ReaderElection(std::string ownIp, std::uint64_t firstNonce, const Options& options);
    ReaderElection(std::string ownIp, std::uint64_t firstNonce);

    /// @brief Takes the daemons that are heard now, without this one.
    void update(std::span<const std::string> heard);
    /// @brief Whether this daemon reads the store.
    /// @param provenAt its newest proof, own or vouched for
    bool isReader(std::optional<TimePoint> provenAt, TimePoint now) const;
    /// @brief Whether it is one of those that others ask.
    bool isElected() const { return m_isElected; }
    /// @brief The next question, if one is due.
    std::optional<OutgoingRequest> nextRequest(TimePoint now);
    /// @brief Takes an answer; nothing if it was not asked for.
    ///
    /// The age of the proof counts from the time of the question, so that time on the way or in a suspended process
    /// makes a proof older, never newer.
    std::optional<ReaderStatus> receive(const FreshnessReply& reply);

private:
    struct Open {
        std::string ip;
        TimePoint askedAt {};
    };

    std::string m_ownIp;
    Options m_options;
    std::vector<std::string> m_readers;
    bool m_isElected = true;
    std::uint64_t m_nextNonce;
    std::size_t m_turn = 0;
    std::map<std::uint64_t, Open> m_open;
    TimePoint m_nextAt {};
};

}
