#pragma once

#include "common/Time.h"
#include "gateway/Http.h"
#include <asio.hpp>
#include <functional>
#include <list>
#include <memory>

namespace eelgrassford::gateway {

/// @brief What a caller may send, and how long it may take.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4u << 20;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// @brief An HTTP/1.1 server that reads on while it answers.
///
/// Unlike HttpServer it sees a caller leave while its request runs, closes connections without an answer, and writes
/// what is ready at once. It is used where requests are relayed; HttpServer serves the project's own interface.
class StreamServer {
public:
    using Clock = std::function<TimePoint()>;

    /// @brief Binds and listens; throws std::system_error if the address cannot be bound.
    StreamServer(asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock, Handler handler);
    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    /// @brief Begins to accept; until then connections wait in the listener's queue.
    void startAccepting();
    void setLimits(const CallerLimits& limits);
    /// @brief Ends connections that took too long; call a few times a second.
    void enforceTimeouts(TimePoint now);
    /// @brief Asks callers to close their connections after each response from now on.
    void closeAfterResponses();
    /// @brief Closes connections on which no request is under way.
    void closeIdle();
    void stopAccepting();

    /// @brief Connections with a request that is being read or answered.
    std::size_t busyConnectionCount() const;
    std::size_t connectionCount() const;
    TimePoint lastAcceptedAt() const;

private:
    struct Shared;
    class Connection;

    void accept();

    std::shared_ptr<Shared> m_shared;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    bool m_isAccepting = false;
};

}
