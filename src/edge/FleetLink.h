#pragma once

#include "edge/FleetSocket.h"
#include "edge/RelaySettings.h"
#include "fleet/ByteBudget.h"
#include "fleet/Members.h"
#include "fleet/ReaderElection.h"
#include "gateway/HttpServer.h"
#include "store/Mirror.h"
#include "upstream/CurlClient.h"

namespace eelgrassford::edge {

/// @brief Exchanges runner load, runner health, freshness proofs and published changes with the other daemons.
class FleetLink {
public:
    struct Events {
        /// The mirror merged changes from another daemon.
        std::function<void()> mirrorChanged;
        /// Another daemon sent crash records in a digest.
        std::function<void(std::vector<dispatch::CrashRecord>)> crashRecordsReceived;
    };

    FleetLink(asio::io_context& context, const RelaySettings& settings, std::uint64_t incarnation,
        store::Mirror& mirror, upstream::CurlClient& client, Events events);

    /// @brief Sends what is due and updates whether this daemon reads the store.
    void tick(TimePoint now);
    /// @brief Sets the runner states and crash records that the digests of this daemon carry.
    void setStates(std::vector<fleet::RunnerState> states, std::vector<dispatch::CrashRecord> crashes);
    /// @brief Sends a digest to every live member at once; called after the store returned changes.
    void announce(TimePoint now);
    /// @brief Sends every live member a digest saying that this daemon is leaving.
    void leave(TimePoint now);
    /// @brief Discards the datagrams that arrived while the process was suspended.
    void onProcessResumed();
    /// @brief Adds the seeds of @a settings to the members.
    void addSeeds(const RelaySettings& settings, TimePoint now);

    /// @brief Time of the newest freshness proof, from the store or from another daemon.
    std::optional<TimePoint> provenAt() const;
    fleet::Members& members() { return m_members; }
    const FleetSocket& socket() const { return m_socket; }
    /// @brief Fetches of published changes from other daemons.
    std::uint64_t fetchCount() const { return m_fetchCount; }
    /// @brief Whether this daemon queries the store itself.
    bool isReader(TimePoint now) const;

private:
    void receive(const std::string& from, const fleet::Message& message);
    void onDigest(const fleet::Digest& digest, TimePoint now);
    void onReply(const fleet::FreshnessReply& reply, TimePoint now);
    void sendDigests(TimePoint now, bool isLeaving);
    void updateMembers(TimePoint now);
    void checkForMissedChanges(const std::string& ip, std::uint64_t changeRevision, TimePoint now);
    void fetch(const std::string& ip);
    gateway::HttpResponse serve(const gateway::HttpRequest& request);

    RelaySettings m_settings;
    std::uint64_t m_incarnation;
    store::Mirror& m_mirror;
    upstream::CurlClient& m_client;
    Events m_events;
    fleet::Members m_members;
    fleet::ReaderElection m_readerElection;
    FleetSocket m_socket;
    gateway::HttpServer m_server;
    fleet::ByteBudget m_changesBudget;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fetchCount = 0;
    std::vector<fleet::RunnerState> m_states;
    std::vector<dispatch::CrashRecord> m_crashes;
    std::optional<TimePoint> m_peerProvenAt;
    std::optional<TimePoint> m_behindSince;
    std::size_t m_liveCount = 0;
    bool m_isFetchingChanges = false;
    bool m_wasReader = true;
};

}
