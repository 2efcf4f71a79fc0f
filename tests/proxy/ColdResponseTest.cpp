#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::runUntil;

namespace {

std::shared_ptr<const routing::RouteTable> routesWithColdStart()
{
    auto configuration = tests::routeTable()->configuration();
    routing::Service service;
    service.name = "pool";
    service.coldStart = std::chrono::seconds(3);
    service.coldRequestsPerSecond = 10.0;
    configuration.services = { service };
    return std::make_shared<const routing::RouteTable>(std::move(configuration));
}

/// Two runners of a service with a cold start, whose responses say that they are cold.
struct Fixture : tests::RouterFixture {
    int requests = 0;

    /// Sends a request and lets its runner answer it with a header; returns the status line.
    std::string call(const std::string& header)
    {
        const auto id = "q" + std::to_string(++requests);
        caller = connect("GET", "/look/1", id, {});
        runUntil(context, [&] {
            for (const auto* runner : { &firstRunner, &secondRunner }) {
                for (const auto& peer : runner->peers) {
                    if (!peer->has("X-Attempt-Id: " + id + "\r\n"))
                        continue;
                    peer->received.clear();
                    peer->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n" + header
                        + "Content-Length: 2\r\n\r\nok");
                }
            }
            return caller->has("\r\n\r\n");
        });
        return caller->received.substr(0, 12);
    }
};

}

// Guards against full load on runners that say that they are cold, and against one that says something else instead.
TEST_CASE("runners that say in responses that they are cold are paced; requests in excess are refused as not run")
{
    for (const std::string stated : { "3000", "-5", "99999999", "soon" }) {
        CAPTURE(stated);
        Fixture fixture;
        fixture.router.setRoutes(routesWithColdStart());
        fixture.frozenAt = daemon::currentTime() + std::chrono::seconds(10);
        const auto header = "X-Cold-Ms: " + stated + "\r\n";
        for (int i = 0; i < 2; ++i)
            CHECK(fixture.call(header) == "HTTP/1.1 200");
        // Both have told, and the clock stands still. The latency objective leaves no time to wait for the next turn.
        auto routes = routesWithColdStart()->configuration();
        for (auto& route : routes.routes)
            route.latencyObjective = std::chrono::milliseconds(100);
        fixture.router.setRoutes(std::make_shared<const routing::RouteTable>(std::move(routes)));
        CHECK(fixture.call(header) == (stated == "3000" ? "HTTP/1.1 503" : "HTTP/1.1 200"));
        CHECK(fixture.caller->has("runners-cold") == (stated == "3000"));
        fixture.clockOffset += std::chrono::seconds(4);
        CHECK(fixture.call({}) == "HTTP/1.1 200");
    }
}
