#pragma once

#include "common/Time.h"
#include "http/MessageParser.h"
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassford::upstream {

/// @brief One request as it is put on a connection.
struct Exchange {
    /// Start line, headers and body.
    std::string bytes;
    /// Whether a response is the answer to this request, rather than a late one to an earlier request.
    std::function<bool(const http::MessageHead&)> isAnswer;
    /// Whether the response has no body whatever its headers say, as to HEAD.
    bool isBodyless = false;
};

/// @brief How an exchange ended.
enum class ExchangeEnd {
    /// The whole response arrived.
    Complete,
    /// No byte of the request was written.
    NotSent,
    /// The connection failed, or brought something else than a response, after a byte was written.
    Broken,
};

struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::Broken;
    std::string detail;
    /// The peer reset or closed the connection, or could not be reached, rather than sent bytes that are no response.
    bool isConnectionLost = false;
};

/// @brief What a user of the pool is told, never from within start().
struct ExchangeEvents {
    std::function<void(http::MessageHead& head)> responded;
    std::function<void(std::string_view bytes)> received;
    std::function<void(const ExchangeResult& result)> ended;
};

/// @brief Durations of the pool.
struct ConnectionPoolOptions {
    /// Time in which a connection must be established; a runner in the same region accepts within milliseconds.
    Duration connectTimeout = std::chrono::milliseconds(400);
    /// Time after which unacknowledged bytes end a connection; a thin link may be held up for a second or two.
    Duration unacknowledgedTimeout = std::chrono::milliseconds(4000);
    /// Idle time of a connection whose peer names no time of its own.
    Duration defaultIdleTimeout = std::chrono::seconds(4);
    /// Part of the peer's own idle time that is used, so that a request does not cross its close.
    double keepAliveShare = 0.7;
};

/// @brief Kept HTTP/1.1 connections to one upstream, one request at a time on each.
///
/// An exchange is never repeated by the pool. A connection with unexpected bytes, or whose request was not written
/// whole when the response ended, is not used again.
class ConnectionPool {
public:
    class Connection;
    using Clock = std::function<TimePoint()>;
    /// Identifies an exchange for cancel(), also after its connection went on to another one.
    struct Handle {
        std::weak_ptr<Connection> connection;
        std::uint64_t exchange = 0;
    };

    ConnectionPool(asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock,
        const ConnectionPoolOptions& options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// @brief Puts a request on the most recently used idle connection, or on a new one.
    Handle start(Exchange exchange, ExchangeEvents events);
    /// @brief Ends an exchange without further events and closes its connection.
    static void cancel(const Handle& handle);
    /// @brief What a connection that carries nothing showed.
    enum class ProbeResult {
        Accepted,
        /// The host answered that nobody listens.
        Refused,
        /// Nothing came back in time; the fault may be on either side.
        NoAnswer,
    };
    /// @brief Finds out whether the upstream accepts connections.
    void probe(std::function<void(ProbeResult)> done);
    /// @brief Closes connections that were idle too long.
    void closeExpired(TimePoint now);
    /// @brief Closes every idle connection, as after the process was suspended.
    void closeIdle();

    std::size_t idleCount() const { return m_idle.size(); }
    std::uint64_t openedCount() const { return m_opened; }

private:
    std::shared_ptr<Connection> takeIdle();

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_endpoint;
    Clock m_clock;
    ConnectionPoolOptions m_options;
    std::vector<std::shared_ptr<Connection>> m_idle;
    std::uint64_t m_opened = 0;
    /// Lets connections that outlive the pool see that it is gone.
    std::shared_ptr<ConnectionPool*> m_self;
};

}
