#include "proxy/Router.h"

#include "common/Hash.h"
#include "gateway/StreamServer.h"
#include "platform/Headers.h"
#include "support/Loopback.h"

using namespace eelgrassford;
using tests::Peer;
using tests::runUntil;

namespace {

routing::Route route(const std::string& prefix, routing::RequestKind kind, bool isResumable, std::uint32_t attempts)
{
    routing::Route result;
    result.name = prefix;
    result.host = "a.example";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.isResumable = isResumable;
    result.maxAttempts = attempts;
    result.timeout = std::chrono::seconds(15);
    result.latencyObjective = std::chrono::seconds(5);
    result.destinations = { { "pool", 1.0 } };
    return result;
}

std::shared_ptr<const routing::RouteTable> routes()
{
    routing::Configuration configuration;
    configuration.revision = 1;
    configuration.routes = { route("/book/", routing::RequestKind::NonIdempotent, false, 1),
        route("/look/", routing::RequestKind::Idempotent, false, 2),
        route("/stream/", routing::RequestKind::Stream, true, 2),
        route("/once/", routing::RequestKind::Stream, false, 1) };
    configuration.organisations = { { "works", { "key" }, {} } };
    return std::make_shared<const routing::RouteTable>(std::move(configuration));
}

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const std::string& signature)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: " + signature
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text)
{
    std::ostringstream result;
    result << std::hex << text.size() << "\r\n" << text << "\r\n";
    return result.str();
}

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n"; }

/// A daemon's traffic path between one caller and two runners that a test plays.
struct Fixture {
    asio::io_context context;
    platform::Headers headers;
    telemetry::Metrics metrics;
    TimePoint proven = daemon::currentTime();
    proxy::Router router { context, options(), headers, metrics, daemon::currentTime };
    std::uint16_t port = tests::freePort(context);
    gateway::StreamServer server { context, "127.0.0.1", port, daemon::currentTime,
        [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
            router.handle(std::move(request), responder);
        } };
    tests::Listener first { context };
    tests::Listener second { context };
    std::shared_ptr<Peer> caller;

    Fixture()
    {
        router.setRoutes(routes());
        router.setRunners(
            std::vector<runners::RunnerEntry> { entry("r-1", first.port()), entry("r-2", second.port()) });
        router.confirmConfiguration(proven);
        server.startAccepting();
    }

    static proxy::RouterOptions options()
    {
        proxy::RouterOptions result;
        result.dataCentre = "a";
        result.credentialLease = std::chrono::hours(1);
        result.retryBudget.ratio = 5.0;
        // Any silence of one runner while another is heard is looked into.
        result.registry.silenceThreshold = Duration::zero();
        return result;
    }

    static runners::RunnerEntry entry(const std::string& id, std::uint16_t port)
    {
        return { id, "pool", "127.0.0.1", port, "a", 8, false, 1 };
    }

    std::shared_ptr<Peer> connect(
        const std::string& method, const std::string& target, const std::string& id, const std::string& more)
    {
        auto peer = Peer::connect(context, port);
        peer->send(method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Key: key\r\n"
            + more + "Content-Length: 0\r\n\r\n");
        return peer;
    }

    void call(const std::string& method, const std::string& target, const std::string& more = {})
    {
        caller = connect(method, target, "id", more);
    }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const auto* listener : { &first, &second }) {
            for (const auto& peer : listener->peers) {
                for (auto at = peer->received.find("X-Expect-Instance"); at != std::string::npos;
                     at = peer->received.find("X-Expect-Instance", at + 1))
                    ++count;
            }
        }
        return count;
    }

    /// The connection on which the latest of @a count requests arrived.
    Peer& arrived(std::size_t count)
    {
        runUntil(context, [&] { return arrivals() >= count; });
        for (const auto* listener : { &first, &second }) {
            for (const auto& peer : listener->peers) {
                if (peer->has("X-Expect-Instance") && !peer->isEnded && peer.get() != m_last) {
                    m_last = peer.get();
                    return *peer;
                }
            }
        }
        FAIL("no request arrived on another connection");
        return *first.peers.front();
    }

    void awaitAnswer(std::string_view text)
    {
        runUntil(context, [&] { return caller->has(text); });
    }
    void awaitEnd()
    {
        runUntil(context, [&] { return caller->isEnded; });
    }

private:
    Peer* m_last = nullptr;
};

}

TEST_CASE("a request goes to a runner and its answer comes back unchanged")
{
    Fixture fixture;
    fixture.call("POST", "/book/1?q=2");
    auto& runner = fixture.arrived(1);
    CHECK(runner.received.starts_with("POST /book/1?q=2 HTTP/1.1\r\n"));
    CHECK(runner.has("X-Tenant: works\r\n"));
    CHECK_FALSE(runner.has("X-Key"));
    runner.send(answer("id", "booked"));
    fixture.awaitAnswer("booked");
    CHECK(fixture.caller->has("HTTP/1.1 200 OK"));
    CHECK(fixture.caller->has("X-Response-Signature: s-id"));
}

TEST_CASE("a booking whose connection breaks is never sent again, and its outcome is said to be unknown")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.arrived(1).reset();
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.arrivals() == 1);
}

TEST_CASE("a request that its service cannot serve in time is refused at once with a time to come back")
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
    CHECK(fixture.arrivals() == 0);
}

TEST_CASE("a booking that a runner did not run goes to the other one")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.arrived(1).send(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    fixture.arrived(2).send(answer("id", "booked"));
    fixture.awaitAnswer("booked");
}

TEST_CASE("a runner's 503 without its mark never reaches a caller as a promise")
{
    Fixture fixture;
    fixture.call("POST", "/book/1");
    fixture.arrived(1).send("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                            "Content-Length: 0\r\n\r\n");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(fixture.caller->has("X-Response-Signature"));
    CHECK(fixture.arrivals() == 1);
}

TEST_CASE("a success without digest, or encoded, is not delivered")
{
    for (const char* more : { "", "X-Response-Signature: s\r\nContent-Encoding: gzip\r\n" }) {
        Fixture fixture;
        fixture.call("POST", "/book/1");
        fixture.arrived(1).send(
            std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n") + more + "Content-Length: 2\r\n\r\nok");
        fixture.awaitAnswer("\r\n\r\n");
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("a lookup that a runner failed is tried at the other one")
{
    Fixture fixture;
    fixture.call("GET", "/look/1");
    fixture.arrived(1).send("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n");
    fixture.arrived(2).send(answer("id", "found"));
    fixture.awaitAnswer("found");
}

TEST_CASE("no runner means a refusal at once that is true and says when to come back")
{
    Fixture fixture;
    fixture.router.setRunners({});
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After: 0."));
}

TEST_CASE("events are relayed as they come, only whole ones")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& runner = fixture.arrived(1);
    runner.send(streamHead("s-1") + chunk(event(1) + "id: 2\nda"));
    fixture.awaitAnswer("e1\n\n");
    CHECK_FALSE(fixture.caller->has("id: 2"));
    runner.send(chunk("ta: e2\n\n") + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has("data: e2\n\n"));
}

TEST_CASE("a stream that breaks goes on at another runner, without gap or repetition, under its first head")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& broken = fixture.arrived(1);
    broken.send(streamHead("s-1") + chunk(event(1) + event(2) + "id: 3\nda"));
    fixture.awaitAnswer("e2\n\n");
    broken.reset();
    auto& next = fixture.arrived(2);
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

TEST_CASE("a stream that cannot be resumed ends without looking whole")
{
    Fixture fixture;
    fixture.call("POST", "/once/1");
    auto& broken = fixture.arrived(1);
    broken.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    broken.reset();
    fixture.awaitEnd();
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
    CHECK(fixture.arrivals() == 1);
}

TEST_CASE("a stream does not wait for a runner that cannot be reached any more")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& dead = fixture.arrived(1);
    dead.send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    // Its connection stays open and silent while nobody listens; the other runner is heard.
    const bool isFirst = !fixture.first.peers.empty();
    (isFirst ? fixture.first : fixture.second).stop();
    const auto other = fixture.connect("GET", "/look/1", "other", {});
    auto& living = isFirst ? fixture.second : fixture.first;
    runUntil(fixture.context, [&] { return !living.peers.empty() && living.peers[0]->has("X-Expect-Instance"); });
    living.peers[0]->send(answer("other", "found"));
    runUntil(fixture.context, [&] { return other->has("found"); });
    fixture.router.probeSilentRunners();
    runUntil(fixture.context, [&] { return living.peers[0]->has("Last-Event-Id: 1\r\n"); });
    living.peers[0]->send(streamHead("s-2") + chunk(event(2)) + "0\r\n\r\n");
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has("data: e2"));
}

TEST_CASE("when a caller leaves, its runner is told by a closed connection and nothing more is sent")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& runner = fixture.arrived(1);
    fixture.caller->close();
    runUntil(fixture.context, [&] { return runner.isEnded; });
    CHECK(fixture.arrivals() == 1);
    CHECK(fixture.router.requestsInFlight() == 0);
}

TEST_CASE("a credential that cannot be verified any more is refused as not run, an unknown one as unknown")
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
    CHECK(fixture.arrivals() == 0);
}

TEST_CASE("an unknown route is told from a daemon that knows no configuration yet")
{
    Fixture fixture;
    fixture.call("GET", "/nowhere/");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 404"));
    proxy::Router unconfigured(
        fixture.context, Fixture::options(), fixture.headers, fixture.metrics, daemon::currentTime);
    CHECK_FALSE(unconfigured.hasRoutes());
    fixture.router.setRoutes(nullptr);
    fixture.call("GET", "/look/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a stop refuses what it would cut, and serves what ends in time")
{
    Fixture fixture;
    fixture.router.beginStop(daemon::currentTime() + std::chrono::milliseconds(3500));
    fixture.call("POST", "/once/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After: 0.05"));
    CHECK(fixture.arrivals() == 0);
    fixture.call("POST", "/book/1");
    fixture.arrived(1).send(answer("id", "booked"));
    fixture.awaitAnswer("booked");
}

TEST_CASE("a request that three dead runners were running is refused")
{
    Fixture fixture;
    fixture.call("GET", "/look/1");
    auto& runner = fixture.arrived(1);
    fixture.first.stop();
    fixture.second.stop();
    runner.reset();
    fixture.awaitAnswer("\r\n\r\n");
    runUntil(fixture.context, [&] { return !fixture.router.crashRecords().empty(); });
    auto record = fixture.router.crashRecords().front();
    CHECK(record.runners.size() == 1);
    record.runners = { 1, 2, 3 };
    fixture.router.learnCrashes(std::vector { record });
    fixture.call("GET", "/look/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("crashes-runners"));
    CHECK(fixture.arrivals() == 1);
}
