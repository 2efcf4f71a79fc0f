#include "soak/LoopbackProxy.h"

#include <array>

namespace eelgrassford::soak {

using asio::ip::tcp;

class LoopbackProxy::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(LoopbackProxy& proxy, tcp::socket client)
        : m_proxy(proxy)
        , m_client(std::move(client))
        , m_target(proxy.m_context)
    {
    }

    void start()
    {
        m_target.async_connect(m_proxy.m_target, [self = shared_from_this()](const asio::error_code& error) {
            if (error) {
                self->reset();
                return;
            }
            self->read(self->m_up);
            self->read(self->m_down);
        });
    }

    /// The state of the link changed: bytes that waited may go on.
    void resume()
    {
        for (auto* way : { &m_up, &m_down }) {
            if (way->isWaiting && !isSilent(*way)) {
                way->isWaiting = false;
                write(*way);
            }
        }
    }

    void reset()
    {
        asio::error_code ignored;
        for (auto* socket : { &m_client, &m_target }) {
            if (!socket->is_open())
                continue;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        m_proxy.m_connections.erase(shared_from_this());
    }

private:
    struct Way {
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, 16384> buffer {};
        std::size_t size = 0;
        bool isWaiting = false;
        bool hasEnded = false;
    };

    bool isSilent(const Way& way) const
    {
        return &way == &m_up ? m_proxy.m_state.isSilentToTarget : m_proxy.m_state.isSilentFromTarget;
    }

    void read(Way& way)
    {
        way.from.async_read_some(asio::buffer(way.buffer),
            [self = shared_from_this(), &way](const asio::error_code& error, std::size_t size) {
                if (error && error != asio::error::eof) {
                    self->reset();
                    return;
                }
                way.size = size;
                way.hasEnded = error == asio::error::eof;
                self->delay(way);
            });
    }

    void delay(Way& way)
    {
        way.timer.expires_after(m_proxy.m_state.delay);
        way.timer.async_wait([self = shared_from_this(), &way](const asio::error_code&) {
            if (self->isSilent(way))
                way.isWaiting = true;
            else
                self->write(way);
        });
    }

    void write(Way& way)
    {
        if (way.hasEnded) {
            end(way);
            return;
        }
        asio::async_write(way.to, asio::buffer(way.buffer.data(), way.size),
            [self = shared_from_this(), &way](const asio::error_code& error, std::size_t) {
                if (error)
                    self->reset();
                else
                    self->read(way);
            });
    }

    void end(Way& way)
    {
        asio::error_code ignored;
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (m_up.hasEnded && m_down.hasEnded)
            reset();
    }

    LoopbackProxy& m_proxy;
    tcp::socket m_client;
    tcp::socket m_target;
    Way m_up { m_client, m_target, asio::steady_timer(m_proxy.m_context) };
    Way m_down { m_target, m_client, asio::steady_timer(m_proxy.m_context) };
};

LoopbackProxy::LoopbackProxy(asio::io_context& context, const Endpoint& listen, const Endpoint& target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_target(target)
{
    accept();
}

LoopbackProxy::~LoopbackProxy() = default;

void LoopbackProxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, tcp::socket client) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && !m_state.isRefusing) {
            const auto connection = std::make_shared<Connection>(*this, std::move(client));
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void LoopbackProxy::setState(const LinkState& state)
{
    m_state = state;
    for (const auto& connection : std::set(m_connections))
        connection->resume();
}

void LoopbackProxy::reset()
{
    for (const auto& connection : std::set(m_connections))
        connection->reset();
}

}
