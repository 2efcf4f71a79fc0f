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

/// @brief A serialized request and how to recognize its response.
struct Exchange {
    /// Start line and headers, and the body unless it is given apart.
    std::string bytes;
    /// Tells from the head of a response whether it answers this request. A reused connection may still deliver a
    /// late response to an earlier request.
    std::function<bool(const http::MessageHead&)> isAnswer;
    /// The response has no body, whatever its headers say, as for a HEAD request.
    bool isBodyless = false;
    /// Body that is sent after the bytes; it stays with its owner.
    std::string_view body {};
    /// Keeps the body alive.
    std::shared_ptr<const void> bodyOwner {};
};

/// @brief How an exchange ended.
enum class ExchangeEnd {
    /// The whole response arrived.
    Complete,
    /// No byte of the request was written.
    NotSent,
    /// After at least one byte of the request was written, the connection failed or delivered bytes that are not an
    /// HTTP response.
    Broken,
};

/// @brief Outcome of an exchange.
struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::Broken;
    /// Error text; empty if the exchange is complete.
    std::string detail;
    /// The peer reset or closed the connection or could not be reached. False if it sent bytes that are not an HTTP
    /// response, since it is alive then.
    bool isConnectionLost = false;
};

/// @brief Callbacks of an exchange; none is called from within start().
struct ExchangeEvents {
    /// The head of the response arrived.
    std::function<void(http::MessageHead& head)> responded;
    /// Bytes of the response body arrived.
    std::function<void(std::string_view bytes)> received;
    /// The exchange ended; the last callback.
    std::function<void(const ExchangeResult& result)> ended;
};

/// @brief Timeouts of a connection pool.
struct ConnectionPoolOptions {
    /// Time within which a connection must be established. A runner in the same region accepts within milliseconds.
    Duration connectTimeout = std::chrono::milliseconds(400);
    /// Time after which a connection with unacknowledged bytes is closed (TCP_USER_TIMEOUT). A low-bandwidth link may
    /// stall for one or two seconds.
    Duration unacknowledgedTimeout = std::chrono::milliseconds(4000);
    /// Time that an idle connection is kept if the peer sends no Keep-Alive timeout.
    Duration defaultIdleTimeout = std::chrono::seconds(4);
    /// Share of the peer's Keep-Alive timeout for which an idle connection is kept. Below 1, so that no request is sent
    /// while the peer closes the connection.
    double keepAliveShare = 0.7;
    /// Most bytes before the awaited response, such as late responses to earlier requests, that an exchange skips. A
    /// runner in trouble may send such bytes without end.
    std::size_t maxSkippedBytes = 512u << 10;
};

/// @brief Pool of persistent HTTP/1.1 connections to one upstream, each with one request at a time (no pipelining).
///
/// The pool never retries an exchange. A connection is not reused after it received unexpected bytes, or if the
/// response ended before the whole request was written.
class ConnectionPool {
public:
    class Connection;
    using Clock = std::function<TimePoint()>;
    /// Called when the upstream, or the network, has closed idle connections. Never called from within start().
    using IdleLossHandler = std::function<void()>;
    /// Identifies an exchange for cancel(), even after its connection is reused for another exchange.
    struct Handle {
        std::weak_ptr<Connection> connection;
        std::uint64_t exchange = 0;
    };

    /// @param ip if it is no IP address, each exchange ends as NotSent
    ConnectionPool(asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock,
        const ConnectionPoolOptions& options, IdleLossHandler idleLost = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// @brief Sends a request on the most recently used idle connection, or on a new connection if none is usable.
    /// @return handle for cancel()
    Handle start(Exchange exchange, ExchangeEvents events);
    /// @brief Aborts an exchange without further callbacks and closes its connection.
    static void cancel(const Handle& handle);
    /// @brief Aborts an exchange like cancel(), unless some of its request has been written.
    /// @return whether it was aborted
    static bool tryRecall(const Handle& handle);
    /// @brief Result of a connection attempt that sends no request.
    enum class ProbeResult {
        Accepted,
        /// The host refused the connection: no process listens on the port.
        Refused,
        /// The attempt timed out or failed otherwise; the fault may be on either side.
        NoAnswer,
    };
    /// @brief Tests whether the upstream accepts a connection, and closes that connection.
    /// @param done receives the result, never from within this function
    void probe(std::function<void(ProbeResult)> done);
    /// @brief Closes the connections whose idle timeout has expired.
    void closeExpired(TimePoint now);
    /// @brief Closes every idle connection, for example after the process was suspended.
    void closeIdle();

    /// @brief Number of idle connections.
    std::size_t idleCount() const { return m_idle.size(); }
    /// @brief Number of connections opened so far, probes included.
    std::uint64_t openedCount() const { return m_openedCount; }

private:
    std::shared_ptr<Connection> takeIdle();
    void onIdleLoss();

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_endpoint;
    Clock m_clock;
    ConnectionPoolOptions m_options;
    IdleLossHandler m_idleLost;
    /// The handler is about to be called.
    bool m_isLossPosted = false;
    std::vector<std::shared_ptr<Connection>> m_idle;
    std::uint64_t m_openedCount = 0;
    /// Shared with the connections and null once the pool is destroyed, since connections may outlive the pool.
    std::shared_ptr<ConnectionPool*> m_self;
};

}
