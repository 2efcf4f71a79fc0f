#pragma once

#include "common/Time.h"
#include "dispatch/StreamOrigins.h"
#include "fleet/Digest.h"
#include "fleet/Gossip.h"
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::fleet {

/// @brief Keeps which software began each stream at a few daemons, so that callers can continue streams at any daemon,
/// also after the one that began them has ended. No I/O.
///
/// Load pattern: daemons are killed while several software versions serve, and the callers of their streams return at
/// others some hundred milliseconds later.
///
/// Rendezvous hashing chooses the daemons that keep a stream's origin. They are told with the first event, and asked
/// when a daemon does not know the stream itself. Daemons whose views of the fleet differ a little agree on most of
/// them. An unanswered question leaves the origin unknown; it is never guessed.
///
/// With many keepers, 0.8 of the origins survive the loss of nine daemons in ten, and a fleet of up to 16 daemons loses
/// none while one of them is left.
class StreamDirectory {
public:
    struct Options {
        /// Daemons that keep an origin, by the copies asked for.
        std::size_t fewKeepers = 3;
        std::size_t manyKeepers = 16;
        /// Daemons that are asked for an origin at first; more than the few keepers, since some of these may have ended
        /// since. All that may be among the many keepers are asked if these do not know it.
        std::size_t askedFirst = 4;
        /// Time after which a question is sent again, and after which it is given up. A caller waits meanwhile.
        Duration resendInterval = std::chrono::milliseconds(60);
        Duration timeout = std::chrono::milliseconds(350);
        /// Most origins in one datagram.
        std::size_t originsPerMessage = 60;
        /// Time between questions for the versions of services while this daemon does not know them for long enough.
        Duration historyInterval = std::chrono::seconds(2);
        /// The many keepers of all streams of a busy fleet remember them for their lifetime.
        dispatch::StreamOrigins::Options origins { .capacity = 80'000 };
    };
    using Outgoing = Gossip::Outgoing;
    /// Called once, with the software that began the stream, or without it if no daemon told it in time.
    using Finder = std::function<void(std::optional<std::uint64_t>)>;

    /// @param incarnation differs for each start of the daemon, so that late answers match no question of its next one
    StreamDirectory(std::string ownIp, std::uint64_t incarnation, const Options& options);

    /// @brief Sets the other daemons that are alive.
    void setMembers(std::vector<std::string> ips) { m_members = std::move(ips); }
    /// @brief Sets the versions of which this daemon knows for how long they alone served.
    void setSoleVersions(std::vector<runners::SoleVersion> versions) { m_soleVersions = std::move(versions); }
    /// @brief Sets the versions of which this daemon knows that runners left.
    void setDepartures(std::vector<runners::Departure> departures) { m_departures = std::move(departures); }
    /// @brief Gives origins to the daemons that keep them.
    std::vector<Outgoing> publish(
        std::span<const dispatch::StreamOrigin> origins, dispatch::OriginCopies copies, TimePoint now);
    /// @brief Asks which software began a stream. The finder may be called at once.
    std::vector<Outgoing> find(dispatch::StreamKey stream, Finder finder, TimePoint now);
    /// @brief Gives the origins that this daemon keeps to those that keep them once it has left.
    std::vector<Outgoing> handOver(TimePoint now);
    /// @brief Repeats questions that are not answered yet, and gives old ones up.
    std::vector<Outgoing> tick(TimePoint now);

    /// @brief Takes messages of other daemons.
    void receive(const StreamOriginList& list, TimePoint now);
    std::vector<Outgoing> receive(const std::string& from, const StreamQuestion& question, TimePoint now) const;
    std::vector<Outgoing> receive(const std::string& from, const StreamAnswer& answer, TimePoint now);

    std::size_t keptOrigins() const { return m_kept.size(); }

private:
    struct Question {
        dispatch::StreamKey stream = 0;
        Finder finder;
        /// Daemons that were asked and have not answered yet.
        std::vector<std::string> unanswered;
        /// Daemons that are asked once the first ones did not know it.
        std::vector<std::string> unasked;
        TimePoint askedAt {};
        TimePoint resendAt {};
    };

    /// The daemons, this one included, that come first for a stream.
    std::vector<std::string> daemonsFor(dispatch::StreamKey stream, std::size_t count) const;
    /// Messages that give origins to the first @a count daemons, where this one keeps its part itself.
    std::vector<Outgoing> give(std::span<const dispatch::StreamOrigin> origins, std::size_t count, TimePoint now);
    void ask(std::uint64_t nonce, Question& question, std::vector<Outgoing>& outgoing, TimePoint now) const;
    /// Asks the daemons that were not asked at first.
    void widen(std::uint64_t nonce, Question& question, std::vector<Outgoing>& outgoing, TimePoint now) const;
    void conclude(std::map<std::uint64_t, Question>::iterator question, std::optional<std::uint64_t> software);

    std::string m_ownIp;
    Options m_options;
    std::vector<std::string> m_members;
    std::vector<runners::SoleVersion> m_soleVersions;
    std::vector<runners::Departure> m_departures;
    /// Origins that this daemon keeps for the fleet.
    dispatch::StreamOrigins m_kept;
    /// By nonce.
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_lastNonce;
    TimePoint m_nextHistoryAt {};
    std::size_t m_nextHistoryMember = 0;
};

}
