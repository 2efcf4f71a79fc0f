#include "proxy/RouterFixture.h"

#include "common/Hash.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::route;
using tests::runUntil;
using tests::streamHead;
using tests::successResponse;
using Fixture = tests::RouterFixture;

TEST_CASE("a request is relayed to a runner and its response is returned unchanged")
{
    Fixture fixture;
    fixture.call("POST", "/book/1?q=2");
    auto& runner = fixture.awaitRequest(1);
    CHECK(runner.received.starts_with("POST /book/1?q=2 HTTP/1.1\r\n"));
    CHECK(runner.has("X-Tenant: works\r\n"));
    CHECK_FALSE(runner.has("X-Key"));
    runner.send(successResponse("id", "booked"));
    fixture.awaitAnswer("booked");
    CHECK(fixture.caller->has("HTTP/1.1 200 OK"));
    CHECK(fixture.caller->has("X-Response-Signature: s-id"));
}

TEST_CASE("a non-idempotent request is not retried after its connection breaks, and the caller gets a 502")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.awaitRequest(1).reset();
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.requestCount() == 1);
}

TEST_CASE("a request to an overloaded service is refused with a Retry-After header and not sent to a runner")
{
    Fixture fixture;
    std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> peers;
    for (const char* id : { "r-1", "r-2" })
        peers[static_cast<fleet::RunnerKey>(hash64(id, 1))].inFlight = 100;
    fixture.router.setPeerSummaries(peers);
    fixture.call("POST", "/look/1");
    fixture.awaitAnswer("overloaded");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After"));
    CHECK(fixture.requestCount() == 0);
}

TEST_CASE("a non-idempotent request is sent to another runner when the first states that it did not run it")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.awaitRequest(1).send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    fixture.awaitRequest(2).send(successResponse("id", "booked"));
    fixture.awaitAnswer("booked");
}

TEST_CASE("a runner's 503 that does not state that the request was not run becomes a 502")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.awaitRequest(1).send("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                                 "Content-Length: 0\r\n\r\n");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(fixture.caller->has("X-Response-Signature"));
    CHECK(fixture.requestCount() == 1);
}

TEST_CASE("a success without a digest or with a content encoding becomes a 502")
{
    for (const char* extraHeaders : { "", "X-Response-Signature: s\r\nContent-Encoding: gzip\r\n" }) {
        Fixture fixture;
        fixture.call("POST", "/book/1");
        fixture.awaitRequest(1).send(
            std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n") + extraHeaders + "Content-Length: 2\r\n\r\nok");
        fixture.awaitAnswer("\r\n\r\n");
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("an idempotent request is retried at another runner after a 500")
{
    Fixture fixture;
    fixture.call("GET", "/look/1");
    fixture.awaitRequest(1).send("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n");
    fixture.awaitRequest(2).send(successResponse("id", "found"));
    fixture.awaitAnswer("found");
}

TEST_CASE("a request is refused with 503 and a Retry-After header when the service has no runner")
{
    Fixture fixture;
    fixture.router.setRunners({});
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After: 0."));
}

TEST_CASE("an event is relayed as soon as it is complete, and not before")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& runner = fixture.awaitRequest(1);
    runner.send(streamHead("s-1") + chunk(event(1) + "id: 2\nda"));
    fixture.awaitAnswer("e1\n\n");
    CHECK_FALSE(fixture.caller->has("id: 2"));
    runner.send(chunk("ta: e2\n\n") + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has("data: e2\n\n"));
}

TEST_CASE("a broken resumable stream continues at another runner with every event once and its first response head")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& broken = fixture.awaitRequest(1);
    broken.send(streamHead("s-1") + chunk(event(1) + event(2) + "id: 3\nda"));
    fixture.awaitAnswer("e2\n\n");
    broken.reset();
    auto& next = fixture.awaitRequest(2);
    CHECK(next.has("Last-Event-Id: 2\r\n"));
    next.send(streamHead("s-2") + chunk(event(2) + event(3) + event(4)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    const auto& text = fixture.caller->received;
    for (int id = 1; id <= 4; ++id) {
        const auto at = text.find("data: e" + std::to_string(id));
        REQUIRE(at != std::string::npos);
        CHECK(text.find("data: e" + std::to_string(id), at + 1) == std::string::npos);
    }
    CHECK(fixture.caller->has("s-1"));
    CHECK_FALSE(fixture.caller->has("s-2"));
}

TEST_CASE("a broken stream that cannot be resumed ends without the final chunk")
{
    Fixture fixture;
    fixture.call("POST", "/once/1");
    auto& broken = fixture.awaitRequest(1);
    broken.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    broken.reset();
    fixture.awaitEnd();
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
    CHECK(fixture.requestCount() == 1);
}

TEST_CASE("an event without end is given up after a bounded number of bytes, and the stream continues elsewhere")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& broken = fixture.awaitRequest(1);
    broken.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    broken.sendEndlessly({}, chunk(std::string(16384, 'x')));
    auto& next = fixture.awaitRequest(2);
    CHECK(next.has("Last-Event-Id: 1\r\n"));
    next.send(streamHead("s-2") + chunk(event(2)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    runUntil(fixture.context, [&] { return broken.isEnded; });
    CHECK_FALSE(fixture.caller->has("xxxx"));
}

TEST_CASE("bodies without end of many responses together stay within the memory limit, and other requests go on")
{
    auto options = Fixture::options();
    options.responseBufferLimit = 1u << 20;
    Fixture fixture(options);
    std::vector<std::shared_ptr<Peer>> callers;
    for (int i = 0; i < 8; ++i)
        callers.push_back(fixture.connect("POST", "/book/1", "id-" + std::to_string(i), {}));
    runUntil(fixture.context, [&] { return fixture.requestCount() == callers.size(); });
    for (auto* runner : { &fixture.firstRunner, &fixture.secondRunner }) {
        for (const auto& peer : runner->peers)
            peer->sendEndlessly("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n", std::string(16384, 'x'));
    }
    // The request may have run, so its caller is told neither that it failed nor that it may be repeated.
    for (const auto& caller : callers) {
        runUntil(fixture.context, [&] { return caller->has("\r\n\r\n"); });
        CHECK(caller->received.starts_with("HTTP/1.1 502"));
        CHECK(fixture.router.bufferedResponseBytes() <= options.responseBufferLimit);
    }
    for (auto* runner : { &fixture.firstRunner, &fixture.secondRunner }) {
        for (const auto& peer : runner->peers)
            runUntil(fixture.context, [&] { return peer->isEnded; });
    }
    CHECK(fixture.router.bufferedResponseBytes() == 0);
}

TEST_CASE("a resumable stream that stalls while bytes of an incomplete event arrive continues at another runner")
{
    auto options = Fixture::options();
    options.streamIdleTimeout = std::chrono::milliseconds(200);
    Fixture fixture(options);
    fixture.call("POST", "/stream/1");
    auto& stalled = fixture.awaitRequest(1);
    stalled.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    asio::steady_timer timer(fixture.context);
    std::function<void()> dribble = [&] {
        stalled.send(chunk("x"));
        timer.expires_after(std::chrono::milliseconds(20));
        timer.async_wait([&](const asio::error_code& error) {
            if (!error && !stalled.isEnded)
                dribble();
        });
    };
    dribble();
    auto& next = fixture.awaitRequest(2);
    CHECK(next.has("Last-Event-Id: 1\r\n"));
    next.send(streamHead("s-2") + chunk(event(2)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    runUntil(fixture.context, [&] { return stalled.isEnded; });
}

TEST_CASE("a resumable stream is not given up during the pauses that its route allows")
{
    using namespace std::chrono_literals;
    proxy::RouterOptions options;
    auto slow = route("/slow/", routing::RequestKind::Stream, true, 2);
    CHECK(proxy::streamIdleTimeout(slow, options) == options.streamIdleTimeout);
    slow.eventGapObjective = 800ms;
    CHECK(proxy::streamIdleTimeout(slow, options) == 2400ms);
}

TEST_CASE("a resumable stream continues at another runner when a probe shows that its runner is unreachable")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& unreachable = fixture.awaitRequest(1);
    unreachable.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    // The runner's connection stays open but silent, new connections to it are refused, and the other runner responds.
    const bool isFirstRunner = !fixture.firstRunner.peers.empty();
    (isFirstRunner ? fixture.firstRunner : fixture.secondRunner).stop();
    const auto other = fixture.connect("GET", "/look/1", "other", {});
    auto& reachable = isFirstRunner ? fixture.secondRunner : fixture.firstRunner;
    runUntil(fixture.context, [&] { return !reachable.peers.empty() && reachable.peers[0]->has("X-Expect-Instance"); });
    reachable.peers[0]->send(successResponse("other", "found"));
    runUntil(fixture.context, [&] { return other->has("found"); });
    fixture.router.probeSilentRunners();
    runUntil(fixture.context, [&] { return reachable.peers[0]->has("Last-Event-Id: 1\r\n"); });
    reachable.peers[0]->send(streamHead("s-2") + chunk(event(2)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has("data: e2"));
}

TEST_CASE("the connection to the runner is closed when the caller disconnects, and the request is not retried")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& runner = fixture.awaitRequest(1);
    fixture.caller->close();
    runUntil(fixture.context, [&] { return runner.isEnded; });
    CHECK(fixture.requestCount() == 1);
    CHECK(fixture.router.requestsInFlight() == 0);
}

TEST_CASE(
    "an unknown credential is refused with 401, and any credential with 503 after the credential lease has expired")
{
    Fixture fixture;
    fixture.call("POST", "/book/1", "X-Key: other\r\n");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 401"));
    auto options = Fixture::options();
    options.credentialLease = Duration::zero();
    fixture.router.setOptions(options);
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.requestCount() == 0);
}

TEST_CASE("an unknown route is refused with 404, and any route with 503 while there is no configuration")
{
    Fixture fixture;
    fixture.call("GET", "/nowhere/");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 404"));
    proxy::Router unconfigured(
        fixture.context, Fixture::options(), fixture.codec, fixture.metrics, daemon::currentTime);
    CHECK_FALSE(unconfigured.hasRoutes());
    fixture.router.setRoutes(nullptr);
    fixture.call("GET", "/look/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a stopping router refuses a request that may outlast the stop and serves one that ends in time")
{
    Fixture fixture;
    fixture.router.beginStop(daemon::currentTime() + std::chrono::milliseconds(3500));
    fixture.call("POST", "/once/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After: 0.05"));
    CHECK(fixture.requestCount() == 0);
    fixture.call("POST", "/book/1");
    fixture.awaitRequest(1).send(successResponse("id", "booked"));
    fixture.awaitAnswer("booked");
}

TEST_CASE("blank lines after the last event of a stream are no broken event")
{
    for (const char* blank : { "\n", "\n\n", "\n\n\n" }) {
        Fixture fixture;
        fixture.call("POST", "/once/1");
        fixture.awaitRequest(1).send(streamHead("s-1") + chunk(event(1)) + chunk(event(2) + blank) + "0\r\n\r\n");
        fixture.awaitAnswer("0\r\n\r\n");
        CHECK(fixture.caller->has("e2\n\n"));
    }
}

// Guards against bookings that are accepted late in the grace period and cut off at its end.
TEST_CASE("a stopping router refuses a request whose time limit is after the end of the stop")
{
    Fixture fixture;
    fixture.router.beginStop(daemon::currentTime() + std::chrono::milliseconds(7600));
    fixture.clockOffset = std::chrono::milliseconds(5500);
    fixture.call("POST", "/book/1", "X-Deadline-Ms: 2500\r\n");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.requestCount() == 0);
    fixture.call("POST", "/book/2", "X-Deadline-Ms: 1000\r\n");
    fixture.awaitRequest(1).send(successResponse("id", "booked"));
    fixture.awaitAnswer("booked");
}

TEST_CASE("a request that crashed three runners is refused")
{
    Fixture fixture;
    fixture.call("GET", "/look/1");
    auto& runner = fixture.awaitRequest(1);
    fixture.firstRunner.stop();
    fixture.secondRunner.stop();
    runner.reset();
    fixture.awaitAnswer("\r\n\r\n");
    runUntil(fixture.context, [&] { return !fixture.router.crashRecords(daemon::currentTime()).empty(); });
    auto record = fixture.router.crashRecords(daemon::currentTime()).front();
    CHECK(record.runners.size() == 1);
    record.runners = { 1, 2, 3 };
    fixture.router.mergeCrashRecords(std::vector { record });
    fixture.call("GET", "/look/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("crashes-runners"));
    CHECK(fixture.requestCount() == 1);
}

TEST_CASE("a stream that ends with its connection before the first event is not complete")
{
    Fixture fixture;
    fixture.call("POST", "/once/1");
    auto& runner = fixture.awaitRequest(1);
    runner.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n\r\n");
    runner.close();
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
}

TEST_CASE("a stream that ends with its connection after its events is complete")
{
    Fixture fixture;
    fixture.call("POST", "/once/1");
    auto& runner = fixture.awaitRequest(1);
    runner.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n\r\n"
        + event(1));
    runner.close();
    fixture.awaitAnswer("\r\n0\r\n\r\n");
    CHECK(fixture.caller->has("data: e1"));
}

// Guards against daemons that end when they connect to the address of a listed runner.
TEST_CASE("a listed runner whose address is no IP address costs its requests an attempt, and nothing else")
{
    Fixture fixture;
    auto named = Fixture::runnerEntry("r-3", 8708);
    named.ip = "works-9.tas-south-a";
    fixture.router.setRunners(std::vector<runners::RunnerEntry> { named });
    fixture.call("GET", "/look/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    fixture.router.setRunners(
        std::vector<runners::RunnerEntry> { named, Fixture::runnerEntry("r-1", fixture.firstRunner.port()) });
    fixture.call("GET", "/look/2");
    fixture.awaitRequest(1).send(successResponse("id", "found"));
    fixture.awaitAnswer("found");
}
