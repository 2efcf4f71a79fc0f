#include "common/Hash.h"
#include "proxy/VersionsFixture.h"

using namespace eelgrassford;
using dispatch::OriginCopies;
using std::chrono::seconds;
using tests::chunk;
using tests::event;
using tests::runUntil;
using tests::streamHead;

namespace {

/// One version serves, for long enough to derive from it what began every stream.
struct SettledFixture : tests::FleetFixture {
    SettledFixture()
        : FleetFixture("v1")
    {
        for (int i = 0; i <= 60; ++i) {
            clockOffset += seconds(1);
            proveListingOnce();
        }
        router.sweep(daemon::currentTime() + clockOffset);
    }

    void beginStream()
    {
        call("POST", "/stream/1");
        awaitRequest(1).send(streamHead("s-1") + chunk(event(1)));
        awaitAnswer("e1\n\n");
    }
};

/// Each of two services has a runner.
struct SplitFixture : tests::FleetFixture {
    SplitFixture()
    {
        configure({ "pool", "other" });
        // The runners that the fixture listed before have left for long.
        clockOffset += seconds(61);
    }

    void configure(const std::vector<std::string>& services)
    {
        routing::Configuration configuration = tests::routeTable()->configuration();
        for (auto& route : configuration.routes) {
            route.destinations.clear();
            for (const auto& service : services)
                route.destinations.push_back({ service, 1.0 });
        }
        router.setRoutes(std::make_shared<const routing::RouteTable>(std::move(configuration)));
        auto first = runnerEntry("r-1", firstRunner.port());
        auto second = runnerEntry("r-2", secondRunner.port());
        second.service = "other";
        router.setRunners(std::vector { first, second });
    }

    /// Waits until both runners were asked for their caches, of which the second one has the last part.
    void answerSurvey()
    {
        const auto answer = [&](tests::Listener& listener, const std::string& held) {
            runUntil(context,
                [&] { return !listener.peers.empty() && listener.peers.front()->has("GET /kv-list HTTP/1.1"); });
            const auto body = R"({"epoch":1,"next":2,"held":[)" + held + "]}";
            listener.peers.front()->send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        };
        answer(firstRunner, "");
        answer(secondRunner, R"(["","2b",50,"m"])");
    }
};

}

// Guards against streams that no daemon knows, since the one that is asked cannot derive what the teller could.
TEST_CASE("the origin of a stream is told to other daemons also while one version serves")
{
    SettledFixture fixture;
    fixture.beginStream();
    CHECK(fixture.others.published.size() == 1);
    CHECK(fixture.others.copies == OriginCopies::Few);
}

// Guards against streams that go on at the version that a daemon takes for the only one.
TEST_CASE("what other daemons tell of a stream goes before what a daemon derives from the versions that serve")
{
    SettledFixture fixture;
    fixture.continueForeign();
    fixture.others.questions.front().second(fixture.software("v0"));
    fixture.awaitAnswer("HTTP/1.1 503");
    fixture.others.questions.clear();
    fixture.continueForeign();
    fixture.others.questions.front().second(std::nullopt);
    fixture.awaitRequest(1);
}

// Guards against streams of two versions at a daemon that is cut off from the store while runners are added.
TEST_CASE("a daemon derives where a stream began only from a listing that was current when the caller returned")
{
    for (const bool isVersionAdded : { false, true }) {
        CAPTURE(isVersionAdded);
        SettledFixture fixture;
        fixture.isListingProven = false;
        fixture.continueForeign();
        fixture.others.questions.front().second(std::nullopt);
        fixture.context.run_for(std::chrono::milliseconds(50));
        CHECK(fixture.requestCount() == 0);
        if (isVersionAdded)
            fixture.list("v1", "v2");
        fixture.proveListingOnce();
        if (isVersionAdded)
            fixture.awaitAnswer("HTTP/1.1 503");
        else
            fixture.awaitRequest(1);
    }
}

// Guards against callers that wait at a daemon that stays cut off.
TEST_CASE("a stream whose origin cannot be derived in time is refused as not run")
{
    SettledFixture fixture;
    fixture.isListingProven = false;
    fixture.caller = fixture.connect("POST", "/stream/1", "again", "Last-Event-Id: 2\r\n");
    fixture.context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(fixture.caller->has("HTTP/1.1 "));
    fixture.clockOffset += seconds(3);
    fixture.router.sweep(daemon::currentTime() + fixture.clockOffset);
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.caller->has("Retry-After"));
    CHECK(fixture.requestCount() == 0);
}

// Guards against streams of a route with several services that are sought at the runners of one of them.
TEST_CASE("the caches of all services of a route tell which software began a stream")
{
    for (int i = 0; i < 5; ++i) {
        SplitFixture fixture;
        fixture.continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
        fixture.others.questions.front().second(std::nullopt);
        fixture.answerSurvey();
        CHECK(fixture.awaitRequest(1).has("X-Expect-Instance: r-2"));
    }
}

// Guards against surveys of all runners for each of many callers that do not name their streams.
TEST_CASE("a stream that its caller does not name is sought neither at other daemons nor in the caches")
{
    tests::FleetFixture fixture;
    fixture.continueStream("Last-Event-Id: 2\r\nX-Prompt-Prefix: 1a:100,2b:50\r\n");
    CHECK(fixture.caller->has("HTTP/1.1 503"));
    CHECK(fixture.others.questions.empty());
    CHECK(fixture.firstRunner.peers.empty());
    CHECK(fixture.secondRunner.peers.empty());
}

// Guards against streams that another service goes on with once their route has moved.
TEST_CASE("the caches of a service that a route has left tell that a stream cannot go on")
{
    SplitFixture fixture;
    fixture.configure({ "pool" });
    fixture.continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
    fixture.others.questions.front().second(std::nullopt);
    fixture.answerSurvey();
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.requestCount() == 0);
}

// Guards against streams that are lost with most of the daemons after a release.
TEST_CASE("streams have more copies once several versions serve, those that run included")
{
    SettledFixture fixture;
    fixture.beginStream();
    fixture.list("v1", "v2");
    CHECK(fixture.others.published.size() == 2);
    CHECK(fixture.others.copies == OriginCopies::Many);
    fixture.list("v2", "v2");
    CHECK(fixture.others.published.size() == 2);
}

// Guards against bursts from all daemons at once whenever the platform's store is away.
TEST_CASE("streams have few copies while a daemon cannot prove that one version serves")
{
    SettledFixture fixture;
    fixture.isListingProven = false;
    fixture.clockOffset += seconds(6);
    fixture.router.sweep(daemon::currentTime() + fixture.clockOffset);
    fixture.beginStream();
    CHECK(fixture.others.published.size() == 1);
    CHECK(fixture.others.copies == OriginCopies::Few);
}

// Guards against streams of two versions after a version left and the daemons that knew it were started again.
TEST_CASE("a daemon takes from others which versions left before it started")
{
    tests::FleetFixture fixture("v1");
    fixture.router.mergeDepartures(
        std::vector<runners::Departure> { { hash64("pool"), fixture.software("v0"), seconds(5) } });
    fixture.continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
    fixture.others.questions.front().second(std::nullopt);
    const auto isAsked = [](const tests::Listener& listener) {
        return !listener.peers.empty() && listener.peers.front()->has("GET /kv-list HTTP/1.1");
    };
    runUntil(fixture.context, [&] { return isAsked(fixture.firstRunner); });
    const std::string body = R"({"epoch":1,"next":2,"held":[["","2b",50,"m"]]})";
    fixture.firstRunner.peers.front()->send(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.requestCount() == 0);
    CHECK(fixture.router.runnerReport(daemon::currentTime()).departures.size() == 1);
}
