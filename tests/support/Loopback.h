#pragma once

#include "daemon/SystemClock.h"
#include <asio.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassford::tests {

/// Runs an event loop until a condition holds; the limit only ends a test that hangs.
inline void runUntil(asio::io_context& context, const std::function<bool()>& isDone)
{
    constexpr auto limit = std::chrono::seconds(20);
    const auto until = std::chrono::steady_clock::now() + limit;
    context.restart();
    while (!isDone()) {
        REQUIRE(std::chrono::steady_clock::now() < until);
        context.run_one_for(std::chrono::milliseconds(50));
    }
}

/// A TCP peer that records the bytes it receives and sends those that a test passes to it.
class Peer : public std::enable_shared_from_this<Peer> {
public:
    explicit Peer(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    static std::shared_ptr<Peer> connect(asio::io_context& context, std::uint16_t port)
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        return peer;
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    /// Sends bytes and then a block again and again, until the other side closes the connection.
    void sendEndlessly(const std::string& bytes, const std::string& block)
    {
        m_unsent = bytes;
        m_endlessBlock = block;
        writeUnsent();
    }
    void finish() { m_socket.shutdown(asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }
    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error) {
                    self->isEnded = true;
                    return;
                }
                self->received.append(self->m_buffer.data(), size);
                self->read();
            });
    }
    bool has(std::string_view text) const { return received.find(text) != std::string::npos; }

    std::string received;
    bool isEnded = false;

private:
    void writeUnsent()
    {
        if (m_unsent.empty())
            m_unsent = m_endlessBlock;
        m_socket.async_write_some(
            asio::buffer(m_unsent), [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error)
                    return;
                self->m_unsent.erase(0, size);
                self->writeUnsent();
            });
    }

    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer {};
    std::string m_unsent;
    std::string m_endlessBlock;
};

/// Accepts connections and keeps them as peers for a test.
class Listener {
public:
    explicit Listener(asio::io_context& context, std::uint16_t port = 0)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), port })
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void stop() { m_acceptor.close(); }
    /// Accepts nothing more, and fills the queue of new connections, so that further ones get no answer.
    void fillQueue()
    {
        m_acceptor.cancel();
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            auto& socket = m_queued.emplace_back(m_acceptor.get_executor());
            socket.async_connect(m_acceptor.local_endpoint(), [](const asio::error_code&) {});
        }
    }

    std::vector<std::shared_ptr<Peer>> peers;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            peers.push_back(std::make_shared<Peer>(std::move(socket)));
            peers.back()->read();
            accept();
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_queued;
};

/// A loopback port on which nothing listens at the time of the call.
inline std::uint16_t freePort(asio::io_context& context)
{
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

}
