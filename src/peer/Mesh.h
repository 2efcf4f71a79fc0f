#pragma once

#include "common/Time.h"
#include "peer/Codec.h"
#include "peer/Handshake.h"
#include "peer/Transport.h"
#include <array>
#include <functional>
#include <map>
#include <set>

namespace eelgrassford::peer {

/// @brief Where a peer listens.
struct PeerAddress {
    HostId id;
    std::string ip;
    std::uint16_t port = 0;
};

/// @brief Bytes and messages of one kind.
struct KindCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// @brief Authenticated connections to the other daemons, over a transport.
///
/// The host with the smaller name connects, so that a pair shares one connection. Messages to a peer without one
/// are dropped: every protocol above repeats what matters.
class Mesh {
public:
    struct Options {
        Identity self;
        FleetKeys keys;
        /// Frames are dropped while more than this is waiting on a connection.
        std::size_t pendingLimit = 4u << 20;
        Duration firstRetry = std::chrono::milliseconds(200);
        Duration longestRetry = std::chrono::seconds(5);
    };
    using NonceSource = std::function<std::string()>;
    using Receiver = std::function<void(const HostId& from, const Message& message)>;

    Mesh(const Options& options, NonceSource nonces, Receiver receiver);

    /// @brief The transport to use; must be set before any other call, and outlive this object.
    void setTransport(Transport& transport) { m_transport = &transport; }
    /// @brief Events of the transport, to be wired to it.
    void handleOpened(ConnectionId connection, bool isAccepted);
    void handleFrame(ConnectionId connection, const std::string& frame);
    void handleClosed(ConnectionId connection, TimePoint now);

    /// @brief Takes the daemons that should be connected; others are closed.
    void setPeers(const std::vector<PeerAddress>& peers);
    /// @brief Makes due connections.
    void tick(TimePoint now);
    /// @brief Sends to one peer; dropped if there is no connection.
    void send(const HostId& to, const Message& message);
    void broadcast(const Message& message);

    std::set<HostId> connectedHosts() const;
    const std::array<KindCounters, std::variant_size_v<Message>>& counters() const { return m_counters; }
    std::uint64_t rejectedFrames() const { return m_rejectedFrames; }
    std::uint64_t droppedFrames() const { return m_droppedFrames; }

private:
    struct Peer {
        PeerAddress address;
        std::optional<ConnectionId> connecting;
        TimePoint retryAt {};
        Duration retryAfter {};
    };
    struct Connection {
        Handshake handshake;
        bool hasChallenge = false;
        HostId host;
    };

    void sendPayload(const HostId& to, std::size_t kind, const std::string& payload);
    void reject(ConnectionId connection);
    void forget(ConnectionId connection);

    Options m_options;
    NonceSource m_nonces;
    Receiver m_receiver;
    Transport* m_transport = nullptr;
    std::map<HostId, Peer> m_peers;
    std::map<ConnectionId, Connection> m_connections;
    std::map<HostId, ConnectionId> m_byHost;
    std::array<KindCounters, std::variant_size_v<Message>> m_counters {};
    std::uint64_t m_rejectedFrames = 0;
    std::uint64_t m_droppedFrames = 0;
};

}
