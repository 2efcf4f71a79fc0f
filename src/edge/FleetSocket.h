#pragma once

#include "fleet/Digest.h"
#include <array>
#include <asio.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassford::edge {

/// @brief Digests as UDP datagrams between daemons.
///
/// A digest replaces the one before, so that datagrams do as well as a connection: nothing has to be found dead, and
/// a host that was cut off is heard with its next digest.
class FleetSocket {
public:
    using Receiver = std::function<void(const std::string& from, const fleet::Message& message)>;

    /// @brief Binds; throws std::system_error if the address cannot be bound.
    FleetSocket(asio::io_context& context, const std::string& ip, std::uint16_t port, Receiver receiver);

    void send(const std::string& ip, std::string_view bytes);
    /// @brief Drops what arrived while the process was suspended.
    void dropPending();

    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }
    std::uint64_t rejected() const { return m_rejected; }

private:
    void receive();
    void readAll(bool isKept);

    /// Largest datagram that UDP carries.
    static constexpr std::size_t largestDatagram = 65507;

    asio::ip::udp::socket m_socket;
    std::uint16_t m_port;
    Receiver m_receiver;
    std::array<char, largestDatagram> m_buffer {};
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_rejected = 0;
};

}
