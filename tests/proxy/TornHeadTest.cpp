#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;

// Guards against a head that its runner did not finish being taken for a whole response (a report of other operators).
TEST_CASE("a response whose runner stops within its head is no answer, whether it closes or resets")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n";
    for (const std::size_t length :
        { std::size_t(9), std::size_t(17), head.size() - 20, head.size() - 1, head.size() }) {
        for (const bool isReset : { false, true }) {
            CAPTURE(length);
            CAPTURE(isReset);
            tests::RouterFixture fixture;
            fixture.call("POST", "/book/1");
            auto& runner = fixture.awaitRequest(1);
            runner.send(head.substr(0, length));
            fixture.context.run_for(std::chrono::milliseconds(10));
            if (isReset)
                runner.reset();
            else
                runner.finish();
            tests::runUntil(
                fixture.context, [&] { return fixture.caller->isEnded || fixture.caller->has("\r\n\r\n"); });
            CHECK_FALSE(fixture.caller->has("HTTP/1.1 200"));
            CHECK(fixture.requestCount() == 1);
        }
    }
}

TEST_CASE("a stream is not complete if the runner that resumes it stops within its head")
{
    for (const std::string torn :
        { "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Sig",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n" }) {
        tests::RouterFixture fixture;
        fixture.call("POST", "/stream/1");
        auto& broken = fixture.awaitRequest(1);
        broken.send(tests::streamHead("s") + chunk(event(1) + event(2)));
        fixture.awaitAnswer("e2\n\n");
        broken.reset();
        auto& next = fixture.awaitRequest(2);
        next.send(torn);
        next.finish();
        fixture.awaitEnd();
        CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
    }
}
