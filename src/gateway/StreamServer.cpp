#include "gateway/StreamServer.h"

#include "common/Buffer.h"
#include "common/ScopeExit.h"
#include "gateway/Problem.h"
#include "gateway/ResponseEncoding.h"
#include "http/MessageParser.h"
#include "telemetry/DecisionLog.h"
#include "telemetry/LineBudget.h"
#include <array>
#include <map>
#include <optional>

namespace eelgrassford::gateway {

using detail::encodeChunkHeader;
using detail::encodeHead;
using detail::encodeWhole;
using detail::encodeWholeHead;
using detail::isBodyless;

namespace {

    /// Bytes of pipelined requests that are buffered while one is answered.
    constexpr std::size_t readAheadLimit = 65536;
    /// The same while the budget for callers is short. Some input is always read, since the end of the connection
    /// shows only then.
    constexpr std::size_t shortReadAheadLimit = 4096;
    /// Memory of a header line besides its text.
    constexpr std::size_t headerLineBytes = sizeof(Headers::value_type);
    /// Copies of the headers while a request is relayed: as received, decoded, and as sent to a runner.
    constexpr std::size_t headerCopies = 3;
    /// Log lines a second about rejected callers.
    constexpr std::uint32_t rejectionLinesPerSecond = 10;
    /// Retry-After of a request that was refused for want of memory or descriptors.
    constexpr auto retryAfterRejection = std::chrono::seconds(1);
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
    /// Rejects callers until the budget suffices. Must not be called from within a connection that parses or sends.
    void rejectExcess();

    Clock clock;
    Handler handler;
    CallerLimits limits;
    bool isClosing = false;
    TimePoint lastAcceptedAt {};
    CallerBudget budget;
    telemetry::LineBudget rejectionLines { rejectionLinesPerSecond };
    std::map<CallerBudget::Key, std::weak_ptr<Connection>> connections;
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
        m_key = m_shared->budget.join(m_remoteIp, m_waitingSince);
    }

    ~Connection() { m_shared->budget.leave(m_key); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    CallerBudget::Key key() const { return m_key; }

    void start() { read(); }

    void enforceTimeouts(TimePoint now)
    {
        if (m_isClosed)
            return;
        if (m_shared->budget.isTooSlow(m_key, now)) {
            m_shared->budget.countRejection(CallerRejection::Slow);
            rejectFor(CallerRejection::Slow, now);
            return;
        }
        if (m_isAnswering)
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

    /// Refuses the request that is being read, or closes the connection.
    void rejectFor(CallerRejection reason, TimePoint now)
    {
        if (m_isClosed)
            return;
        const auto phase = currentPhase();
        if (m_shared->rejectionLines.tryTake(now))
            telemetry::logWarning("caller-rejected",
                { { "reason", nameOf(reason) }, { "address", m_remoteIp }, { "phase", nameOf(phase) },
                    { "bytes", static_cast<std::uint64_t>(heldBytes()) },
                    { "held", static_cast<std::uint64_t>(m_shared->budget.heldBytes()) },
                    { "connections", static_cast<std::uint64_t>(m_shared->budget.connections()) },
                    { "skipped", m_shared->rejectionLines.takeSkipped() } });
        // What follows an unsent response could not reach the caller.
        if (phase != CallerPhase::Reading) {
            close();
            return;
        }
        if (reason == CallerRejection::Slow)
            reject({ 408, ProblemCode::MalformedRequest, "the body took too long", ProblemOutcome::NotRun, {} });
        else
            reject({ 503, ProblemCode::Overloaded, "the memory for callers is used up", ProblemOutcome::NotRun,
                retryAfterRejection });
        m_parser.releaseHead();
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
            const bool isLast = m_connection->isLast();
            if (m_isHead || isBodyless(response.status))
                m_connection->send(encodeWhole(response, m_isHead, isLast));
            else
                m_connection->send(encodeWholeHead(response, isLast), response.body);
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

        void holdBytes(std::size_t bytes) override
        {
            if (!m_connection)
                return;
            m_connection->m_responseBytes = bytes;
            m_connection->account();
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

    CallerPhase currentPhase() const
    {
        if (!m_output.empty())
            return CallerPhase::Sending;
        if (m_isAnswering)
            return CallerPhase::Running;
        const bool isReading = !m_isDiscarding && (m_parser.isInMessage() || !m_input.empty());
        return isReading ? CallerPhase::Reading : CallerPhase::Idle;
    }

    std::size_t heldBytes() const
    {
        return m_input.capacity() + m_output.capacity() + m_request.body.capacity() + m_headBytes + m_parser.heldBytes()
            + m_runningBytes + m_responseBytes;
    }

    /// Tells the budget what the connection holds.
    void account() { m_shared->budget.update(m_key, heldBytes(), currentPhase(), m_shared->clock()); }

    std::size_t inputLimit() const { return m_shared->budget.isShort() ? shortReadAheadLimit : readAheadLimit; }

    void read()
    {
        if (m_isReadPending || m_isClosed || m_input.size() >= inputLimit())
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
        m_shared->rejectExcess();
        const auto limit = inputLimit();
        if (m_isClosed || m_input.size() >= limit)
            return;
        std::array<char, readSize> buffer;
        asio::error_code error;
        // Only what is read while a request is answered stays in the input.
        const auto wanted = m_isAnswering ? std::min(readSize, limit - m_input.size()) : readSize;
        const auto size = m_socket.read_some(asio::buffer(buffer.data(), wanted), error);
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
        appendSteadily(m_input, { buffer.data(), size });
        if (!m_isAnswering)
            m_shared->budget.recordProgress(m_key, size, m_shared->clock());
        onInput();
    }

    void onInput()
    {
        // The header timeout runs from the first byte of the headers, the idle timeout from the latest bytes of a body.
        if (!m_parser.isInMessage() || m_hasHead)
            m_waitingSince = m_shared->clock();
        parse();
        account();
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
                    self->account();
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
            removeFront(m_input, *used);
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
        m_announcedBytes = length ? std::strtoull(std::string(*length).c_str(), nullptr, 10) : 0;
        if (m_announcedBytes > m_shared->limits.bodyBytes)
            m_isBodyTooLarge = true;
        const auto expected = head.header("Expect");
        if (expected && !m_isBodyTooLarge)
            send("HTTP/1.1 100 Continue\r\n\r\n");
        m_request.method = std::move(head.method);
        m_request.target = std::move(head.target);
        m_request.headers = std::move(head.headers);
        m_headBytes = m_request.target.capacity() + m_request.headers.capacity() * headerLineBytes;
        for (const auto& [name, value] : m_request.headers)
            m_headBytes += name.size() + value.size();
    }

    void onBody(std::string_view bytes)
    {
        if (m_request.body.size() + bytes.size() > m_shared->limits.bodyBytes)
            m_isBodyTooLarge = true;
        else
            appendSteadily(m_request.body, bytes, m_announcedBytes);
    }

    void dispatch()
    {
        m_isRequestComplete = false;
        m_hasHead = false;
        m_isAnswering = true;
        m_runningBytes = m_request.body.capacity() + std::exchange(m_headBytes, 0) * headerCopies;
        auto request = std::exchange(m_request, {});
        account();
        const bool isHead = request.method == headMethod;
        request.remoteIp = m_remoteIp;
        m_shared->handler(std::move(request), std::make_shared<RequestResponder>(shared_from_this(), isHead));
    }

    void finishRequest()
    {
        m_isAnswering = false;
        m_runningBytes = 0;
        m_responseBytes = 0;
        m_disconnectHandler = nullptr;
        m_waitingSince = m_shared->clock();
        if (m_isClosed)
            return;
        if (m_isLast) {
            closeAfterOutput();
            return;
        }
        parse();
        account();
        read();
    }

    void reject(const Problem& problem)
    {
        m_isLast = true;
        send(encodeWhole(toResponse(problem), m_request.method == headMethod, true));
        // Assigning an empty request would keep the buffer of the body.
        std::exchange(m_request, {});
        m_headBytes = 0;
        closeAfterOutput();
        account();
    }

    /// Sends bytes in one or two parts.
    void send(std::string_view first, std::string_view second = {})
    {
        if (m_isClosed)
            return;
        if (m_output.empty()) {
            const std::array<asio::const_buffer, 2> buffers { asio::buffer(first.data(), first.size()),
                asio::buffer(second.data(), second.size()) };
            asio::error_code error;
            const auto sent = m_socket.write_some(buffers, error);
            if (error && error != asio::error::would_block) {
                close();
                return;
            }
            if (!error && sent == first.size() + second.size())
                return;
            const auto rest = first.size() + second.size() - (error ? 0 : sent);
            appendSteadily(m_output, first.substr(std::min(first.size(), error ? 0 : sent)), rest);
            appendSteadily(m_output, second.substr(second.size() - std::min(second.size(), rest)), rest);
            // The caller has had no time yet to take them.
            m_shared->budget.recordProgress(m_key, rest, m_shared->clock());
            account();
            waitUntilWritable();
            return;
        }
        appendSteadily(m_output, first);
        appendSteadily(m_output, second);
        if (m_output.size() > writeBacklogLimit)
            close();
        account();
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
        if (!error && sent > 0) {
            removeFront(m_output, sent);
            const auto now = m_shared->clock();
            m_shared->budget.recordProgress(m_key, sent, now);
            // A response that the caller takes slowly is not idle.
            if (!m_isAnswering && !m_parser.isInMessage())
                m_waitingSince = now;
            account();
        }
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
        release(m_input);
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
    CallerBudget::Key m_key = 0;
    http::MessageParser m_parser;
    HttpRequest m_request;
    std::string m_input;
    std::string m_output;
    /// Announced length of the body; 0 without one.
    std::uint64_t m_announcedBytes = 0;
    /// Memory of the headers in m_request, and of a request and its response that are being handled.
    std::size_t m_headBytes = 0;
    std::size_t m_runningBytes = 0;
    std::size_t m_responseBytes = 0;
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

void StreamServer::Shared::rejectExcess()
{
    const auto now = clock();
    while (const auto decision = budget.nextRejection(now)) {
        const auto found = connections.find(decision->key);
        if (const auto connection = found == connections.end() ? nullptr : found->second.lock())
            connection->rejectFor(decision->reason, now);
    }
}

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
        m_shared->connections.emplace(connection->key(), connection);
        connection->start();
        m_shared->rejectExcess();
    });
}

void StreamServer::setLimits(const CallerLimits& limits) { m_shared->limits = limits; }
void StreamServer::setBudget(const CallerBudgetOptions& options) { m_shared->budget.setOptions(options); }
const CallerBudget& StreamServer::budget() const { return m_shared->budget; }
void StreamServer::closeAfterResponses() { m_shared->isClosing = true; }

void StreamServer::enforceTimeouts(TimePoint now)
{
    std::erase_if(m_shared->connections, [&](const auto& entry) {
        const auto connection = entry.second.lock();
        if (connection)
            connection->enforceTimeouts(now);
        return !connection || !connection->isOpen();
    });
    m_shared->rejectExcess();
}

void StreamServer::closeIdle()
{
    for (const auto& [key, weak] : m_shared->connections) {
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
    for (const auto& [key, weak] : m_shared->connections) {
        const auto connection = weak.lock();
        count += connection && connection->isOpen() && connection->isBusy() ? 1 : 0;
    }
    return count;
}

std::size_t StreamServer::connectionCount() const { return m_shared->connections.size(); }
TimePoint StreamServer::lastAcceptedAt() const { return m_shared->lastAcceptedAt; }

}
