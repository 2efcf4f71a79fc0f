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

/// @brief Exchanges load, health, proofs of contact and published changes with the other daemons.
class FleetLink {
public:
    struct Events {
        /// The mirror took changes from another daemon.
        std::function<void()> mirrorChanged;
        std::function<void(std::vector<dispatch::CrashRecord>)> crashesLearned;
    };

    FleetLink(asio::io_context& context, const RelaySettings& settings, std::uint64_t incarnation,
        store::Mirror& mirror, upstream::CurlClient& client, Events events);

    void tick(TimePoint now);
    /// @brief What this daemon tells the others of runners.
    void setStates(std::vector<fleet::RunnerState> states, std::vector<dispatch::CrashRecord> crashes);
    /// @brief Published changes came from the store: the others are told at once.
    void announce(TimePoint now);
    /// @brief Tells the others that this daemon ends.
    void leave(TimePoint now);
    /// @brief The process was suspended.
    void wakeUp();
    void addSeeds(const RelaySettings& settings, TimePoint now);

    /// @brief Newest proof of contact, own or vouched for.
    std::optional<TimePoint> provenAt() const;
    fleet::Members& members() { return m_members; }
    const FleetSocket& socket() const { return m_socket; }
    std::uint64_t fetches() const { return m_fetches; }
    bool isReader(TimePoint now) const;

private:
    void receive(const std::string& from, const fleet::Message& message);
    void onDigest(const fleet::Digest& digest, TimePoint now);
    void onReply(const fleet::FreshnessReply& reply, TimePoint now);
    void tell(TimePoint now, bool isLeaving);
    void noteMembers(TimePoint now);
    void noteBehind(const std::string& ip, std::uint64_t changeRevision, TimePoint now);
    void fetch(const std::string& ip);
    gateway::HttpResponse serve(const gateway::HttpRequest& request);

    RelaySettings m_settings;
    std::uint64_t m_incarnation;
    store::Mirror& m_mirror;
    upstream::CurlClient& m_client;
    Events m_events;
    fleet::Members m_members;
    fleet::ReaderElection m_readership;
    FleetSocket m_socket;
    gateway::HttpServer m_server;
    fleet::ByteBudget m_served;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fetches = 0;
    std::vector<fleet::RunnerState> m_states;
    std::vector<dispatch::CrashRecord> m_crashes;
    std::optional<TimePoint> m_vouchedAt;
    std::optional<TimePoint> m_behindSince;
    std::size_t m_heard = 0;
    bool m_isFetching = false;
    bool m_wasReader = true;
};

}
