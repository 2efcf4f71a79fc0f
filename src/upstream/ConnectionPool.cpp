#include "upstream/ConnectionPool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrassford::upstream {

namespace {

    constexpr std::size_t readBufferBytes = 16384;
    /// TCP keep-alive probes detect an unreachable peer while the connection only waits for a response.
    constexpr int firstProbeSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int probeCount = 2;
    /// Hundreds digit of informational (1xx) status codes.
    constexpr std::uint16_t informationalClass = 1;
    /// No process listens on this port, so that each connection attempt fails at once.
    constexpr std::uint16_t unusedPort = 0;

    asio::ip::tcp::endpoint endpointOf(const std::string& ip, std::uint16_t port)
    {
        asio::error_code error;
        const auto address = asio::ip::make_address(ip, error);
        return { address, error ? unusedPort : port };
    }

    template <int level, int name> using IntegerOption = asio::detail::socket_option::integer<level, name>;
    using UserTimeout = IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using FirstProbeDelay = IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>;
    using ProbeInterval = IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>;
    using ProbeCount = IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>;

    /// Value of the `timeout=SECONDS` parameter of the Keep-Alive header, if present.
    std::optional<Duration> keepAliveTimeout(const http::MessageHead& head)
    {
        const auto value = head.header("Keep-Alive");
        if (!value)
            return std::nullopt;
        constexpr std::string_view name = "timeout=";
        const auto at = value->find(name);
        if (at == std::string_view::npos)
            return std::nullopt;
        int seconds = 0;
        const auto digits = value->substr(at + name.size());
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (parsed.ec != std::errc {})
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

}

class ConnectionPool::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ConnectionPool& pool, std::shared_ptr<ConnectionPool*> poolReference)
        : m_socket(pool.m_context)
        , m_timer(pool.m_context)
        , m_endpoint(pool.m_endpoint)
        , m_clock(pool.m_clock)
        , m_options(pool.m_options)
        , m_pool(std::move(poolReference))
        , m_parser(http::MessageParser::Kind::Response,
              { [this](http::MessageHead& head) { onHead(head); }, [this](std::string_view bytes) { onBody(bytes); },
                  [this] { m_isMessageComplete = true; } })
        , m_idleTimeout(m_options.defaultIdleTimeout)
    {
    }

    void connect(Exchange exchange, ExchangeEvents events)
    {
        assign(std::move(exchange), std::move(events));
        asio::error_code error;
        m_socket.open(m_endpoint.protocol(), error);
        if (error) {
            asio::post(m_socket.get_executor(), [self = shared_from_this(), detail = error.message()] {
                self->finish(ExchangeEnd::NotSent, detail, true);
            });
            return;
        }
        setOptions();
        m_timer.expires_after(m_options.connectTimeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
            if (!cancelled && !self->m_isConnected)
                self->finish(ExchangeEnd::NotSent, "connection timed out", true);
        });
        m_socket.async_connect(m_endpoint, [self = shared_from_this()](const asio::error_code& failed) {
            if (self->m_isClosed)
                return;
            self->m_timer.cancel();
            if (failed) {
                self->finish(ExchangeEnd::NotSent, failed.message(), true);
                return;
            }
            self->m_isConnected = true;
            self->read();
            self->write();
        });
    }

    void reuse(Exchange exchange, ExchangeEvents events)
    {
        assign(std::move(exchange), std::move(events));
        // Writing is deferred so that no callback is called from within start().
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->write(); });
    }

    /// Whether the connection is open and the peer has sent nothing while it was idle.
    bool isUsable()
    {
        if (m_isClosed)
            return false;
        char byte = 0;
        asio::error_code error;
        m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block)
            return true;
        if (error)
            recordIdleLoss();
        return false;
    }

    bool isExpired(TimePoint now) const { return m_isClosed || now - m_idleSince > m_idleTimeout; }
    bool isOpen() const { return !m_isClosed; }

    void close()
    {
        if (std::exchange(m_isClosed, true))
            return;
        m_timer.cancel();
        // The callbacks are not destroyed here: this function may be called from within one of them.
        asio::error_code ignored;
        m_socket.close(ignored);
    }

    bool hasWritten() const { return m_writtenBytes > 0; }
    std::uint64_t exchange() const { return m_isBusy ? m_exchangeNumber : 0; }

private:
    void recordIdleLoss()
    {
        if (*m_pool)
            (*m_pool)->onIdleLoss();
    }

    void setOptions()
    {
        asio::error_code ignored;
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.unacknowledgedTimeout);
        m_socket.non_blocking(true, ignored);
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_socket.set_option(UserTimeout(static_cast<int>(timeout.count())), ignored);
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        m_socket.set_option(FirstProbeDelay(firstProbeSeconds), ignored);
        m_socket.set_option(ProbeInterval(probeIntervalSeconds), ignored);
        m_socket.set_option(ProbeCount(probeCount), ignored);
    }

    void assign(Exchange exchange, ExchangeEvents events)
    {
        m_exchange = std::move(exchange);
        m_events = std::move(events);
        ++m_exchangeNumber;
        m_writtenBytes = 0;
        m_skippedBytes = 0;
        m_isBusy = true;
        m_isReusable = true;
        m_isAnswer = false;
        m_parser.expectNoBody(m_exchange.isBodyless);
    }

    void write()
    {
        if (m_isClosed || !m_isBusy)
            return;
        asio::error_code error;
        const auto headWritten = std::min(m_writtenBytes, m_exchange.bytes.size());
        const auto bodyWritten = m_writtenBytes - headWritten;
        const std::array<asio::const_buffer, 2> rest { asio::buffer(m_exchange.bytes.data() + headWritten,
                                                           m_exchange.bytes.size() - headWritten),
            asio::buffer(m_exchange.body.data() + bodyWritten, m_exchange.body.size() - bodyWritten) };
        const auto size = m_socket.write_some(rest, error);
        if (!error)
            m_writtenBytes += size;
        else if (error != asio::error::would_block) {
            const auto end = m_writtenBytes == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Broken;
            finish(end, error.message(), true);
            return;
        }
        if (m_writtenBytes == requestBytes())
            return;
        m_socket.async_wait(
            asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& failed) {
                if (!failed)
                    self->write();
            });
    }

    std::size_t requestBytes() const { return m_exchange.bytes.size() + m_exchange.body.size(); }

    void read()
    {
        if (m_isClosed)
            return;
        m_socket.async_wait(
            asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
                if (!self->m_isClosed)
                    self->receive(error);
            });
    }

    void receive(asio::error_code error)
    {
        std::array<char, readBufferBytes> buffer;
        std::size_t size = 0;
        if (!error)
            size = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            read();
            return;
        }
        if (!m_isBusy) {
            // The peer closed the idle connection, or sent bytes that belong to no request.
            if (error)
                recordIdleLoss();
            close();
            return;
        }
        if (error) {
            onReadError(error);
            return;
        }
        parse({ buffer.data(), size });
        read();
    }

    void onReadError(const asio::error_code& error)
    {
        // A response without a length is complete only if the peer closed the connection in an orderly way (FIN).
        if (error == asio::error::eof && m_isAnswer && m_parser.finish() && m_isMessageComplete) {
            m_isReusable = false;
            finish(ExchangeEnd::Complete, {}, false);
            return;
        }
        finish(m_writtenBytes == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Broken, error.message(), true);
    }

    void parse(std::string_view bytes)
    {
        const auto self = shared_from_this();
        while (!bytes.empty() && m_isBusy && !m_isClosed) {
            const auto used = m_parser.feed(bytes);
            if (m_isClosed)
                return;
            if (!used) {
                finish(ExchangeEnd::Broken, used.error().message(), false);
                return;
            }
            m_skippedBytes += m_isAnswer ? 0 : *used;
            if (m_skippedBytes > m_options.maxSkippedBytes) {
                finish(ExchangeEnd::Broken, "too many bytes that are no answer", false);
                return;
            }
            bytes.remove_prefix(*used);
            if (std::exchange(m_isMessageComplete, false))
                onMessageComplete(!bytes.empty());
        }
    }

    void onHead(http::MessageHead& head)
    {
        if (m_isClosed)
            return;
        m_isAnswer = head.status / 100 != informationalClass && m_exchange.isAnswer(head);
        if (!m_isAnswer) {
            m_isReusable = m_isReusable && head.status / 100 == informationalClass;
            return;
        }
        m_isReusable = m_isReusable && head.isKeepAlive && !head.isEndedByClose;
        if (const auto time = keepAliveTimeout(head))
            m_idleTimeout = fromSeconds(toSeconds(*time) * m_options.keepAliveShare);
        if (m_events.responded)
            m_events.responded(head);
    }

    void onBody(std::string_view bytes)
    {
        if (m_isAnswer && !m_isClosed && m_events.received)
            m_events.received(bytes);
    }

    void onMessageComplete(bool hasMoreBytes)
    {
        // Skips an informational response or a late response to an earlier request; the awaited one follows.
        if (!m_isAnswer)
            return;
        m_isReusable = m_isReusable && !hasMoreBytes && m_writtenBytes == requestBytes();
        finish(ExchangeEnd::Complete, {}, false);
    }

    void finish(ExchangeEnd end, const std::string& detail, bool isConnectionLost)
    {
        if (m_isClosed || !m_isBusy)
            return;
        m_isBusy = false;
        const auto self = shared_from_this();
        const auto ended = std::move(m_events.ended);
        m_events = {};
        // Assigning an empty exchange would keep the buffer of the request.
        std::exchange(m_exchange, {});
        if (end != ExchangeEnd::Complete || !m_isReusable || *m_pool == nullptr)
            close();
        else {
            m_idleSince = m_clock();
            (*m_pool)->m_idle.push_back(self);
        }
        if (ended)
            ended({ end, detail, isConnectionLost });
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::ip::tcp::endpoint m_endpoint;
    Clock m_clock;
    ConnectionPoolOptions m_options;
    std::shared_ptr<ConnectionPool*> m_pool;
    http::MessageParser m_parser;
    Exchange m_exchange;
    ExchangeEvents m_events;
    std::uint64_t m_exchangeNumber = 0;
    std::size_t m_writtenBytes = 0;
    /// Bytes of the current exchange that do not belong to its response.
    std::size_t m_skippedBytes = 0;
    Duration m_idleTimeout;
    TimePoint m_idleSince {};
    bool m_isConnected = false;
    bool m_isBusy = false;
    bool m_isClosed = false;
    bool m_isReusable = true;
    /// Whether the response that is being parsed answers the current exchange.
    bool m_isAnswer = false;
    bool m_isMessageComplete = false;
};

ConnectionPool::ConnectionPool(asio::io_context& context, const std::string& ip, std::uint16_t port, Clock clock,
    const ConnectionPoolOptions& options, IdleLossHandler idleLost)
    : m_context(context)
    , m_endpoint(endpointOf(ip, port))
    , m_clock(std::move(clock))
    , m_options(options)
    , m_idleLost(std::move(idleLost))
    , m_self(std::make_shared<ConnectionPool*>(this))
{
}

ConnectionPool::~ConnectionPool()
{
    *m_self = nullptr;
    closeIdle();
}

ConnectionPool::Handle ConnectionPool::start(Exchange exchange, ExchangeEvents events)
{
    if (auto connection = takeIdle()) {
        connection->reuse(std::move(exchange), std::move(events));
        return { connection, connection->exchange() };
    }
    ++m_openedCount;
    auto connection = std::make_shared<Connection>(*this, m_self);
    connection->connect(std::move(exchange), std::move(events));
    return { connection, connection->exchange() };
}

void ConnectionPool::cancel(const Handle& handle)
{
    const auto connection = handle.connection.lock();
    if (connection && handle.exchange != 0 && connection->exchange() == handle.exchange)
        connection->close();
}

bool ConnectionPool::tryRecall(const Handle& handle)
{
    const auto connection = handle.connection.lock();
    if (!connection || handle.exchange == 0 || connection->exchange() != handle.exchange || connection->hasWritten())
        return false;
    connection->close();
    return true;
}

void ConnectionPool::probe(std::function<void(ProbeResult)> done)
{
    struct Probe {
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
    };
    ++m_openedCount;
    auto probe = std::make_shared<Probe>(Probe { asio::ip::tcp::socket(m_context), asio::steady_timer(m_context) });
    probe->timer.expires_after(m_options.connectTimeout);
    probe->timer.async_wait([probe](const asio::error_code& cancelled) {
        asio::error_code ignored;
        if (!cancelled)
            probe->socket.close(ignored);
    });
    probe->socket.async_connect(m_endpoint, [probe, done = std::move(done)](const asio::error_code& error) {
        asio::error_code ignored;
        probe->timer.cancel();
        probe->socket.close(ignored);
        if (!error)
            done(ProbeResult::Accepted);
        else
            done(error == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::NoAnswer);
    });
}

std::shared_ptr<ConnectionPool::Connection> ConnectionPool::takeIdle()
{
    const auto now = m_clock();
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (!connection->isExpired(now) && connection->isUsable())
            return connection;
        connection->close();
    }
    return nullptr;
}

void ConnectionPool::closeExpired(TimePoint now)
{
    std::erase_if(m_idle, [&](const auto& connection) {
        if (!connection->isExpired(now))
            return false;
        connection->close();
        return true;
    });
}

void ConnectionPool::closeIdle()
{
    for (const auto& connection : m_idle)
        connection->close();
    m_idle.clear();
}

void ConnectionPool::onIdleLoss()
{
    if (!m_idleLost || std::exchange(m_isLossPosted, true))
        return;
    asio::post(m_context, [self = m_self] {
        if (!*self)
            return;
        (*self)->m_isLossPosted = false;
        (*self)->m_idleLost();
    });
}

}
