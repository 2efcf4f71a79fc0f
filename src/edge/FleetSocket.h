#pragma once

#include "fleet/Digest.h"
#include <array>
#include <asio.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassford::edge {

/// @brief Exchanges fleet messages with other daemons as UDP datagrams.
///
/// Each digest replaces the previous one, so lost datagrams need no retransmission. Without connections there are no
/// dead ones to detect, and a host that was partitioned is back with its next digest.
class FleetSocket {
public:
    using Receiver = std::function<void(const std::string& from, const fleet::Message& message)>;

    /// @brief Binds to @a ip and @a port, and sends to the same port of the other daemons.
    /// @throws std::system_error if the address cannot be bound
    FleetSocket(asio::io_context& context, const std::string& ip, std::uint16_t port, Receiver receiver);

    /// @brief Sends one datagram; a failure is logged and not retried.
    void send(const std::string& ip, std::string_view bytes);
    /// @brief Discards the datagrams that are waiting in the receive buffer.
    void dropPending();

    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }
    /// @brief Datagrams that could not be decoded.
    std::uint64_t rejectedCount() const { return m_rejectedCount; }

private:
    void receive();
    void readAll(bool shouldDeliver);

    /// Largest payload of a UDP datagram over IPv4.
    static constexpr std::size_t maxDatagramBytes = 65507;

    asio::ip::udp::socket m_socket;
    std::uint16_t m_port;
    Receiver m_receiver;
    std::array<char, maxDatagramBytes> m_buffer {};
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_rejectedCount = 0;
};

}
