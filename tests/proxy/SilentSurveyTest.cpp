#include "proxy/VersionsFixture.h"

using namespace eelgrassford;
using std::chrono::milliseconds;
using tests::runUntil;

namespace {

/// Two runners of different versions, asked for their caches since no daemon knows a stream.
struct Fixture : tests::FleetFixture {
    explicit Fixture(const std::string& secondVersion = "v2")
        : FleetFixture(secondVersion)
    {
        continueForeign("X-Prompt-Prefix: 1a:100,2b:50\r\n");
        others.questions.front().second(std::nullopt);
        runUntil(context, [&] { return isAsked(firstRunner) && isAsked(secondRunner); });
    }

    static bool isAsked(const tests::Listener& listener)
    {
        return !listener.peers.empty() && listener.peers.front()->has("GET /kv-list HTTP/1.1");
    }
    static void answer(tests::Listener& listener, const std::string& body)
    {
        listener.peers.front()->send(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    static std::string caches(const std::string& held) { return R"({"epoch":1,"next":2,"held":[)" + held + "]}"; }

    /// Lets more time pass than runners usually take to answer.
    void waitForLateRunners() { context.run_for(milliseconds(700)); }
    bool isAnswered() const { return requestCount() > 0 || caller->has("HTTP/1.1 "); }
};

const std::string lastPart = R"(["","2b",50,"m"])";

}

// Guards against streams of two versions after a survey that the runner that began them did not answer.
TEST_CASE("a silent runner of another version is waited for before a stream is continued")
{
    for (const bool hasPart : { false, true }) {
        CAPTURE(hasPart);
        Fixture fixture;
        fixture.answer(fixture.firstRunner, fixture.caches(lastPart));
        fixture.waitForLateRunners();
        CHECK_FALSE(fixture.isAnswered());
        fixture.answer(fixture.secondRunner, fixture.caches(hasPart ? lastPart : ""));
        runUntil(fixture.context, [&] { return fixture.isAnswered(); });
        CHECK(fixture.requestCount() == (hasPart ? 0 : 1));
        if (!hasPart)
            CHECK(fixture.awaitRequest(1).has("X-Expect-Instance: r-1"));
    }
}

// Guards against answers that cannot be read, or were cut at the size limit, being taken for empty lists.
TEST_CASE("a list of a runner that cannot be read says nothing about what the runner has cached")
{
    const std::string tooLarge(3u << 20, ' ');
    for (const auto& body : { std::string("{"), std::string("{}"), std::string(R"({"held":7})"),
             R"({"epoch":1,"next":2,"held":[)" + tooLarge + lastPart + "]}" }) {
        CAPTURE(body.substr(0, 40));
        Fixture fixture;
        fixture.answer(fixture.firstRunner, fixture.caches(lastPart));
        fixture.answer(fixture.secondRunner, body);
        runUntil(fixture.context, [&] { return fixture.isAnswered(); });
        CHECK(fixture.requestCount() == 0);
        CHECK(fixture.caller->has("HTTP/1.1 503"));
    }
}

// Guards against streams of two versions after the runner that began them was replaced.
TEST_CASE("a stream that a runner may have begun that left the listing since is refused while versions differ")
{
    Fixture fixture;
    fixture.list("v1", "v3");
    fixture.answer(fixture.firstRunner, fixture.caches(lastPart));
    runUntil(fixture.context, [&] { return fixture.isAnswered(); });
    CHECK(fixture.requestCount() == 0);
    CHECK(fixture.caller->has("HTTP/1.1 503"));
}

// Guards against lost streams: runners of the version that alone serves need not all be heard.
TEST_CASE("a silent runner of the same version as all others does not delay a stream")
{
    Fixture fixture("v1");
    fixture.answer(fixture.firstRunner, fixture.caches(lastPart));
    runUntil(fixture.context, [&] { return fixture.requestCount() == 1; });
}
