#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::route;
using tests::successResponse;
using Fixture = tests::RouterFixture;

// Guards against a configuration that takes the last organisation away and so admits every credential.
TEST_CASE("once the last organisation is removed every credential is refused, and public routes are served")
{
    Fixture fixture;
    routing::Configuration configuration;
    configuration.revision = 2;
    configuration.routes = { route("/book/", routing::RequestKind::NonIdempotent, false, 1),
        route("/open/", routing::RequestKind::Idempotent, false, 1) };
    configuration.routes.back().isPublic = true;
    fixture.router.setRoutes(std::make_shared<const routing::RouteTable>(std::move(configuration)));
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 401"));
    CHECK(fixture.requestCount() == 0);
    fixture.call("GET", "/open/1");
    fixture.awaitRequest(1).send(successResponse("id", "open"));
    fixture.awaitAnswer("open");
}
