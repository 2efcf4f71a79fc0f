#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::runUntil;

namespace {

/// A daemon that reaches no runner, and another one, known as a member, that reaches one.
struct Fixture : tests::RouterFixture {
    tests::Listener reachedRunner { context };
    /// Requests that the other daemon got.
    int passedOn = 0;
    proxy::Router otherRouter { context, options(), codec, metrics, daemon::currentTime };
    gateway::StreamServer otherServer { context, "127.0.0.2", port, daemon::currentTime,
        [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
            ++passedOn;
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
        auto passingOn = options();
        passingOn.callerPort = port;
        router.setOptions(passingOn);
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

TEST_CASE("a booking is passed on only if nothing of it was written, and once")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    runUntil(fixture.context,
        [&] { return !fixture.reachedRunner.peers.empty() && fixture.reachedRunner.peers.front()->has("\r\n\r\n"); });
    auto& runner = *fixture.reachedRunner.peers.front();
    CHECK(runner.has("X-Tenant: works"));
    CHECK_FALSE(runner.has("X-Key"));
    // The outcome is unknown once the runner has it.
    runner.reset();
    fixture.awaitAnswer("HTTP/1.1 502");
    CHECK(fixture.reachedRunner.peers.size() <= 2);
}

TEST_CASE("a stream is passed through event by event, and cut if the other daemon's runner breaks off for good")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    runUntil(fixture.context,
        [&] { return !fixture.reachedRunner.peers.empty() && fixture.reachedRunner.peers.front()->has("\r\n\r\n"); });
    auto& runner = *fixture.reachedRunner.peers.front();
    runner.send(tests::streamHead("s") + tests::chunk(tests::event(1)));
    fixture.awaitAnswer("e1\n\n");
    CHECK_FALSE(fixture.caller->has("e2"));
    runner.reset();
    fixture.awaitEnd();
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
}

TEST_CASE("a daemon that is cut off does not pass on what another daemon passed to it")
{
    Fixture fixture;
    fixture.otherRouter.setRunners(
        std::vector<runners::RunnerEntry> { Fixture::runnerEntry("r-1", tests::freePort(fixture.context)) });
    auto passingOn = Fixture::options();
    passingOn.callerPort = fixture.port;
    fixture.otherRouter.setOptions(passingOn);
    // Both daemons see 127.0.0.1, where this test's connections come from, as a member.
    const std::vector<std::string> others { "127.0.0.1" };
    fixture.otherRouter.setFleet("127.0.0.2", others);
    fixture.call("POST", "/look/1");
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.caller->has("Retry-After"));
    CHECK(fixture.reachedRunner.peers.empty());
}

TEST_CASE("a service whose runners have all ended is not asked for at other daemons again and again")
{
    Fixture fixture;
    fixture.otherRouter.setRunners(
        std::vector<runners::RunnerEntry> { Fixture::runnerEntry("r-1", tests::freePort(fixture.context)) });
    fixture.call("POST", "/look/1");
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.passedOn == 1);
    // The other daemon has said that it reaches no runner, and this one does not know itself to be cut off.
    fixture.call("POST", "/look/2");
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.passedOn == 1);
}
