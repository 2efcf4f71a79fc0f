#pragma once

#include <asio.hpp>
#include <memory>
#include <set>
#include <string>

namespace eelgrassford::soak {

/// @brief What happens to the bytes of a link.
struct LinkState {
    /// Bytes wait until the link is whole again, as on a network that loses every packet.
    bool isSilentToTarget = false;
    bool isSilentFromTarget = false;
    /// New connections are closed at once.
    bool isRefusing = false;
    std::chrono::milliseconds delay { 0 };
};

/// @brief Forwards TCP connections on loopback and disturbs them from outside of the processes at their ends.
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
