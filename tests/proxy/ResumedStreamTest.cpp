#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::streamHead;

namespace {

std::string head(const std::string& status, const std::string& extraHeaders, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: id\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A stream that broke off after its second event and was sent to another runner.
struct Fixture : tests::RouterFixture {
    Peer* next = nullptr;

    Fixture()
    {
        call("POST", "/stream/1");
        auto& broken = awaitRequest(1);
        broken.send(streamHead("s-1") + chunk(event(1) + event(2)));
        awaitAnswer("e2\n\n");
        broken.reset();
        next = &awaitRequest(2);
    }
};

const std::string isStream = "Content-Type: text/event-stream\r\n";
const std::string isSigned = "X-Response-Signature: s-2\r\n";

}

// Guards against streams in whose middle stands the error of the runner that should have resumed them.
TEST_CASE("whatever a runner answers instead of the rest of a stream, nothing of it reaches the caller")
{
    const std::string text = "data: wrong\n\n";
    for (const auto& response : {
             head("500 Internal Server Error", "", text),
             head("500 Internal Server Error", isStream + isSigned, text),
             head("404 Not Found", isStream + isSigned, text),
             head("400 Bad Request", isSigned, text),
             head("503 Service Unavailable", "X-Not-Executed: 1\r\n" + isStream, text),
             head("200 OK", isStream, text),
             head("200 OK", isSigned, "wrong"),
             head("200 OK", "Content-Type: text/plain\r\n" + isSigned, "id: 3\n" + text),
             head("200 OK", "Content-Type: application/json\r\n" + isSigned, "{\"error\": \"wrong\"}\n\n"),
             head("200 OK", isStream + isSigned + "Content-Encoding: gzip\r\n", "id: 3\n" + text),
             head("200 OK", isStream + isSigned, text),
             head("200 OK", isStream + isSigned, "wrong\n\n"),
             head("200 OK", isStream + isSigned, "error: wrong\n\n"),
             head("206 Partial Content", isStream + isSigned, "id: 3\n" + text),
             head("204 No Content", isStream + isSigned, ""),
             std::string("wrong\n\n"),
         }) {
        CAPTURE(response);
        Fixture fixture;
        fixture.next->send(response);
        fixture.awaitEnd();
        CHECK_FALSE(fixture.caller->has("wrong"));
        CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
        CHECK_FALSE(fixture.caller->has("s-2"));
        CHECK(fixture.caller->received.ends_with("e2\n\n\r\n"));
    }
}

TEST_CASE("the head of an error within a stream that is delimited by its connection breaks the stream off")
{
    Fixture fixture;
    fixture.next->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n" + isStream + isSigned + "\r\n" + event(3)
        + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nwrong\n\n");
    fixture.next->finish();
    fixture.awaitEnd();
    CHECK(fixture.caller->has("e3\n\n"));
    CHECK_FALSE(fixture.caller->has("wrong"));
    CHECK_FALSE(fixture.caller->has("HTTP/1.1 500"));
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
}

TEST_CASE("a resumed stream that ends with its connection before an event is not complete")
{
    Fixture fixture;
    fixture.next->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n" + isStream + isSigned + "\r\n");
    fixture.next->finish();
    fixture.awaitEnd();
    CHECK_FALSE(fixture.caller->has("0\r\n\r\n"));
}

TEST_CASE("a stream that broke off after its last event is completed by a runner that has nothing to add")
{
    Fixture fixture;
    fixture.next->send(head("200 OK", isStream + isSigned, ""));
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->received.ends_with("e2\n\n\r\n0\r\n\r\n"));
}

TEST_CASE("comments and fields of the event stream format are relayed, also in a resumed stream")
{
    Fixture fixture;
    const std::string events = ": note\n\nx-weight-versions: 4\nid: 3\nevent: token\ndata: e3\n\nid:4\ndata\n\n";
    fixture.next->send(head("200 OK", isStream + isSigned, events));
    fixture.awaitAnswer("0\r\n\r\n");
    CHECK(fixture.caller->has(events));
}
