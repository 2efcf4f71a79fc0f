#pragma once

#include "common/Time.h"
#include "gateway/CallerBudget.h"
#include "gateway/Http.h"
#include <asio.hpp>
#include <functional>
#include <memory>

namespace eelgrassford::gateway {

/// @brief Size and time limits on callers' requests.
struct CallerLimits {
    /// Largest start line and headers together; larger ones are answered with 431.
    std::size_t headerBytes = 16384;
    /// Largest body; larger ones are answered with 413.
    std::size_t bodyBytes = 4u << 20;
    /// Time from the first byte to the end of the headers; exceeding it is answered with 408.
    Duration headerTimeout = std::chrono::seconds(3);
    /// Time without a request, or without more bytes of a body, after which the connection is closed.
    Duration idleTimeout = std::chrono::seconds(15);
};

/// @brief An HTTP/1.1 server that continues to read while it answers.
///
/// Unlike HttpServer, it detects that a caller disconnects while its request runs, can close a connection without an
/// answer, and writes available data at once. It is used where requests are relayed; HttpServer serves the project's
/// own interface.
class StreamServer {
public:
    using Clock = std::function<TimePoint()>;

    /// @brief Binds and listens; throws std::system_error if the address cannot be bound.
    StreamServer(asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock, Handler handler);
    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    /// @brief Starts to accept connections; until then they wait in the listen queue.
    void startAccepting();
    void setLimits(const CallerLimits& limits);
    /// @brief Sets the budgets for all callers together.
    void setBudget(const CallerBudgetOptions& options);
    /// @brief What is held for callers.
    const CallerBudget& budget() const;
    /// @brief Applies the time limits to all connections that are not being answered; call a few times a second.
    void enforceTimeouts(TimePoint now);
    /// @brief Sends `Connection: close` with every response from now on.
    void closeAfterResponses();
    /// @brief Closes connections without a request in flight.
    void closeIdle();
    void stopAccepting();

    /// @brief Number of connections with a request that is being read or answered.
    std::size_t busyConnectionCount() const;
    /// @brief Number of connections, with closed ones that the next enforceTimeouts() removes.
    std::size_t connectionCount() const;
    /// @brief When a connection was last accepted.
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
