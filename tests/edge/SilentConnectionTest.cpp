#include "edge/FleetLink.h"
#include "store/DeltaCodec.h"
#include "support/Loopback.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using daemon::currentTime;

namespace {

/// A store that answers nothing.
class SilentStore : public store::Protocol {
public:
    std::string listTarget(std::string_view) const override { return "/list"; }
    std::string watchTarget(std::uint64_t, Duration) const override { return "/watch"; }
    tl::expected<store::Page, store::ProtocolError> decodePage(std::string_view) const override
    {
        return tl::unexpected(store::ProtocolError { "silent" });
    }
    tl::expected<store::Changes, store::ProtocolError> decodeChanges(std::string_view) const override
    {
        return tl::unexpected(store::ProtocolError { "silent" });
    }
    std::optional<std::uint64_t> decodeEra(std::span<const store::Header>) const override { return {}; }
    bool isHistoryLost(std::uint16_t) const override { return false; }
};

/// Another daemon, whose open connections can fall silent for good while new ones work.
class OtherDaemon {
public:
    OtherDaemon(asio::io_context& context, const std::string& ip, std::uint16_t port)
        : m_ip(ip)
        , m_socket(context, { asio::ip::make_address(ip), port })
        , m_acceptor(context, { asio::ip::make_address(ip), port })
    {
        accept();
    }

    void announce(std::uint64_t revision, const std::string& to)
    {
        fleet::Digest digest;
        digest.incarnation = m_socket.local_endpoint().address().to_v4().to_uint();
        digest.sequence = ++m_sequence;
        digest.ip = m_ip;
        digest.region = "region";
        digest.changeRevision = m_revision = revision;
        m_socket.send_to(
            asio::buffer(fleet::encode(digest)), { asio::ip::make_address(to), m_socket.local_endpoint().port() });
    }

    void silenceConnections() { m_silentConnections = m_peers.size(); }

    /// Answers the requests that have arrived, except on silent connections.
    void answer()
    {
        for (std::size_t i = 0; i < m_peers.size(); ++i) {
            auto& peer = *m_peers[i];
            if (!peer.has("\r\n\r\n"))
                continue;
            peer.received.clear();
            if (i < m_silentConnections) {
                ++unanswered;
                continue;
            }
            const auto body = store::encode({ 10, m_revision, { { "key", "new", m_revision } }, {}, false });
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    std::size_t unanswered = 0;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            m_peers.push_back(std::make_shared<tests::Peer>(std::move(socket)));
            m_peers.back()->read();
            accept();
        });
    }

    std::string m_ip;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<tests::Peer>> m_peers;
    std::size_t m_silentConnections = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_revision = 0;
};

edge::RelaySettings settingsOf(const std::string& ip, std::uint16_t port)
{
    edge::RelaySettings settings;
    settings.ip = ip;
    settings.region = "region";
    settings.fleetPort = port;
    return settings;
}

}

TEST_CASE("a change is fetched after one silent connection, though those to all other daemons are silent as well")
{
    const std::string ownIp = "127.0.0.2";
    asio::io_context context;
    const auto port = tests::freePort(context);
    SilentStore protocol;
    store::Mirror mirror(protocol, {}, [] { return 0.5; });
    upstream::CurlClient client(context);
    edge::FleetLink link(context, settingsOf(ownIp, port), 1, mirror, client, [] { return 0.5; },
        { [] {}, [](auto) {}, [](auto) {}, [](auto) {}, [](auto) {} });
    mirror.merge({ 0, 10, { { "key", "old", 10 } }, {}, true }, currentTime());
    std::vector<std::unique_ptr<OtherDaemon>> others;
    for (const char* ip : { "127.0.0.4", "127.0.0.5", "127.0.0.6", "127.0.0.7", "127.0.0.8" })
        others.push_back(std::make_unique<OtherDaemon>(context, ip, port));
    const auto run = [&](const std::function<void()>& announce, std::uint64_t revision) {
        tests::runUntil(context, [&] {
            announce();
            link.tick(currentTime());
            for (auto& other : others)
                other->answer();
            return mirror.completeRevision() == revision;
        });
    };
    std::uint64_t revision = 10;
    for (auto& other : others) {
        ++revision;
        run([&] { other->announce(revision, ownIp); }, revision);
    }
    for (auto& other : others)
        other->silenceConnections();
    ++revision;
    const auto unanswered = [&] {
        std::size_t sum = 0;
        for (const auto& other : others)
            sum += other->unanswered;
        return sum;
    };
    // Always a daemon announces the change whose connection was not tried yet.
    run([&] { others[std::min(unanswered(), others.size() - 1)]->announce(revision, ownIp); }, revision);
    CHECK(unanswered() == 1);
    CHECK(mirror.items().at("key").value == "new");
}
