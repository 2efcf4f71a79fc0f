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
            self->read(self->m_toTarget);
            self->read(self->m_fromTarget);
        });
    }

    /// Forwards held-back bytes in directions that are no longer stalled.
    void resume()
    {
        for (auto* direction : { &m_toTarget, &m_fromTarget }) {
            if (direction->isWaiting && !isStalled(*direction)) {
                direction->isWaiting = false;
                write(*direction);
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
    struct Direction {
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, 16384> buffer {};
        std::size_t size = 0;
        bool isWaiting = false;
        bool hasEnded = false;
    };

    bool isStalled(const Direction& direction) const
    {
        return &direction == &m_toTarget ? m_proxy.m_state.isStalledToTarget : m_proxy.m_state.isStalledFromTarget;
    }

    void read(Direction& direction)
    {
        direction.from.async_read_some(asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction](const asio::error_code& error, std::size_t size) {
                if (error && error != asio::error::eof) {
                    self->reset();
                    return;
                }
                direction.size = size;
                direction.hasEnded = error == asio::error::eof;
                self->writeAfterDelay(direction);
            });
    }

    void writeAfterDelay(Direction& direction)
    {
        direction.timer.expires_after(m_proxy.m_state.delay);
        direction.timer.async_wait([self = shared_from_this(), &direction](const asio::error_code&) {
            if (self->isStalled(direction))
                direction.isWaiting = true;
            else
                self->write(direction);
        });
    }

    void write(Direction& direction)
    {
        if (direction.hasEnded) {
            end(direction);
            return;
        }
        asio::async_write(direction.to, asio::buffer(direction.buffer.data(), direction.size),
            [self = shared_from_this(), &direction](const asio::error_code& error, std::size_t) {
                if (error)
                    self->reset();
                else
                    self->read(direction);
            });
    }

    void end(Direction& direction)
    {
        asio::error_code ignored;
        direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (m_toTarget.hasEnded && m_fromTarget.hasEnded)
            reset();
    }

    LoopbackProxy& m_proxy;
    tcp::socket m_client;
    tcp::socket m_target;
    Direction m_toTarget { m_client, m_target, asio::steady_timer(m_proxy.m_context) };
    Direction m_fromTarget { m_target, m_client, asio::steady_timer(m_proxy.m_context) };
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
