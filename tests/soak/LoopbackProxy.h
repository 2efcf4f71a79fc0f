#pragma once

#include <asio.hpp>
#include <memory>
#include <set>
#include <string>

namespace eelgrassford::soak {

/// @brief Faults that the proxy injects on a link.
struct LinkState {
    /// Holds back bytes in this direction until the fault ends, as on a network that loses every packet.
    bool isStalledToTarget = false;
    bool isStalledFromTarget = false;
    /// Closes new connections immediately.
    bool isRefusing = false;
    /// Added to each chunk of bytes in both directions.
    std::chrono::milliseconds delay { 0 };
};

/// @brief Forwards TCP connections on loopback and injects network faults between the processes at both ends.
class LoopbackProxy {
public:
    using Endpoint = asio::ip::tcp::endpoint;

    LoopbackProxy(asio::io_context& context, const Endpoint& listen, const Endpoint& target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy&) = delete;
    LoopbackProxy& operator=(const LoopbackProxy&) = delete;

    void setState(const LinkState& state);
    /// @brief Resets every connection.
    void reset();

private:
    class Connection;

    void accept();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_target;
    LinkState m_state;
    std::set<std::shared_ptr<Connection>> m_connections;
};

}
