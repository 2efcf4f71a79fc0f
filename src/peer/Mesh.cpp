#include "peer/Mesh.h"

#include <algorithm>

namespace eelgrassford::peer {

Mesh::Mesh(const Options& options, NonceSource nonces, Receiver receiver)
    : m_options(options)
    , m_nonces(std::move(nonces))
    , m_receiver(std::move(receiver))
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
    if (!entry.hasChallenge) {
        entry.hasChallenge = true;
        const auto hello = entry.handshake.acceptChallenge(frame);
        if (!hello)
            reject(connection);
        else
            m_transport->send(connection, *hello);
        return;
    }
    if (!entry.handshake.isComplete()) {
        const auto identity = entry.handshake.acceptHello(frame);
        if (!identity) {
            reject(connection);
            return;
        }
        entry.host = identity->host;
        m_byHost[identity->host] = connection;
        if (const auto peer = m_peers.find(identity->host); peer != m_peers.end())
            peer->second.retryAfter = m_options.firstRetry;
        return;
    }
    const auto payload = entry.handshake.open(frame);
    if (!payload) {
        reject(connection);
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
    m_receiver(entry.host, *message);
}

void Mesh::handleClosed(ConnectionId connection, TimePoint now)
{
    forget(connection);
    for (auto& [id, peer] : m_peers) {
        if (peer.connecting != connection)
            continue;
        peer.connecting.reset();
        peer.retryAt = now + peer.retryAfter;
        peer.retryAfter = std::min(2 * peer.retryAfter, m_options.longestRetry);
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
        peer.retryAfter = m_options.firstRetry;
        if (old != m_peers.end())
            peer = old->second;
        peer.address = address;
        peers.emplace(address.id, std::move(peer));
    }
    for (const auto& [id, peer] : m_peers) {
        const auto connection = m_byHost.find(id);
        if (!peers.contains(id) && connection != m_byHost.end())
            m_transport->close(connection->second);
    }
    m_peers = std::move(peers);
}

void Mesh::tick(TimePoint now)
{
    for (auto& [id, peer] : m_peers) {
        const bool isOurs = m_options.self.host < id;
        if (!isOurs || peer.connecting || m_byHost.contains(id) || now < peer.retryAt)
            continue;
        peer.connecting = m_transport->connect(peer.address.ip, peer.address.port);
    }
}

void Mesh::send(const HostId& to, const Message& message)
{
    if (m_byHost.contains(to))
        sendPayload(to, message.index(), encode(message));
}

void Mesh::broadcast(const Message& message)
{
    if (m_byHost.empty())
        return;
    const auto payload = encode(message);
    for (const auto& [host, connection] : m_byHost)
        sendPayload(host, message.index(), payload);
}

std::set<HostId> Mesh::connectedHosts() const
{
    std::set<HostId> hosts;
    for (const auto& [host, connection] : m_byHost)
        hosts.insert(host);
    return hosts;
}

void Mesh::sendPayload(const HostId& to, std::size_t kind, const std::string& payload)
{
    const auto connection = m_byHost.at(to);
    if (m_transport->pendingBytes(connection) > m_options.pendingLimit) {
        ++m_droppedFrames;
        return;
    }
    const auto frame = m_connections.at(connection).handshake.seal(payload);
    ++m_counters[kind].messagesSent;
    m_counters[kind].bytesSent += frame.size();
    m_transport->send(connection, frame);
}

void Mesh::reject(ConnectionId connection)
{
    ++m_rejectedFrames;
    forget(connection);
    m_transport->close(connection);
}

void Mesh::forget(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    const auto byHost = m_byHost.find(found->second.host);
    if (byHost != m_byHost.end() && byHost->second == connection)
        m_byHost.erase(byHost);
    m_connections.erase(found);
}

}
