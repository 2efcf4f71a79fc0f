#include "peer/Mesh.h"

#include <algorithm>

namespace eelgrassford::peer {

Mesh::Mesh(const Options& options, NonceSource nonces, MessageHandler onMessage)
    : m_options(options)
    , m_nonces(std::move(nonces))
    , m_onMessage(std::move(onMessage))
{
}

void Mesh::handleOpened(ConnectionId connection, bool isAccepted)
{
    const auto side = isAccepted ? Handshake::Side::Accepting : Handshake::Side::Connecting;
    const auto [position, isNew] = m_connections.emplace(
        connection, Connection { Handshake(side, m_options.self, m_options.keys, m_nonces()), false, {} });
    m_transport->send(connection, position->second.handshake.challenge());
}

void Mesh::handleFrame(ConnectionId connection, const std::string& frame)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    auto& entry = found->second;
    if (!entry.hasReceivedChallenge) {
        entry.hasReceivedChallenge = true;
        const auto hello = entry.handshake.acceptChallenge(frame);
        if (!hello)
            rejectFrame(connection);
        else
            m_transport->send(connection, *hello);
        return;
    }
    if (!entry.handshake.isComplete()) {
        const auto identity = entry.handshake.acceptHello(frame);
        if (!identity) {
            rejectFrame(connection);
            return;
        }
        entry.host = identity->host;
        m_connectionByHost[identity->host] = connection;
        if (const auto peer = m_peers.find(identity->host); peer != m_peers.end())
            peer->second.backoff = m_options.initialBackoff;
        return;
    }
    const auto payload = entry.handshake.open(frame);
    if (!payload) {
        rejectFrame(connection);
        return;
    }
    const auto message = decode(*payload);
    if (!message) {
        ++m_rejectedFrames;
        return;
    }
    auto& counters = m_counters[message->index()];
    ++counters.messagesReceived;
    counters.bytesReceived += frame.size();
    m_onMessage(entry.host, *message);
}

void Mesh::handleClosed(ConnectionId connection, TimePoint now)
{
    removeConnection(connection);
    for (auto& [id, peer] : m_peers) {
        if (peer.ownConnection != connection)
            continue;
        peer.ownConnection.reset();
        peer.retryAt = now + peer.backoff;
        peer.backoff = std::min(2 * peer.backoff, m_options.maxBackoff);
    }
}

void Mesh::setPeers(const std::vector<PeerAddress>& addresses)
{
    std::map<HostId, Peer> peers;
    for (const auto& address : addresses) {
        if (address.id == m_options.self.host)
            continue;
        const auto old = m_peers.find(address.id);
        Peer peer;
        peer.backoff = m_options.initialBackoff;
        if (old != m_peers.end())
            peer = old->second;
        peer.address = address;
        peers.emplace(address.id, std::move(peer));
    }
    for (const auto& [id, peer] : m_peers) {
        const auto connection = m_connectionByHost.find(id);
        if (!peers.contains(id) && connection != m_connectionByHost.end())
            m_transport->close(connection->second);
    }
    m_peers = std::move(peers);
}

void Mesh::tick(TimePoint now)
{
    for (auto& [id, peer] : m_peers) {
        const bool shouldConnect = m_options.self.host < id;
        if (!shouldConnect || peer.ownConnection || m_connectionByHost.contains(id) || now < peer.retryAt)
            continue;
        peer.ownConnection = m_transport->connect(peer.address.ip, peer.address.port);
    }
}

void Mesh::send(const HostId& to, const Message& message)
{
    if (m_connectionByHost.contains(to))
        sendPayload(to, message.index(), encode(message));
}

void Mesh::broadcast(const Message& message)
{
    if (m_connectionByHost.empty())
        return;
    const auto payload = encode(message);
    for (const auto& [host, connection] : m_connectionByHost)
        sendPayload(host, message.index(), payload);
}

std::set<HostId> Mesh::connectedHosts() const
{
    std::set<HostId> hosts;
    for (const auto& [host, connection] : m_connectionByHost)
        hosts.insert(host);
    return hosts;
}

void Mesh::sendPayload(const HostId& to, std::size_t kind, const std::string& payload)
{
    const auto connection = m_connectionByHost.at(to);
    if (m_transport->pendingBytes(connection) > m_options.maxPendingBytes) {
        ++m_droppedFrames;
        return;
    }
    const auto frame = m_connections.at(connection).handshake.seal(payload);
    ++m_counters[kind].messagesSent;
    m_counters[kind].bytesSent += frame.size();
    m_transport->send(connection, frame);
}

void Mesh::rejectFrame(ConnectionId connection)
{
    ++m_rejectedFrames;
    removeConnection(connection);
    m_transport->close(connection);
}

void Mesh::removeConnection(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    const auto byHost = m_connectionByHost.find(found->second.host);
    if (byHost != m_connectionByHost.end() && byHost->second == connection)
        m_connectionByHost.erase(byHost);
    m_connections.erase(found);
}

}
