#include "peer/Mesh.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassford;
using namespace eelgrassford::peer;

namespace {

std::vector<Message> makeEveryKind()
{
    using namespace claims;
    const ClaimId id { "entry-1", 7, 9 };
    const WitnessView view { 5, { "a", "b" } };
    membership::HostList list { 3, {} };
    list.hosts.push_back({ "entry-1", membership::HostRole::Entry, "r", "dc", "127.0.0.1:1", "127.0.0.1:2",
        membership::ListedState::Leaving, {}, {}, 1.0 });
    return {
        Heartbeat { 4, "hash", 6, true },
        ConfigurationRequest { { "x", "y" } },
        ConfigurationReply { { 2, "h", { "p" } }, { "part text" } },
        HostListRequest {},
        HostListReply { list },
        PlacementDigest { "m", { { "runner-1", 12.5 } }, { { 77, "runner-2", 300, "runner-1" } } },
        DemandDigest { { { "yard", 2.5 } } },
        QuarantineNotice { 0xffffffffffffffff },
        ClaimRequest { { 1, 2 }, id, view.digest() },
        ClaimReply { { 1, 2 }, id, Verdict::Held, { "entry-2", 1, 1 }, view.digest() },
        ClaimRelease { { 1, 2 }, id },
        SyncRequest { 3, view },
        SyncReply { 3, view, view, true, { { { 1, 2 }, id, std::chrono::milliseconds(1500), true } } },
        JoinRequest { { 1, 2 }, 99, id, { "entry-3", 1, 1 } },
        JoinReply { { 1, 2 }, id, JoinState::Mismatch },
        AnswerMessage { { 1, 2 }, 99, { 201, "text/plain", std::string("binary\0\xff", 8), "application-1" } },
    };
}

/// In-memory network that connects meshes.
class FakeNetwork {
public:
    class Endpoint : public Transport {
    public:
        Endpoint(FakeNetwork& network, std::string name)
            : m_network(network)
            , m_name(std::move(name))
        {
        }
        void listen(const std::string&, std::uint16_t) override { }
        ConnectionId connect(const std::string& ip, std::uint16_t) override { return m_network.connect(m_name, ip); }
        void send(ConnectionId connection, const std::string& frame) override
        {
            m_network.frames.push_back({ connection, m_name, frame });
        }
        std::size_t pendingBytes(ConnectionId) const override { return fakePendingBytes; }
        void close(ConnectionId connection) override { m_network.closed.push_back(connection); }
        void stop() override { }
        std::size_t fakePendingBytes = 0;

    private:
        FakeNetwork& m_network;
        std::string m_name;
    };
    struct Frame {
        ConnectionId connection;
        std::string sender;
        std::string bytes;
    };
    struct Node {
        std::unique_ptr<Endpoint> endpoint;
        std::unique_ptr<Mesh> mesh;
        std::vector<Message> received;
    };

    Node& add(const std::string& name, const FleetKeys& keys)
    {
        auto& node = nodes[name];
        node.endpoint = std::make_unique<Endpoint>(*this, name);
        node.mesh = std::make_unique<Mesh>(
            Mesh::Options { { name, 1, "r", "dc" }, keys },
            [this] { return std::string(16, static_cast<char>('a' + m_nonces++)); },
            [&node](const HostId&, const Message& message) { node.received.push_back(message); });
        node.mesh->setTransport(*node.endpoint);
        return node;
    }

    ConnectionId connect(const std::string& from, const std::string& to)
    {
        const auto id = ++m_connections;
        ends[id] = { from, to };
        m_toOpen.push_back(id);
        return id;
    }

    /// Opens pending connections and delivers frames until none are left.
    void deliverAll(const std::function<void(Frame&)>& tamper = {})
    {
        while (!m_toOpen.empty() || !frames.empty()) {
            for (const auto id : std::exchange(m_toOpen, {})) {
                nodes[ends[id].first].mesh->handleOpened(id, false);
                nodes[ends[id].second].mesh->handleOpened(id, true);
            }
            if (frames.empty())
                continue;
            auto frame = frames.front();
            frames.pop_front();
            if (tamper)
                tamper(frame);
            const auto& [from, to] = ends[frame.connection];
            nodes[frame.sender == from ? to : from].mesh->handleFrame(frame.connection, frame.bytes);
        }
    }

    std::map<std::string, Node> nodes;
    std::map<ConnectionId, std::pair<std::string, std::string>> ends;
    std::deque<Frame> frames;
    std::vector<ConnectionId> closed;

private:
    std::vector<ConnectionId> m_toOpen;
    ConnectionId m_connections = 0;
    int m_nonces = 0;
};

const FleetKeys oldKey { { "old", "0123456789abcdef" } };
const FleetKeys newKey { { "new", "fedcba9876543210" } };
const FleetKeys oldThenNew { oldKey[0], newKey[0] };
const FleetKeys newThenOld { newKey[0], oldKey[0] };

bool canExchangeMessages(const FleetKeys& left, const FleetKeys& right)
{
    FakeNetwork network;
    auto& a = network.add("a", left);
    network.add("b", right);
    a.mesh->setPeers({ { "b", "b", 1 } });
    a.mesh->tick(TimePoint {});
    network.deliverAll();
    a.mesh->send("b", Heartbeat { 1, "h", 2, true });
    network.deliverAll();
    return network.nodes["b"].received == std::vector<Message> { Heartbeat { 1, "h", 2, true } };
}

}

TEST_CASE("every kind of message survives encoding and decoding unchanged")
{
    const auto messages = makeEveryKind();
    CHECK(messages.size() == std::variant_size_v<Message>);
    for (std::size_t kind = 0; kind < messages.size(); ++kind) {
        CHECK(messages[kind].index() == kind);
        const auto decoded = decode(encode(messages[kind]));
        INFO(kindName(messages[kind]));
        REQUIRE(decoded);
        CHECK(*decoded == messages[kind]);
    }
}

TEST_CASE("the message decoder")
{
    SUBCASE("reports an error for truncated, unknown and malformed payloads")
    {
        for (const auto& message : makeEveryKind()) {
            const auto payload = encode(message);
            for (std::size_t length = 0; length < payload.size(); ++length)
                CHECK_FALSE(decode(std::string_view(payload).substr(0, length)));
        }
        CHECK(decode("\x81\x18\xc8").error().code == CodecErrorCode::UnknownKind);
        CHECK(decode("hello").error().code == CodecErrorCode::Malformed);
    }

    SUBCASE("does not crash on arbitrary bytes")
    {
        CHECK(rc::check([](const std::string& bytes) { decode(bytes); }));
        CHECK(rc::check([](std::uint8_t kind, std::uint16_t position, char byte) {
            const auto messages = makeEveryKind();
            auto payload = encode(messages[kind % messages.size()]);
            payload[position % payload.size()] = byte;
            decode(payload);
        }));
    }

    SUBCASE("ignores fields that a later version adds")
    {
        auto payload = encode(QuarantineNotice { 5 });
        payload[0] = static_cast<char>(payload[0] + 1);
        payload += "\x01";
        const auto decoded = decode(payload);
        REQUIRE(decoded);
        CHECK(std::get<QuarantineNotice>(*decoded).requestDigest == 5);
    }
}

TEST_CASE("two peers")
{
    SUBCASE("connect with a common key at every step of a key rollover")
    {
        CHECK(canExchangeMessages(oldKey, oldKey));
        CHECK(canExchangeMessages(oldKey, oldThenNew));
        CHECK(canExchangeMessages(oldThenNew, newThenOld));
        CHECK(canExchangeMessages(newThenOld, newKey));
    }

    SUBCASE("do not connect when one signs with a key unknown to the other")
    {
        CHECK_FALSE(canExchangeMessages(oldKey, newKey));
        CHECK_FALSE(canExchangeMessages(newThenOld, oldKey));
    }

    SUBCASE("close the connection on a modified, replayed or reordered frame")
    {
        for (const int kind : { 0, 1, 2 }) {
            FakeNetwork network;
            auto& a = network.add("a", oldKey);
            auto& b = network.add("b", oldKey);
            a.mesh->setPeers({ { "b", "b", 1 } });
            a.mesh->tick(TimePoint {});
            network.deliverAll();
            a.mesh->send("b", QuarantineNotice { 1 });
            a.mesh->send("b", QuarantineNotice { 2 });
            if (kind == 0)
                network.frames[0].bytes.back() ^= 1;
            if (kind == 1)
                network.frames[1] = network.frames[0];
            if (kind == 2)
                std::swap(network.frames[0], network.frames[1]);
            network.deliverAll();
            CHECK(b.mesh->rejectedFrames() >= 1);
            CHECK_FALSE(network.closed.empty());
            CHECK(b.received.size() == (kind == 1 ? 1 : 0));
        }
    }

    SUBCASE("drop frames when too many bytes are pending, and count sent bytes by kind")
    {
        FakeNetwork network;
        auto& a = network.add("a", oldKey);
        network.add("b", oldKey);
        a.mesh->setPeers({ { "b", "b", 1 } });
        a.mesh->tick(TimePoint {});
        network.deliverAll();
        a.mesh->send("b", QuarantineNotice { 1 });
        a.endpoint->fakePendingBytes = 100u << 20;
        a.mesh->send("b", QuarantineNotice { 2 });
        CHECK(a.mesh->droppedFrames() == 1);
        const auto kind = Message(QuarantineNotice {}).index();
        CHECK(a.mesh->counters()[kind].messagesSent == 1);
        CHECK(a.mesh->counters()[kind].bytesSent == 8 + encode(QuarantineNotice { 1 }).size());
    }

    SUBCASE("reconnect after the initial backoff when the connection is lost")
    {
        FakeNetwork network;
        auto& a = network.add("a", oldKey);
        auto& b = network.add("b", oldKey);
        a.mesh->setPeers({ { "b", "b", 1 } });
        a.mesh->tick(TimePoint {});
        network.deliverAll();
        a.mesh->handleClosed(1, TimePoint {});
        b.mesh->handleClosed(1, TimePoint {});
        CHECK(a.mesh->connectedHosts().empty());
        a.mesh->tick(TimePoint(std::chrono::milliseconds(100)));
        network.deliverAll();
        CHECK(a.mesh->connectedHosts().empty());
        a.mesh->tick(TimePoint(std::chrono::milliseconds(200)));
        network.deliverAll();
        CHECK(a.mesh->connectedHosts() == std::set<HostId> { "b" });
    }
}
