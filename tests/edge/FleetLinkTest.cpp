#include "edge/FleetLink.h"
#include "support/Loopback.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using daemon::currentTime;

namespace {

/// A store that is never reached.
class UnreachableStore : public store::Protocol {
public:
    std::string listTarget(std::string_view) const override { return "/list"; }
    std::string watchTarget(std::uint64_t, Duration) const override { return "/watch"; }
    tl::expected<store::Page, store::ProtocolError> decodePage(std::string_view) const override
    {
        return tl::unexpected(store::ProtocolError { "unreachable" });
    }
    tl::expected<store::Changes, store::ProtocolError> decodeChanges(std::string_view) const override
    {
        return tl::unexpected(store::ProtocolError { "unreachable" });
    }
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

/// A daemon's link to the fleet, whose mirror was complete before the store refused every query.
struct Daemon {
    UnreachableStore protocol;
    store::Mirror mirror { protocol, {}, [] { return 0.5; } };
    upstream::CurlClient client;
    edge::FleetLink link;

    Daemon(asio::io_context& context, const std::string& ip, std::uint16_t port, std::uint64_t incarnation)
        : client(context)
        , link(context, settingsOf(ip, port), incarnation, mirror, client, [] { return 0.5; }, { [] {}, [](auto) {} })
    {
        mirror.merge({ 0, 10, { { "key", "old", 10 } }, {}, true }, currentTime());
    }

    void tick()
    {
        const auto now = currentTime();
        link.tick(now);
        if (mirror.nextQuery(now))
            mirror.handleFailure("status 429", now);
    }
};

}

TEST_CASE("a reader that the store refuses takes the changes that another daemon announces")
{
    asio::io_context context;
    const auto port = tests::freePort(context);
    Daemon refused(context, "127.0.0.2", port, 1);
    Daemon informed(context, "127.0.0.3", port, 2);
    const auto runUntil = [&](const std::function<bool()>& isDone) {
        tests::runUntil(context, [&] {
            refused.tick();
            informed.tick();
            return isDone();
        });
    };
    runUntil([&] { return refused.link.gossip().liveCount(currentTime()) == 1; });
    REQUIRE(refused.link.isReader(currentTime()));
    informed.mirror.merge({ 10, 11, { { "key", "new", 11 } }, {}, false }, currentTime());
    informed.link.announce(currentTime());
    runUntil([&] { return refused.mirror.completeRevision() == 11; });
    CHECK(refused.mirror.items().at("key").value == "new");
}
