#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using std::chrono::milliseconds;
using tests::Listener;
using tests::Peer;
using tests::runUntil;
using tests::successResponse;

namespace {

std::string refusal(const std::string& id, const std::string& extraHeaders)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\n" + extraHeaders
        + "Content-Length: 0\r\n\r\n";
}

const std::string notRun = "X-Not-Executed: 1\r\n";

/// A router with one runner, which refuses requests.
struct Fixture : tests::RouterFixture {
    int requests = 0;

    Fixture() { useRunners(1); }

    void useRunners(std::size_t count)
    {
        std::vector<runners::RunnerEntry> entries { runnerEntry("r-1", firstRunner.port()) };
        if (count == 2)
            entries.push_back(runnerEntry("r-2", secondRunner.port()));
        router.setRunners(entries);
    }

    static Peer* find(const Listener& runner, const std::string& id)
    {
        for (const auto& peer : runner.peers) {
            if (peer->has("X-Attempt-Id: " + id + "\r\n"))
                return peer.get();
        }
        return nullptr;
    }

    /// Sends a request that the first runner refuses.
    void refuse(const std::string& extraHeaders)
    {
        const auto id = "q" + std::to_string(++requests);
        caller = connect("POST", "/book/1", id, {});
        runUntil(context, [&] { return find(firstRunner, id) != nullptr; });
        find(firstRunner, id)->send(refusal(id, extraHeaders));
        awaitAnswer("\r\n\r\n");
    }

    /// Whether a request reaches the first runner, which answers it.
    bool reachesFirst()
    {
        const auto id = "q" + std::to_string(++requests);
        caller = connect("POST", "/book/1", id, {});
        bool isReached = false;
        runUntil(context, [&] {
            if (auto* peer = find(firstRunner, id)) {
                isReached = true;
                peer->received.clear();
                peer->send(successResponse(id, "ok"));
            }
            return caller->has("\r\n\r\n");
        });
        return isReached;
    }

    /// Value of the Retry-After header of the last answer in seconds.
    double retryAfter() const
    {
        const std::string name = "Retry-After: ";
        const auto at = caller->received.find(name);
        REQUIRE(at != std::string::npos);
        return std::stod(caller->received.substr(at + name.size()));
    }
};

}

// Guards against requests to a runner that asked for none for a time.
TEST_CASE("a runner that refuses with a time to come back gets nothing until then, whether or not it ran the request")
{
    for (const auto& extraHeaders : { notRun + "Retry-After: 2\r\n", std::string("Retry-After: 2\r\n") }) {
        CAPTURE(extraHeaders);
        Fixture fixture;
        fixture.refuse(extraHeaders);
        CHECK_FALSE(fixture.reachesFirst());
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
        CHECK(fixture.caller->has("runners-paused"));
        CHECK(fixture.retryAfter() >= 1.5);
        fixture.clockOffset += milliseconds(1000);
        CHECK_FALSE(fixture.reachesFirst());
        fixture.clockOffset += milliseconds(1600);
        CHECK(fixture.reachesFirst());
    }
}

TEST_CASE("a request that waits less than its latency objective allows waits for the end of a pause")
{
    Fixture fixture;
    fixture.refuse(notRun + "Retry-After: 0.2\r\n");
    CHECK(fixture.reachesFirst());
}

TEST_CASE("several refusals do not add up; a longer time replaces a shorter one, and a shorter one does not")
{
    Fixture fixture;
    const auto first = fixture.connect("POST", "/book/1", "first", {});
    const auto second = fixture.connect("POST", "/book/1", "second", {});
    const auto third = fixture.connect("POST", "/book/1", "third", {});
    runUntil(fixture.context, [&] { return fixture.requestCount() == 3; });
    for (const auto& [id, seconds] : { std::pair { "first", "1" }, { "second", "3" }, { "third", "2" } })
        Fixture::find(fixture.firstRunner, id)->send(refusal(id, notRun + "Retry-After: " + seconds + "\r\n"));
    runUntil(
        fixture.context, [&] { return first->has("\r\n\r\n") && second->has("\r\n\r\n") && third->has("\r\n\r\n"); });
    fixture.clockOffset += milliseconds(2200);
    CHECK_FALSE(fixture.reachesFirst());
    fixture.clockOffset += milliseconds(1600);
    CHECK(fixture.reachesFirst());
}

TEST_CASE("a request that a runner refused as not run is served by another one, which gets the following ones too")
{
    Fixture fixture;
    fixture.refuse(notRun + "Retry-After: 5\r\n");
    fixture.useRunners(2);
    for (int i = 0; i < 6; ++i) {
        const auto id = "other" + std::to_string(i);
        fixture.caller = fixture.connect("POST", "/book/1", id, {});
        runUntil(fixture.context, [&] { return Fixture::find(fixture.secondRunner, id) != nullptr; });
        auto* peer = Fixture::find(fixture.secondRunner, id);
        peer->received.clear();
        peer->send(successResponse(id, "ok"));
        fixture.awaitAnswer("ok");
    }
    CHECK(fixture.router.runnerReport(daemon::currentTime()).states.front().failedTenths == 0);
}

TEST_CASE("after its pause a runner gets one request, and more a moment later")
{
    Fixture fixture;
    fixture.refuse(notRun + "Retry-After: 1\r\n");
    fixture.clockOffset += milliseconds(1300);
    const auto first = fixture.connect("POST", "/book/1", "first", {});
    runUntil(fixture.context, [&] { return Fixture::find(fixture.firstRunner, "first") != nullptr; });
    fixture.useRunners(2);
    const auto second = fixture.connect("POST", "/book/1", "second", {});
    runUntil(fixture.context, [&] { return Fixture::find(fixture.secondRunner, "second") != nullptr; });
    CHECK(Fixture::find(fixture.firstRunner, "second") == nullptr);
    fixture.useRunners(1);
    fixture.clockOffset += milliseconds(300);
    const auto third = fixture.connect("POST", "/book/1", "third", {});
    runUntil(fixture.context, [&] { return Fixture::find(fixture.firstRunner, "third") != nullptr; });
}

TEST_CASE("a time to come back that cannot be used, or without a refusal, pauses nothing")
{
    for (const std::string value : { "-1", "x", "nan", "inf", "", "1 second", "0" }) {
        CAPTURE(value);
        Fixture fixture;
        fixture.refuse(notRun + "Retry-After: " + value + "\r\n");
        CHECK(fixture.reachesFirst());
    }
    Fixture fixture;
    fixture.call("GET", "/look/1");
    fixture.awaitRequest(1).send("HTTP/1.1 404 Not Found\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                                 "Retry-After: 5\r\nContent-Length: 0\r\n\r\n");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.reachesFirst());
}
