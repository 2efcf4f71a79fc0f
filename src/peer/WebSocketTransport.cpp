#include "peer/WebSocketTransport.h"

#include <map>
#include <stdexcept>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace eelgrassford::peer {

namespace {

    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using Handle = websocketpp::connection_hdl;

    constexpr std::size_t maximumFrameBytes = 8u << 20;
    constexpr long handshakeTimeoutMilliseconds = 2000;

    class WebSocketTransport : public Transport {
    public:
        WebSocketTransport(asio::io_context& context, Events events)
            : m_events(std::move(events))
        {
            initialise(m_server, context);
            initialise(m_client, context);
            m_server.set_reuse_addr(true);
            m_server.set_open_handler([this](const Handle& handle) {
                const auto id = m_nextId++;
                m_idByHandle[handle] = id;
                m_connectionById[id] = { handle, true };
                m_events.opened(id, true);
            });
            m_client.set_open_handler(
                [this](const Handle& handle) { m_events.opened(m_idByHandle.at(handle), false); });
        }

        void listen(const std::string& ip, std::uint16_t port) override
        {
            websocketpp::lib::error_code error;
            m_server.listen(asio::ip::tcp::endpoint(asio::ip::make_address(ip), port), error);
            if (error)
                throw std::runtime_error(
                    "cannot listen on " + ip + ":" + std::to_string(port) + ": " + error.message());
            m_server.start_accept();
        }

        ConnectionId connect(const std::string& ip, std::uint16_t port) override
        {
            const auto id = m_nextId++;
            websocketpp::lib::error_code error;
            auto connection = m_client.get_connection("ws://" + ip + ":" + std::to_string(port) + "/", error);
            if (error) {
                m_events.closed(id);
                return id;
            }
            m_idByHandle[connection->get_handle()] = id;
            m_connectionById[id] = { connection->get_handle(), false };
            m_client.connect(connection);
            return id;
        }

        void send(ConnectionId connection, const std::string& frame) override
        {
            const auto found = m_connectionById.find(connection);
            if (found == m_connectionById.end())
                return;
            websocketpp::lib::error_code error;
            if (found->second.isAccepted)
                m_server.send(found->second.handle, frame, websocketpp::frame::opcode::binary, error);
            else
                m_client.send(found->second.handle, frame, websocketpp::frame::opcode::binary, error);
        }

        std::size_t pendingBytes(ConnectionId connection) const override
        {
            const auto found = m_connectionById.find(connection);
            if (found == m_connectionById.end())
                return 0;
            return found->second.isAccepted ? bufferedBytes(m_server, found->second.handle)
                                            : bufferedBytes(m_client, found->second.handle);
        }

        void close(ConnectionId connection) override
        {
            const auto found = m_connectionById.find(connection);
            if (found == m_connectionById.end())
                return;
            websocketpp::lib::error_code error;
            if (found->second.isAccepted)
                m_server.close(found->second.handle, websocketpp::close::status::going_away, "", error);
            else
                m_client.close(found->second.handle, websocketpp::close::status::going_away, "", error);
        }

        void stop() override
        {
            websocketpp::lib::error_code error;
            if (m_server.is_listening())
                m_server.stop_listening(error);
            const auto connections = m_connectionById;
            for (const auto& [id, connection] : connections)
                close(id);
        }

    private:
        struct Connection {
            Handle handle;
            bool isAccepted = false;
        };

        template <typename Endpoint> void initialise(Endpoint& endpoint, asio::io_context& context)
        {
            endpoint.clear_access_channels(websocketpp::log::alevel::all);
            endpoint.clear_error_channels(websocketpp::log::elevel::all);
            endpoint.init_asio(&context);
            endpoint.set_max_message_size(maximumFrameBytes);
            endpoint.set_open_handshake_timeout(handshakeTimeoutMilliseconds);
            endpoint.set_message_handler([this](const Handle& handle, typename Endpoint::message_ptr message) {
                const auto found = m_idByHandle.find(handle);
                if (found != m_idByHandle.end())
                    m_events.received(found->second, message->get_payload());
            });
            endpoint.set_close_handler([this](const Handle& handle) { handleClosed(handle); });
            endpoint.set_fail_handler([this](const Handle& handle) { handleClosed(handle); });
        }

        template <typename Endpoint> static std::size_t bufferedBytes(const Endpoint& endpoint, const Handle& handle)
        {
            websocketpp::lib::error_code error;
            auto connection = const_cast<Endpoint&>(endpoint).get_con_from_hdl(handle, error);
            return error ? 0 : connection->get_buffered_amount();
        }

        void handleClosed(const Handle& handle)
        {
            const auto found = m_idByHandle.find(handle);
            if (found == m_idByHandle.end())
                return;
            const auto id = found->second;
            m_idByHandle.erase(found);
            m_connectionById.erase(id);
            m_events.closed(id);
        }

        Events m_events;
        Server m_server;
        Client m_client;
        ConnectionId m_nextId = 1;
        std::map<Handle, ConnectionId, std::owner_less<Handle>> m_idByHandle;
        std::map<ConnectionId, Connection> m_connectionById;
    };

}

std::unique_ptr<Transport> makeWebSocketTransport(asio::io_context& context, Transport::Events events)
{
    return std::make_unique<WebSocketTransport>(context, std::move(events));
}

}
