#include "proxy/VersionsFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::runUntil;
using tests::streamHead;

namespace {

using Fixture = tests::VersionsFixture;
using tests::FleetFixture;

}

// Guards against streams that hold events of two software versions.
TEST_CASE("a broken stream is not continued by a runner of another software version")
{
    Fixture fixture;
    fixture.beginAndBreak();
    fixture.awaitEnd();
    CHECK(fixture.requestCount() == 1);
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
}

// Guards against streams that hold events of two software versions over several requests of a caller.
TEST_CASE("a request that continues a stream only reaches runners of the software version that began it")
{
    for (int i = 0; i < 10; ++i) {
        Fixture fixture;
        const auto runner = fixture.beginAndBreak();
        fixture.awaitEnd();
        fixture.continueStream("Last-Event-Id: 2\r\nResumes: id\r\n");
        REQUIRE(fixture.requestCount() == 2);
        CHECK(fixture.awaitRequest(2).has("X-Expect-Instance: " + runner));
    }
}

TEST_CASE("a request that continues an unknown stream is refused as not run while versions differ")
{
    for (const std::string headers : { "Last-Event-Id: 2\r\nResumes: other\r\n", "Last-Event-Id: 2\r\n",
             "Resumes: other\r\n", "Last-Event-Id: x\r\n", "Last-Event-Id: 2\r\nResumes: id\r\nResumes: id\r\n" }) {
        CAPTURE(headers);
        Fixture fixture;
        fixture.beginAndBreak();
        fixture.awaitEnd();
        fixture.continueStream(headers);
        CHECK(fixture.requestCount() == 1);
        CHECK(fixture.caller->has("HTTP/1.1 503"));
        CHECK(fixture.caller->has("Retry-After"));
    }
}

TEST_CASE("a runner whose software version is unknown begins streams and continues none")
{
    Fixture fixture;
    fixture.list("", "");
    fixture.beginAndBreak();
    fixture.awaitEnd();
    CHECK(fixture.requestCount() == 1);
    fixture.continueStream("Last-Event-Id: 2\r\nResumes: id\r\n");
    CHECK(fixture.requestCount() == 1);
    CHECK(fixture.caller->has("HTTP/1.1 503"));
}

// Guards against streams of two versions after a runner restarted, while it was idle, with software that is not listed
// yet.
TEST_CASE("the software of a runner is in doubt after it closed its idle connections and refused a probe")
{
    for (const bool isRestarted : { false, true }) {
        CAPTURE(isRestarted);
        FleetFixture fixture("v1");
        auto& context = fixture.context;
        const auto port = fixture.firstRunner.port();
        fixture.router.setRunners(std::vector { Fixture::runnerEntry("r-1", port) });
        fixture.call("POST", "/stream/1");
        auto& runner = fixture.awaitRequest(1);
        runner.send(streamHead("s-1") + chunk(event(1)) + "0\r\n\r\n");
        fixture.awaitAnswer("0\r\n\r\n");
        if (isRestarted)
            fixture.firstRunner.stop();
        runner.close();
        context.run_for(std::chrono::milliseconds(50));
        std::optional<tests::Listener> restarted;
        if (isRestarted)
            restarted.emplace(context, port);
        auto& listener = isRestarted ? *restarted : fixture.firstRunner;
        fixture.others.published.clear();
        fixture.call("POST", "/stream/1");
        const auto hasRequest = [](const auto& peer) { return !peer->isEnded && peer->has("POST"); };
        runUntil(context, [&] { return std::ranges::any_of(listener.peers, hasRequest); });
        auto& peer = **std::ranges::find_if(listener.peers, hasRequest);
        peer.send(streamHead("s-2") + chunk(event(1)));
        fixture.awaitAnswer("e1\n\n");
        CHECK(fixture.others.published.size() == (isRestarted ? 0 : 1));
        // Its entry would have changed by now.
        fixture.clockOffset += std::chrono::seconds(4);
        peer.send(chunk(event(2)));
        fixture.awaitAnswer("e2\n\n");
        REQUIRE(fixture.others.published.size() == 1);
        CHECK(fixture.others.published.front().software == fixture.software("v1"));
    }
}

TEST_CASE("other daemons are told which software began a stream with its first event, and again by a stopping daemon")
{
    FleetFixture fixture;
    fixture.call("POST", "/stream/1");
    auto& runner = fixture.awaitRequest(1);
    fixture.others.published.clear();
    runner.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    const auto version = runner.has("X-Expect-Instance: r-1") ? "v1" : "v2";
    const dispatch::StreamOrigin expected { dispatch::streamKey("works", "id"), fixture.software(version) };
    CHECK(fixture.others.published == std::vector { expected });
    // Two versions serve, so that nothing else may tell it once most of the daemons are lost.
    CHECK(fixture.others.copies == dispatch::OriginCopies::Many);
    runner.send(chunk(event(2)));
    fixture.awaitAnswer("e2\n\n");
    CHECK(fixture.others.published.size() == 1);
    fixture.router.beginStop(daemon::currentTime() + std::chrono::seconds(8));
    CHECK(fixture.others.published == std::vector { expected, expected });
}

TEST_CASE("a stream that began at another daemon is continued as that daemon tells")
{
    for (const std::string version : { "v1", "v2" }) {
        FleetFixture fixture;
        fixture.continueForeign();
        CHECK(fixture.others.questions.front().first == dispatch::streamKey("works", "first"));
        CHECK(fixture.requestCount() == 0);
        fixture.others.questions.front().second(fixture.software(version));
        auto& runner = fixture.awaitRequest(1);
        CHECK(runner.has(version == "v1" ? "X-Expect-Instance: r-1" : "X-Expect-Instance: r-2"));
        CHECK(runner.has("Last-Event-Id: 2"));
        runner.send(streamHead("s-1") + chunk(event(3)) + "0\r\n\r\n");
    }
}

TEST_CASE("a stream whose software no runner runs any more is refused at once, as not run")
{
    FleetFixture fixture;
    fixture.continueForeign();
    fixture.others.questions.front().second(fixture.software("v0"));
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.requestCount() == 0);
}

TEST_CASE("a caller that leaves while other daemons are asked leaves nothing behind")
{
    FleetFixture fixture;
    fixture.continueForeign();
    fixture.caller->close();
    runUntil(fixture.context, [&] { return fixture.caller->isEnded; });
    fixture.context.run_for(std::chrono::milliseconds(20));
    fixture.others.questions.front().second(fixture.software("v1"));
    fixture.context.run_for(std::chrono::milliseconds(20));
    CHECK(fixture.requestCount() == 0);
}

// Guards against streams of two versions, and lost ones, after all daemons were killed at once.
TEST_CASE("a stream that no daemon knows is continued at the software that has read its prompt")
{
    FleetFixture fixture;
    fixture.continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
    fixture.others.questions.front().second(std::nullopt);
    const auto hasQuery = [](const tests::Listener& listener) {
        return !listener.peers.empty() && listener.peers.front()->has("GET /kv-list HTTP/1.1");
    };
    runUntil(fixture.context, [&] { return hasQuery(fixture.firstRunner) && hasQuery(fixture.secondRunner); });
    const auto answer = [](tests::Listener& listener, const std::string& held) {
        const auto body = R"({"epoch":1,"next":2,"held":[)" + held + "]}";
        listener.peers.front()->send(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    answer(fixture.firstRunner, R"(["","1a",100,"m"],["",7,1],"x")");
    answer(fixture.secondRunner, R"(["","1a",100,"m"],["","2b",50,"m"])");
    CHECK(fixture.awaitRequest(1).has("X-Expect-Instance: r-2"));
}

TEST_CASE("a stream whose prompt no runner has read, or all do not tell, is refused as not run")
{
    FleetFixture fixture;
    fixture.continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
    fixture.others.questions.front().second(std::nullopt);
    // The runners do not answer the query.
    fixture.awaitAnswer("HTTP/1.1 503");
    CHECK(fixture.requestCount() == 0);
}
