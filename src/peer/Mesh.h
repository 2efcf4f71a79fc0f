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

/// @brief Host name of a peer and the address on which it accepts connections.
struct PeerAddress {
    HostId id;
    std::string ip;
    std::uint16_t port = 0;
};

/// @brief Traffic counters of one kind of message.
struct MessageCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// @brief Maintains authenticated connections to the other daemons.
///
/// In each pair of daemons the one with the lexicographically smaller host name connects, so that the pair shares one
/// connection. Delivery is best effort: a message to a peer that is not connected is dropped, as the protocols above
/// repeat whatever must arrive.
class Mesh {
public:
    struct Options {
        Identity self;
        FleetKeys keys;
        /// Unsent bytes on a connection above which further frames are dropped.
        std::size_t maxPendingBytes = 4u << 20;
        /// Delay before the first attempt to reconnect; doubles after each failure.
        Duration initialBackoff = std::chrono::milliseconds(200);
        /// Upper limit of the delay between attempts to connect.
        Duration maxBackoff = std::chrono::seconds(5);
    };
    /// Returns the random nonce of a new connection, at least 16 bytes.
    using NonceSource = std::function<std::string()>;
    /// Called for each message from an authenticated peer.
    using MessageHandler = std::function<void(const HostId& from, const Message& message)>;

    Mesh(const Options& options, NonceSource nonces, MessageHandler onMessage);

    /// @brief Sets the transport to use; must be called before any other function. The transport must outlive this
    /// object.
    void setTransport(Transport& transport) { m_transport = &transport; }
    /// @brief Starts the handshake on a new connection; call on Transport::Events::opened.
    void handleOpened(ConnectionId connection, bool isAccepted);
    /// @brief Processes a received frame; call on Transport::Events::received.
    void handleFrame(ConnectionId connection, const std::string& frame);
    /// @brief Forgets a connection and schedules the next attempt; call on Transport::Events::closed.
    void handleClosed(ConnectionId connection, TimePoint now);

    /// @brief Replaces the set of peers. This host is ignored; connections to removed peers are closed.
    void setPeers(const std::vector<PeerAddress>& peers);
    /// @brief Starts the connection attempts that are due.
    void tick(TimePoint now);
    /// @brief Sends a message to one peer; drops it if the peer is not connected.
    void send(const HostId& to, const Message& message);
    /// @brief Sends a message to every connected peer.
    void broadcast(const Message& message);

    /// @brief Hosts with an authenticated connection.
    std::set<HostId> connectedHosts() const;
    /// @brief Traffic counters, indexed by the kind of message.
    const std::array<MessageCounters, std::variant_size_v<Message>>& counters() const { return m_counters; }
    /// @brief Frames that failed authentication or decoding.
    std::uint64_t rejectedFrames() const { return m_rejectedFrames; }
    /// @brief Frames dropped because too many bytes were waiting on the connection.
    std::uint64_t droppedFrames() const { return m_droppedFrames; }

private:
    struct Peer {
        PeerAddress address;
        /// Connection that this host opened, until it closes.
        std::optional<ConnectionId> ownConnection;
        TimePoint retryAt {};
        Duration backoff {};
    };
    struct Connection {
        Handshake handshake;
        bool hasReceivedChallenge = false;
        HostId host;
    };

    void sendPayload(const HostId& to, std::size_t kind, const std::string& payload);
    void rejectFrame(ConnectionId connection);
    void removeConnection(ConnectionId connection);

    Options m_options;
    NonceSource m_nonces;
    MessageHandler m_onMessage;
    Transport* m_transport = nullptr;
    std::map<HostId, Peer> m_peers;
    std::map<ConnectionId, Connection> m_connections;
    std::map<HostId, ConnectionId> m_connectionByHost;
    std::array<MessageCounters, std::variant_size_v<Message>> m_counters {};
    std::uint64_t m_rejectedFrames = 0;
    std::uint64_t m_droppedFrames = 0;
};

}
