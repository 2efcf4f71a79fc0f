#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::Peer;
using tests::successResponse;

namespace {

/// A refusal that the runner did not run a request, with the given lines that name the request.
std::string refusal(const std::string& idLines)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + idLines + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string idLine(const std::string& id) { return "X-Attempt-Id: " + id + "\r\n"; }

/// A router whose runner has refused a request and received another one on the same connection.
struct Fixture : tests::RouterFixture {
    Peer* runner = nullptr;

    explicit Fixture(const std::string& method, const std::string& target)
    {
        router.setRunners(std::vector<runners::RunnerEntry> { runnerEntry("r-1", firstRunner.port()) });
        caller = connect("POST", "/book/1", "refused", {});
        runner = &awaitRequest(1);
        runner->send(refusal(idLine("refused")));
        awaitAnswer("\r\n\r\n");
        REQUIRE(caller->received.starts_with("HTTP/1.1 503"));
        caller = connect(method, target, "id", {});
        tests::runUntil(context, [this] { return requestCount() == 2; });
        REQUIRE(firstRunner.peers.size() == 1);
        // A second runner, to which the request must not be sent while the first one runs it.
        router.setRunners(std::vector<runners::RunnerEntry> {
            runnerEntry("r-1", firstRunner.port()), runnerEntry("r-2", secondRunner.port()) });
    }
};

}

// Guards against callers that are told that their request was not run while a runner runs it.
TEST_CASE("a late copy of a refusal of an earlier request does not end the request in flight")
{
    Fixture fixture("POST", "/book/2");
    fixture.runner->send(refusal(idLine("refused")));
    fixture.runner->send(successResponse("id", "booked"));
    fixture.awaitAnswer("booked");
    CHECK(fixture.requestCount() == 2);
}

TEST_CASE("a response that does not name its request is no statement that the request was not run")
{
    for (const auto& idLines : { std::string(), idLine("id") + idLine("refused"), idLine("refused") + idLine("id") }) {
        CAPTURE(idLines);
        Fixture fixture("POST", "/book/2");
        fixture.runner->send(refusal(idLines));
        fixture.awaitAnswer("\r\n\r\n");
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 502"));
        CHECK(fixture.requestCount() == 2);
        CHECK(fixture.runner->isEnded);
    }
}

TEST_CASE("a success that does not name its request is not passed to a caller")
{
    Fixture fixture("GET", "/look/2");
    fixture.runner->send("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother");
    tests::runUntil(fixture.context, [&] { return fixture.requestCount() == 3; });
    fixture.secondRunner.peers.front()->send(successResponse("id", "found"));
    fixture.awaitAnswer("found");
    CHECK_FALSE(fixture.caller->has("other"));
}
