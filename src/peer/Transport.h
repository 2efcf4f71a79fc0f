#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace eelgrassford::peer {

using ConnectionId = std::uint64_t;

/// @brief Carries frames between daemons. Valid C++17, as its WebSocket implementation needs.
class Transport {
public:
    struct Events {
        /// A connection is up, made by connect() or accepted.
        std::function<void(ConnectionId, bool isAccepted)> opened;
        std::function<void(ConnectionId, const std::string& frame)> received;
        /// A connection ended or could not be made.
        std::function<void(ConnectionId)> closed;
    };

    virtual ~Transport() = default;
    /// @brief Accepts connections; throws std::runtime_error if the address cannot be bound.
    virtual void listen(const std::string& ip, std::uint16_t port) = 0;
    virtual ConnectionId connect(const std::string& ip, std::uint16_t port) = 0;
    virtual void send(ConnectionId connection, const std::string& frame) = 0;
    /// @brief Bytes accepted for sending that have not left yet.
    virtual std::size_t pendingBytes(ConnectionId connection) const = 0;
    virtual void close(ConnectionId connection) = 0;
    /// @brief Stops listening and closes every connection.
    virtual void stop() = 0;
};

}
