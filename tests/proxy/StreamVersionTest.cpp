#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::runUntil;
using tests::streamHead;

namespace {

/// Runners of two software versions in one service.
struct Fixture : tests::RouterFixture {
    Fixture() { list("v1", "v2"); }

    void list(const std::string& firstVersion, const std::string& secondVersion)
    {
        auto first = runnerEntry("r-1", firstRunner.port());
        auto second = runnerEntry("r-2", secondRunner.port());
        first.version = firstVersion;
        second.version = secondVersion;
        router.setRunners(std::vector<runners::RunnerEntry> { first, second });
    }

    /// Begins a stream that breaks off after its second event. Returns the id of the runner that began it.
    std::string beginAndBreak()
    {
        call("POST", "/stream/1");
        auto& runner = awaitRequest(requestCount() + 1);
        const std::string id = runner.has("X-Expect-Instance: r-1") ? "r-1" : "r-2";
        runner.send(streamHead("s-1") + chunk(event(1) + event(2)));
        awaitAnswer("e2\n\n");
        runner.reset();
        return id;
    }

    /// Sends a request that continues a stream, and waits until it is answered or reaches a runner.
    void continueStream(const std::string& headers)
    {
        const auto before = requestCount();
        caller = connect("POST", "/stream/1", "again", headers);
        runUntil(context, [&] { return requestCount() > before || caller->has("HTTP/1.1 "); });
    }
};

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
