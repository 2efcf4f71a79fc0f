#include "edge/FleetSocket.h"

#include "common/ScopeExit.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::edge {

FleetSocket::FleetSocket(asio::io_context& context, const std::string& ip, std::uint16_t port, Receiver receiver)
    : m_socket(context, asio::ip::udp::endpoint(asio::ip::make_address(ip), port))
    , m_port(port)
    , m_receiver(std::move(receiver))
{
    m_socket.non_blocking(true);
    receive();
}

void FleetSocket::send(const std::string& ip, std::string_view bytes)
{
    asio::error_code error;
    const asio::ip::udp::endpoint to(asio::ip::make_address(ip, error), m_port);
    if (!error)
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, error);
    if (error) {
        // No retry: the next digest replaces this one.
        telemetry::logDebug("digest-unsent", { { "to", ip }, { "detail", error.message() } });
        return;
    }
    m_sentBytes += bytes.size();
}

void FleetSocket::dropPending() { readAll(false); }

void FleetSocket::receive()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& error) {
        if (error)
            return;
        const ScopeExit receiveNext([this] { receive(); });
        readAll(true);
    });
}

void FleetSocket::readAll(bool shouldDeliver)
{
    while (true) {
        asio::error_code error;
        asio::ip::udp::endpoint from;
        const auto size = m_socket.receive_from(asio::buffer(m_buffer), from, 0, error);
        if (error)
            return;
        m_receivedBytes += size;
        if (!shouldDeliver)
            continue;
        const auto message = fleet::decode({ m_buffer.data(), size });
        if (message)
            m_receiver(from.address().to_string(), *message);
        else
            ++m_rejectedCount;
    }
}

}
