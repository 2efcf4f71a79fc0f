#pragma once

#include "edge/FleetSocket.h"
#include "edge/RelaySettings.h"
#include "fleet/ByteBudget.h"
#include "fleet/Gossip.h"
#include "fleet/MissedChanges.h"
#include "fleet/ReaderElection.h"
#include "fleet/StreamDirectory.h"
#include "gateway/HttpServer.h"
#include "proxy/RunnerReport.h"
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
        /// Another daemon sent what runners stated of themselves.
        std::function<void(std::vector<fleet::RunnerStatement>)> statementsReceived;
        /// Another daemon sent which versions it knows to have served alone.
        std::function<void(std::vector<runners::SoleVersion>)> soleVersionsReceived;
        /// Another daemon sent which runners it knows to have left.
        std::function<void(std::vector<runners::Departure>)> departuresReceived;
    };

    /// @param random returns uniform numbers in [0, 1)
    FleetLink(asio::io_context& context, const RelaySettings& settings, std::uint64_t incarnation,
        store::Mirror& mirror, upstream::CurlClient& client, fleet::Gossip::RandomSource random, Events events);

    /// @brief Sends what is due and updates whether this daemon reads the store.
    void tick(TimePoint now);
    /// @brief Sets what the messages of this daemon say about runners.
    void setReport(proxy::RunnerReport report) { m_report = std::move(report); }
    /// @brief Tells the other daemons of changes at once; called after the store returned them.
    void announce(TimePoint now);
    /// @brief Gives origins of streams to the daemons that keep them.
    void publishOrigins(std::span<const dispatch::StreamOrigin> origins, dispatch::OriginCopies copies, TimePoint now);
    /// @brief Asks which software began a stream.
    void findOrigin(dispatch::StreamKey stream, fleet::StreamDirectory::Finder finder, TimePoint now);
    /// @brief Tells the other daemons that this one is leaving, and gives them the origins that it keeps.
    void leave(TimePoint now);
    /// @brief Discards the datagrams that arrived while the process was suspended.
    void onProcessResumed();
    /// @brief Adds the seeds of changed settings to the members, and applies their deadline for configurations.
    void applySettings(const RelaySettings& settings, TimePoint now);

    /// Called with the item, if the daemon has it; without a value if the daemon does not answer.
    using ItemReceiver = std::function<void(std::optional<std::vector<store::Item>> items)>;
    /// @brief Asks another daemon for its state of an item of the store.
    void fetchItem(const std::string& ip, const std::string& key, ItemReceiver receiver);
    /// @brief Addresses of the other daemons that are present, and of the seeds.
    std::vector<std::string> knownIps(TimePoint now) const;

    /// @brief Time of the newest freshness proof, from the store or from another daemon.
    std::optional<TimePoint> provenAt() const;
    const fleet::Gossip& gossip() const { return m_gossip; }
    const FleetSocket& socket() const { return m_socket; }
    /// @brief Fetches of published changes from other daemons.
    std::uint64_t fetchCount() const { return m_fetchCount; }
    /// @brief Origins of streams that this daemon keeps for the fleet.
    std::size_t keptOrigins() const { return m_directory.keptOrigins(); }
    /// @brief Whether this daemon queries the store itself.
    bool isReader(TimePoint now) const;

private:
    void receive(const std::string& from, const fleet::Message& message);
    void receiveOrigins(const std::string& from, const fleet::Message& message, TimePoint now);
    void onNews(const std::optional<fleet::Gossip::News>& news, TimePoint now);
    void onReply(const fleet::FreshnessReply& reply, TimePoint now);
    void adoptProof(std::uint64_t changeRevision, std::optional<TimePoint> provenAt);
    /// Whether this daemon asks the readers for proofs, rather than to take those in its aggregator's summaries.
    bool shouldAskReaders(TimePoint now) const;
    fleet::LocalState localState() const;
    void send(const std::vector<fleet::Gossip::Outgoing>& outgoing);
    void updateMembers(TimePoint now);
    void checkForMissedChanges(const std::string& ip, std::uint64_t changeRevision, TimePoint now);
    /// Logs that changes that other daemons hold are missing for long, and that they have come.
    void logMissedChanges(TimePoint now);
    /// Asks another daemon for the changes since a revision, 0 for a full copy.
    void fetch(const std::string& ip, store::Revision since);
    /// Merges the changes that another daemon sent.
    void takeDelta(const std::string& ip, const store::Delta& delta);
    /// URL at which another daemon serves its mirror.
    std::string mirrorUrl(const std::string& ip, store::Revision since, std::string_view parameters) const;
    gateway::HttpResponse serve(const gateway::HttpRequest& request);

    RelaySettings m_settings;
    store::Mirror& m_mirror;
    upstream::CurlClient& m_client;
    Events m_events;
    fleet::Gossip m_gossip;
    fleet::ReaderElection m_readerElection;
    fleet::MissedChanges m_missedChanges;
    fleet::StreamDirectory m_directory;
    /// Set once a log line says that changes are missing.
    std::optional<TimePoint> m_loggedBehindSince;
    FleetSocket m_socket;
    gateway::HttpServer m_server;
    fleet::ByteBudget m_changesBudget;
    std::uint64_t m_fetchCount = 0;
    proxy::RunnerReport m_report;
    std::optional<TimePoint> m_peerProvenAt;
    std::size_t m_liveCount = 0;
    TimePoint m_nextMembersLogAt {};
    bool m_isFetchingChanges = false;
    TimePoint m_newConnectionsUntil {};
    TimePoint m_nextCopyAt {};
    bool m_wasReader = true;
};

}
