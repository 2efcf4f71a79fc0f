#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::runUntil;

namespace {

/// A daemon that reaches no runner, and another one, known as a member, that reaches one.
struct Fixture : tests::RouterFixture {
    tests::Listener reachedRunner { context };
    proxy::Router otherRouter { context, options(), codec, metrics, daemon::currentTime };
    gateway::StreamServer otherServer { context, "127.0.0.2", port, daemon::currentTime,
        [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
            otherRouter.handle(std::move(request), responder);
        } };

    Fixture()
    {
        firstRunner.stop();
        secondRunner.stop();
        otherRouter.setRoutes(tests::routeTable());
        otherRouter.setRunners(std::vector<runners::RunnerEntry> { runnerEntry("r-1", reachedRunner.port()) });
        otherRouter.confirmConfiguration(confirmedAt);
        otherServer.startAccepting();
        const std::vector<std::string> others { "127.0.0.2" };
        router.setFleet("127.0.0.1", others);
    }
};

}

// Guards against daemons that serve nobody while they are cut off from all runners.
TEST_CASE("a request at a daemon that reaches no runner is served through a daemon that does")
{
    Fixture fixture;
    fixture.call("POST", "/look/1");
    runUntil(fixture.context, [&] {
        return fixture.caller->has("HTTP/1.1 ")
            || (!fixture.reachedRunner.peers.empty() && fixture.reachedRunner.peers.front()->has("\r\n\r\n"));
    });
    REQUIRE_FALSE(fixture.caller->has("HTTP/1.1 503"));
    fixture.reachedRunner.peers.front()->send(tests::successResponse("id", "found"));
    fixture.awaitAnswer("found");
    CHECK(fixture.caller->has("HTTP/1.1 200"));
}
