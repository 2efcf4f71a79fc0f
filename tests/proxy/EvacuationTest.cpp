#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::runUntil;

namespace {

/// Two runners in different data centres.
struct Fixture : tests::RouterFixture {
    Fixture()
    {
        auto second = runnerEntry("r-2", secondRunner.port());
        second.dataCentre = "b";
        router.setRunners(std::vector<runners::RunnerEntry> { runnerEntry("r-1", firstRunner.port()), second });
    }

    static std::size_t requestsAt(const tests::Listener& runner)
    {
        std::size_t count = 0;
        for (const auto& peer : runner.peers)
            count += peer->has("X-Expect-Instance") ? 1 : 0;
        return count;
    }
};

}

// Guards against requests that reach a data centre that the operator took out of service: new ones, and retries.
TEST_CASE("an evacuated data centre gets no new request and no retry until it is returned; streams go on there")
{
    Fixture fixture;
    fixture.router.setEvacuatedDataCentres({ "b" });
    fixture.call("POST", "/stream/1");
    auto& stream = fixture.awaitRequest(1);
    REQUIRE(Fixture::requestsAt(fixture.firstRunner) == 1);
    stream.send(tests::streamHead("s") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    fixture.router.setEvacuatedDataCentres({ "a", "b" });
    stream.send(chunk(event(2)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has("e2\n\n"));
    // Nobody may serve this one, so that it is refused as not run.
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    fixture.router.setEvacuatedDataCentres({ "b" });
    fixture.call("GET", "/look/1");
    runUntil(fixture.context, [&] { return fixture.requestCount() == 2; });
    fixture.router.setEvacuatedDataCentres({ "a" });
    fixture.call("GET", "/look/2");
    runUntil(fixture.context, [&] { return Fixture::requestsAt(fixture.secondRunner) == 1; });
    CHECK(Fixture::requestsAt(fixture.firstRunner) <= 2);
}

// Guards against a request that is written to an evacuated data centre once its connection is established.
TEST_CASE("a request that waits for a connection to an evacuated data centre is sent elsewhere")
{
    Fixture fixture;
    fixture.router.setEvacuatedDataCentres({ "b" });
    fixture.call("GET", "/look/1");
    runUntil(fixture.context, [&] { return fixture.router.requestsInFlight() == 1; });
    fixture.router.setEvacuatedDataCentres({ "a" });
    runUntil(fixture.context, [&] { return Fixture::requestsAt(fixture.secondRunner) == 1; });
    CHECK(Fixture::requestsAt(fixture.firstRunner) == 0);
}
