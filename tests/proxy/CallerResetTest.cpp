#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::streamHead;
using tests::successResponse;

namespace {

/// A router with the requests of two callers in flight.
struct Fixture : tests::RouterFixture {
    Peer* runner = nullptr;
    std::shared_ptr<Peer> other;
    Peer* otherRunner = nullptr;

    explicit Fixture(const std::string& target)
    {
        call("POST", target);
        runner = &awaitRequest(1);
        other = connect("POST", "/book/2", "other", {});
        otherRunner = &awaitRequest(2);
    }

    /// Lets the router find, as it handles @a bytes of the runner, that the caller has reset its connection.
    void resetCallerBefore(const std::string& bytes)
    {
        // The bytes become readable first, so that the router writes to the connection before it reads from it.
        runner->send(bytes);
        caller->reset();
        tests::runUntil(context, [this] { return router.requestsInFlight() == 1; });
    }

    /// Whether the request of the other caller is answered.
    bool isOtherServed()
    {
        otherRunner->send(successResponse("other", "booked"));
        tests::runUntil(context, [this] { return other->has("booked") || other->isEnded; });
        return other->has("booked");
    }
};

}

// Guards against a daemon that ends as it answers a caller that has reset its connection.
TEST_CASE("a caller that resets its connection as its stream begins ends its own request and no other")
{
    Fixture fixture("/stream/1");
    fixture.resetCallerBefore(streamHead("s-1") + chunk(event(1)));
    CHECK(fixture.isOtherServed());
}

TEST_CASE("a caller that resets its connection as its stream goes on or ends does no harm to others")
{
    for (const auto& rest : { chunk(event(2)), chunk(event(2)) + "0\r\n\r\n", std::string("0\r\n\r\n") }) {
        Fixture fixture("/stream/1");
        fixture.runner->send(streamHead("s-1") + chunk(event(1)));
        fixture.awaitAnswer("e1\n\n");
        fixture.resetCallerBefore(rest);
        CHECK(fixture.isOtherServed());
    }
}

TEST_CASE("a caller that resets its connection as its whole response arrives does no harm to others")
{
    for (const auto& response :
        { successResponse("id", "booked"), std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n\r\n"),
            std::string("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n"),
            std::string("no response\r\n\r\n") }) {
        Fixture fixture("/book/1");
        fixture.resetCallerBefore(response);
        CHECK(fixture.isOtherServed());
    }
}

TEST_CASE("a stream that the router breaks off counts as cut, not as left by its caller")
{
    Fixture fixture("/once/1");
    fixture.runner->send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    fixture.runner->reset();
    fixture.awaitEnd();
    const auto metrics = fixture.metrics.serialize();
    CHECK(metrics.find("outcome=\"cut\"") != std::string::npos);
    CHECK(metrics.find("outcome=\"caller-left\"") == std::string::npos);
}
