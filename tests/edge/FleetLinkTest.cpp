#include "edge/FleetLink.h"
#include "support/Loopback.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using daemon::currentTime;

namespace {

/// A store without changes.
class QuietStore : public store::Protocol {
public:
    std::string listTarget(std::string_view) const override { return "/list"; }
    std::string watchTarget(std::uint64_t, Duration) const override { return "/watch"; }
    tl::expected<store::Page, store::ProtocolError> decodePage(std::string_view) const override
    {
        return tl::unexpected(store::ProtocolError { "not listed" });
    }
    tl::expected<store::Changes, store::ProtocolError> decodeChanges(std::string_view) const override
    {
        return store::Changes { {}, 10 };
    }
    std::optional<std::uint64_t> decodeEra(std::span<const store::Header>) const override { return {}; }
    bool isHistoryLost(std::uint16_t) const override { return false; }
};

edge::RelaySettings settingsOf(const std::string& ip, std::uint16_t port)
{
    edge::RelaySettings settings;
    settings.ip = ip;
    settings.region = "region";
    settings.fleetPort = port;
    settings.seeds = { "127.0.0.2:1", "127.0.0.3:1" };
    return settings;
}

/// A daemon's link to the fleet, with a mirror that is complete.
struct Daemon {
    QuietStore protocol;
    store::Mirror mirror { protocol, {}, [] { return 0.5; } };
    upstream::CurlClient client;
    edge::FleetLink link;
    bool isRefusedByStore = false;

    Daemon(asio::io_context& context, const std::string& ip, std::uint16_t port, std::uint64_t incarnation)
        : client(context)
        , link(context, settingsOf(ip, port), incarnation, mirror, client, [] { return 0.5; },
              { [] {}, [](auto) {}, [](auto) {}, [](auto) {}, [](auto) {} })
    {
        mirror.merge({ 0, 10, { { "key", "old", 10 } }, {}, true }, currentTime());
    }

    void tick()
    {
        const auto now = currentTime();
        link.tick(now);
        if (!mirror.nextQuery(now))
            return;
        if (isRefusedByStore)
            mirror.handleFailure("status 429", now);
        else
            mirror.handleResponse(200, "", now);
    }
};

/// Two daemons that know each other, and are readers therefore. The store refuses one of them.
struct RefusedReader {
    asio::io_context context;
    std::uint16_t port = tests::freePort(context);
    Daemon refused { context, "127.0.0.2", port, 1 };
    Daemon informed { context, "127.0.0.3", port, 2 };

    RefusedReader()
    {
        refused.isRefusedByStore = true;
        runUntil([&] { return refused.link.gossip().liveCount(currentTime()) == 1; });
        REQUIRE(refused.link.isReader(currentTime()));
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        tests::runUntil(context, [&] {
            refused.tick();
            informed.tick();
            return isDone();
        });
    }
};

}

TEST_CASE("a reader that the store refuses takes the changes that another daemon announces")
{
    RefusedReader fleet;
    fleet.informed.mirror.merge({ 10, 11, { { "key", "new", 11 } }, {}, false }, currentTime());
    fleet.informed.link.announce(currentTime());
    fleet.runUntil([&] { return fleet.refused.mirror.completeRevision() == 11; });
    CHECK(fleet.refused.mirror.items().at("key").value == "new");
}

TEST_CASE("a reader that the store refuses takes freshness proofs from another reader")
{
    RefusedReader fleet;
    fleet.runUntil([&] { return fleet.refused.link.provenAt().has_value(); });
    const auto first = *fleet.refused.link.provenAt();
    fleet.runUntil([&] { return *fleet.refused.link.provenAt() > first; });
    CHECK_FALSE(fleet.refused.mirror.provenAt());
    CHECK(*fleet.refused.link.provenAt() <= *fleet.informed.mirror.provenAt());
}

// Guards against runners that stay listed for good at a daemon that was alone while the others started again.
TEST_CASE("a daemon learns of a removal from a daemon that started after it")
{
    RefusedReader fleet;
    fleet.refused.mirror.merge({ 10, 11, { { "gone", "old", 11 } }, {}, false }, currentTime());
    // The other daemon has listed the store since; it never saw the item.
    fleet.informed.mirror.merge({ 0, 12, { { "key", "old", 10 } }, {}, true }, currentTime());
    fleet.informed.link.announce(currentTime());
    fleet.runUntil([&] { return !fleet.refused.mirror.items().contains("gone"); });
    CHECK(fleet.refused.mirror.completeRevision() == 12);
}

TEST_CASE("a daemon gives another one its state of a single item")
{
    RefusedReader fleet;
    fleet.informed.mirror.merge({ 10, 11, { { "second", "s", 11 } }, {}, false }, currentTime());
    using Items = std::vector<store::Item>;
    const auto fetch = [&](const std::string& ip, const std::string& key) {
        std::optional<std::optional<Items>> result;
        fleet.refused.link.fetchItem(ip, key, [&](std::optional<Items> items) { result = std::move(items); });
        fleet.runUntil([&] { return result.has_value(); });
        return *result;
    };
    const auto items = fetch("127.0.0.3", "key");
    REQUIRE(items);
    REQUIRE(items->size() == 1);
    CHECK(items->front().key == "key");
    CHECK(items->front().value == "old");
    CHECK(fetch("127.0.0.3", "third").value().empty());
    CHECK_FALSE(fetch("127.0.0.9", "key"));
}
