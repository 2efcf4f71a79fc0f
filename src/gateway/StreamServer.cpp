#include "gateway/StreamServer.h"

#include "common/ScopeExit.h"
#include "gateway/Problem.h"
#include "gateway/ResponseEncoding.h"
#include "http/MessageParser.h"
#include "telemetry/DecisionLog.h"
#include <array>
#include <optional>

namespace eelgrassford::gateway {

using detail::encodeChunkHeader;
using detail::encodeHead;
using detail::encodeWhole;
using detail::isBodyless;

namespace {

    /// Bytes of pipelined requests that are buffered while one is answered.
    constexpr std::size_t readAheadLimit = 65536;
    /// Unsent bytes above which the connection of a caller that does not read is closed.
    constexpr std::size_t writeBacklogLimit = 2u << 20;
    /// Bytes that are read from the socket at once.
    constexpr std::size_t readSize = 16384;
    /// Pipelined requests of a connection that are handled before other connections get their turn.
    constexpr int requestsPerTurn = 16;
    constexpr int listenBacklog = 1024;
    constexpr std::string_view headMethod = "HEAD";
    /// Time that a caller has to close its side after the last response.
    constexpr Duration lingerTime = std::chrono::seconds(1);
    /// Delay after a failed accept(), for example when file descriptors are exhausted.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

}

struct StreamServer::Shared {
    Clock clock;
    Handler handler;
    CallerLimits limits;
    bool isClosing = false;
    TimePoint lastAcceptedAt {};
    std::list<std::weak_ptr<Connection>> connections;
};

class StreamServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_socket(std::move(socket))
        , m_shared(std::move(shared))
        , m_parser(http::MessageParser::Kind::Request,
              { [this](http::MessageHead& head) { onHead(head); }, [this](std::string_view bytes) { onBody(bytes); },
                  [this] { m_isRequestComplete = true; } })
        , m_waitingSince(m_shared->clock())
    {
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        asio::error_code unknown;
        const auto remote = m_socket.remote_endpoint(unknown);
        if (!unknown)
            m_remoteIp = remote.address().to_string();
    }

    void start() { read(); }

    void enforceTimeouts(TimePoint now)
    {
        if (m_isClosed || m_isAnswering)
            return;
        const auto& limits = m_shared->limits;
        if (m_isDiscarding) {
            if (now - m_waitingSince > lingerTime)
                close();
            return;
        }
        if (m_parser.isInMessage() && !m_hasHead && now - m_waitingSince > limits.headerTimeout)
            reject({ 408, ProblemCode::MalformedRequest, "the headers took too long", ProblemOutcome::NotRun, {} });
        else if (now - m_waitingSince > limits.idleTimeout)
            close();
    }

    bool isOpen() const { return !m_isClosed; }
    bool isBusy() const { return m_isAnswering || m_parser.isInMessage() || !m_input.empty() || !m_output.empty(); }

    void closeIfIdle()
    {
        if (!isBusy())
            close();
    }

private:
    /// Answers one request; a later request on the connection has a responder of its own.
    class RequestResponder : public Responder {
    public:
        /// @param isHead whether the request is a HEAD request, whose response has no body
        RequestResponder(std::shared_ptr<Connection> connection, bool isHead)
            : m_connection(std::move(connection))
            , m_isHead(isHead)
        {
        }

        ~RequestResponder() override
        {
            // A request that was dropped without an answer must not leave its caller waiting.
            if (m_connection)
                m_connection->close();
        }

        void respond(const HttpResponse& response) override
        {
            if (!m_connection)
                return;
            m_connection->send(encodeWhole(response, m_isHead, m_connection->isLast()));
            finish();
        }

        void begin(std::uint16_t status, const Headers& headers) override
        {
            if (!m_connection)
                return;
            m_hasBody = !m_isHead && !isBodyless(status);
            const auto* framing = isBodyless(status) ? "" : "Transfer-Encoding: chunked\r\n";
            m_connection->send(encodeHead(status, headers, framing, m_connection->isLast()));
        }

        void write(std::string chunk) override
        {
            if (m_connection && m_hasBody && !chunk.empty())
                m_connection->send(encodeChunkHeader(chunk.size()) + chunk + "\r\n");
        }

        void end() override
        {
            if (!m_connection)
                return;
            if (m_hasBody)
                m_connection->send("0\r\n\r\n");
            finish();
        }

        void abort() override
        {
            if (const auto connection = std::exchange(m_connection, nullptr)) {
                connection->m_disconnectHandler = nullptr;
                connection->close();
            }
        }

        void onCallerDisconnected(std::function<void()> handler) override
        {
            if (m_connection)
                m_connection->m_disconnectHandler = std::move(handler);
        }

    private:
        void finish()
        {
            if (const auto connection = std::exchange(m_connection, nullptr))
                connection->finishRequest();
        }

        std::shared_ptr<Connection> m_connection;
        bool m_isHead;
        /// Whether chunks follow the head of the streamed response.
        bool m_hasBody = true;
    };

    /// Whether the connection closes after the current response; stays true once it is.
    bool isLast()
    {
        m_isLast = m_isLast || m_shared->isClosing || !m_isKeepAlive;
        return m_isLast;
    }

    void read()
    {
        if (m_isReadPending || m_isClosed || m_input.size() >= readAheadLimit)
            return;
        m_isReadPending = true;
        m_socket.async_wait(
            asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
                self->m_isReadPending = false;
                if (error)
                    self->close();
                else
                    self->receive();
            });
    }

    void receive()
    {
        if (m_isClosed)
            return;
        std::array<char, readSize> buffer;
        asio::error_code error;
        const auto size = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            read();
            return;
        }
        if (error) {
            close();
            return;
        }
        if (m_isDiscarding) {
            read();
            return;
        }
        m_input.append(buffer.data(), size);
        onInput();
    }

    void onInput()
    {
        // The header timeout runs from the first byte of the headers, the idle timeout from the latest bytes of a body.
        if (!m_parser.isInMessage() || m_hasHead)
            m_waitingSince = m_shared->clock();
        parse();
        read();
    }

    void parse()
    {
        // A request that is answered at once ends within its handler, and the loop goes on with the next one.
        if (std::exchange(m_isParsing, true))
            return;
        const ScopeExit end([this] { m_isParsing = false; });
        int requests = 0;
        while (!m_isClosed && !m_isDiscarding && !m_isAnswering && !m_input.empty()) {
            if (requests == requestsPerTurn) {
                asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                    self->parse();
                    self->read();
                });
                return;
            }
            m_parser.setHeaderLimit(m_shared->limits.headerBytes);
            const auto used = m_parser.feed(m_input);
            if (!used) {
                reject(used.error().isTooLarge ? Problem { 431, ProblemCode::HeadersTooLarge, used.error().message(),
                           ProblemOutcome::NotRun, {} }
                                               : Problem { 400, ProblemCode::MalformedRequest, used.error().message(),
                                                   ProblemOutcome::NotRun, {} });
                return;
            }
            m_input.erase(0, *used);
            if (m_isBodyTooLarge) {
                reject({ 413, ProblemCode::BodyTooLarge,
                    "the body is larger than " + std::to_string(m_shared->limits.bodyBytes) + " bytes",
                    ProblemOutcome::NotRun, {} });
                return;
            }
            if (m_isRequestComplete) {
                dispatch();
                ++requests;
            }
        }
    }

    void onHead(http::MessageHead& head)
    {
        m_hasHead = true;
        m_isKeepAlive = head.isKeepAlive;
        const auto length = head.header("Content-Length");
        if (length && std::strtoull(std::string(*length).c_str(), nullptr, 10) > m_shared->limits.bodyBytes)
            m_isBodyTooLarge = true;
        const auto expected = head.header("Expect");
        if (expected && !m_isBodyTooLarge)
            send("HTTP/1.1 100 Continue\r\n\r\n");
        m_request.method = std::move(head.method);
        m_request.target = std::move(head.target);
        m_request.headers = std::move(head.headers);
    }

    void onBody(std::string_view bytes)
    {
        if (m_request.body.size() + bytes.size() > m_shared->limits.bodyBytes)
            m_isBodyTooLarge = true;
        else
            m_request.body += bytes;
    }

    void dispatch()
    {
        m_isRequestComplete = false;
        m_hasHead = false;
        m_isAnswering = true;
        auto request = std::exchange(m_request, {});
        const bool isHead = request.method == headMethod;
        request.remoteIp = m_remoteIp;
        m_shared->handler(std::move(request), std::make_shared<RequestResponder>(shared_from_this(), isHead));
    }

    void finishRequest()
    {
        m_isAnswering = false;
        m_disconnectHandler = nullptr;
        m_waitingSince = m_shared->clock();
        if (m_isClosed)
            return;
        if (m_isLast) {
            closeAfterOutput();
            return;
        }
        parse();
        read();
    }

    void reject(const Problem& problem)
    {
        m_isLast = true;
        send(encodeWhole(toResponse(problem), m_request.method == headMethod, true));
        closeAfterOutput();
    }

    void send(std::string bytes)
    {
        if (m_isClosed)
            return;
        if (m_output.empty()) {
            asio::error_code error;
            const auto sent = m_socket.write_some(asio::buffer(bytes), error);
            if (error && error != asio::error::would_block) {
                close();
                return;
            }
            if (!error && sent == bytes.size())
                return;
            m_output = error ? std::move(bytes) : bytes.substr(sent);
            waitUntilWritable();
            return;
        }
        m_output += bytes;
        if (m_output.size() > writeBacklogLimit)
            close();
    }

    void waitUntilWritable()
    {
        m_socket.async_wait(
            asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& error) {
                if (error || self->m_isClosed)
                    return;
                self->flush();
            });
    }

    void flush()
    {
        asio::error_code error;
        const auto sent = m_socket.write_some(asio::buffer(m_output), error);
        if (error && error != asio::error::would_block) {
            close();
            return;
        }
        m_output.erase(0, error ? 0 : sent);
        if (!m_output.empty())
            waitUntilWritable();
        else if (m_isLast && !m_isAnswering)
            closeAfterOutput();
    }

    void closeAfterOutput()
    {
        if (!m_output.empty() || m_isClosed)
            return;
        // Lets the caller close first: closing with unread input would reset the connection, and the caller could lose
        // the response.
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_isDiscarding = true;
        m_input.clear();
        m_waitingSince = m_shared->clock();
        read();
    }

    void close()
    {
        if (std::exchange(m_isClosed, true))
            return;
        asio::error_code ignored;
        m_socket.close(ignored);
        if (!m_disconnectHandler)
            return;
        // Deferred: a function of the responder may be running, and the handler may destroy the responder.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (const auto handler = std::exchange(self->m_disconnectHandler, nullptr))
                handler();
        });
    }

    asio::ip::tcp::socket m_socket;
    /// Empty if the peer had gone before its address was read.
    std::string m_remoteIp;
    std::shared_ptr<Shared> m_shared;
    http::MessageParser m_parser;
    HttpRequest m_request;
    std::string m_input;
    std::string m_output;
    std::function<void()> m_disconnectHandler;
    /// Start of the current wait: for headers, for more of a body, or for a request.
    TimePoint m_waitingSince;
    bool m_isReadPending = false;
    /// Whether parse() runs.
    bool m_isParsing = false;
    /// Whether the sending side is shut down and input is discarded until the caller closes.
    bool m_isDiscarding = false;
    bool m_isClosed = false;
    bool m_isAnswering = false;
    /// Whether the connection closes after the current response.
    bool m_isLast = false;
    bool m_isKeepAlive = true;
    bool m_hasHead = false;
    bool m_isRequestComplete = false;
    bool m_isBodyTooLarge = false;
};

StreamServer::StreamServer(
    asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock, Handler handler)
    : m_shared(std::make_shared<Shared>())
    , m_acceptor(context)
    , m_retryTimer(context)
{
    m_shared->clock = std::move(clock);
    m_shared->handler = std::move(handler);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(listenBacklog);
}

StreamServer::~StreamServer() = default;

void StreamServer::startAccepting()
{
    if (!std::exchange(m_isAccepting, true))
        accept();
}

void StreamServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            telemetry::logWarning("accept-failure", { { "detail", error.message() } });
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](const asio::error_code& cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        const ScopeExit acceptNext([this] { accept(); });
        m_shared->lastAcceptedAt = m_shared->clock();
        auto connection = std::make_shared<Connection>(std::move(socket), m_shared);
        m_shared->connections.push_back(connection);
        connection->start();
    });
}

void StreamServer::setLimits(const CallerLimits& limits) { m_shared->limits = limits; }
void StreamServer::closeAfterResponses() { m_shared->isClosing = true; }

void StreamServer::enforceTimeouts(TimePoint now)
{
    std::erase_if(m_shared->connections, [&](const auto& weak) {
        const auto connection = weak.lock();
        if (connection)
            connection->enforceTimeouts(now);
        return !connection || !connection->isOpen();
    });
}

void StreamServer::closeIdle()
{
    for (const auto& weak : m_shared->connections) {
        if (const auto connection = weak.lock())
            connection->closeIfIdle();
    }
}

void StreamServer::stopAccepting()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
}

std::size_t StreamServer::busyConnectionCount() const
{
    std::size_t count = 0;
    for (const auto& weak : m_shared->connections) {
        const auto connection = weak.lock();
        count += connection && connection->isOpen() && connection->isBusy() ? 1 : 0;
    }
    return count;
}

std::size_t StreamServer::connectionCount() const { return m_shared->connections.size(); }
TimePoint StreamServer::lastAcceptedAt() const { return m_shared->lastAcceptedAt; }

}
