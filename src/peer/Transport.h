#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace eelgrassford::peer {

using ConnectionId = std::uint64_t;

/// @brief Carries frames between daemons.
///
/// This header must stay valid C++17, because the WebSocket implementation is compiled as C++17.
class Transport {
public:
    struct Events {
        /// A connection was established, either by connect() or by accepting it.
        std::function<void(ConnectionId, bool isAccepted)> opened;
        /// A whole frame arrived.
        std::function<void(ConnectionId, const std::string& frame)> received;
        /// A connection was closed or could not be established.
        std::function<void(ConnectionId)> closed;
    };

    virtual ~Transport() = default;
    /// @brief Starts to accept connections.
    /// @throws std::runtime_error if the address cannot be bound
    virtual void listen(const std::string& ip, std::uint16_t port) = 0;
    /// @brief Starts to connect. The outcome is reported by the event opened or closed with the returned id.
    virtual ConnectionId connect(const std::string& ip, std::uint16_t port) = 0;
    /// @brief Queues a frame for sending; ignored if the connection is not known.
    virtual void send(ConnectionId connection, const std::string& frame) = 0;
    /// @brief Bytes that are queued for sending on a connection.
    virtual std::size_t pendingBytes(ConnectionId connection) const = 0;
    /// @brief Starts to close a connection; the event closed follows.
    virtual void close(ConnectionId connection) = 0;
    /// @brief Stops listening and closes every connection.
    virtual void stop() = 0;
};

}
