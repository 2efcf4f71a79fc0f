#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::runUntil;
using tests::streamHead;
using Fixture = tests::RouterFixture;

// Guards against a daemon that ends with an error after it has cut off requests at the end of its grace period.
TEST_CASE("requests in flight end after their router, with the handlers of the event loop")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    fixture.awaitRequest(1).send(streamHead("s-1") + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    const auto other = fixture.connect("POST", "/book/1", "other", {});
    fixture.awaitRequest(2).send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 9\r\n\r\npart");
    runUntil(fixture.context, [&] { return fixture.router.bufferedResponseBytes() == 4; });
    CHECK(fixture.router.requestsInFlight() == 2);
}
