#include "http/MessageParser.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using http::MessageParser;

namespace {

/// Records the events of a parser.
struct Collected {
    std::vector<http::MessageHead> heads;
    std::vector<std::string> bodies;
    std::size_t complete = 0;

    MessageParser::Events events()
    {
        return { [this](http::MessageHead& head) {
                    heads.push_back(head);
                    bodies.emplace_back();
                },
            [this](std::string_view bytes) { bodies.back() += bytes; }, [this] { ++complete; } };
    }
};

}

TEST_CASE("the parser stops after each message, so that the next one is not taken for its body")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Request, found.events());
    const std::string bytes
        = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto used = parser.feed(bytes);
    REQUIRE(used);
    CHECK(bytes.substr(*used).starts_with("GET /b"));
    CHECK(found.complete == 1);
    CHECK(found.bodies.at(0) == "abc");
    REQUIRE(parser.feed(bytes.substr(*used)));
    CHECK(found.complete == 2);
    CHECK(found.heads.at(1).target == "/b");
}

TEST_CASE("a request inside a body is kept as part of the body")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Request, found.events());
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto bytes
        = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    REQUIRE(parser.feed(bytes));
    CHECK(found.heads.size() == 1);
    CHECK(found.bodies.at(0) == inner);
}

TEST_CASE("ambiguous framing is refused")
{
    for (const char* text : { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" }) {
        Collected found;
        MessageParser parser(MessageParser::Kind::Request, found.events());
        CHECK_FALSE(parser.feed(text));
        CHECK(found.complete == 0);
    }
}

TEST_CASE("headers over the limit are reported as too large, not as malformed")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Request, found.events());
    parser.setHeaderLimit(100);
    const auto used = parser.feed("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(200, 'x') + "\r\n\r\n");
    REQUIRE_FALSE(used);
    CHECK(used.error().isTooLarge);
}

TEST_CASE("a response without a length is complete only when its connection ends")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Response, found.events());
    REQUIRE(parser.feed("HTTP/1.1 200 OK\r\n\r\npart"));
    CHECK(found.heads.at(0).isEndedByClose);
    CHECK(found.complete == 0);
    CHECK(parser.finish());
    CHECK(found.complete == 1);
}

TEST_CASE("a response that is shorter than its Content-Length is incomplete")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Response, found.events());
    REQUIRE(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"));
    CHECK_FALSE(found.heads.at(0).isEndedByClose);
    CHECK_FALSE(parser.finish());
    CHECK(found.complete == 0);
}

// Guards against a runner that reads a header otherwise than this daemon does.
TEST_CASE("a header whose name is no token, as with a space before the colon, is refused in requests and responses")
{
    for (const std::string line : { "X-Tenant : other", "X-Tenant\t: other", "X Tenant: other", ": other",
             "X(Y): other", "X-T\xc3\xa9: other", "Content-Length : 3", "Transfer-Encoding : chunked" }) {
        CAPTURE(line);
        Collected found;
        MessageParser request(MessageParser::Kind::Request, found.events());
        CHECK_FALSE(request.feed("GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n"));
        MessageParser response(MessageParser::Kind::Response, found.events());
        CHECK_FALSE(response.feed("HTTP/1.1 200 OK\r\nX: y\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"));
        CHECK(found.heads.empty());
    }
}

TEST_CASE("bare CR and bad framing are refused, and folded lines are joined")
{
    Collected folded;
    MessageParser folding(MessageParser::Kind::Request, folded.events());
    REQUIRE(folding.feed("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\tc\r\nY: d\r\n\r\n"));
    CHECK(folded.heads.at(0).header("X") == "a b\tc");
    CHECK(folded.heads.at(0).header("Y") == "d");
    for (const std::string rest : { "X: a\rb\r\n\r\n", "Content-Length: 3, 3\r\n\r\nabc",
             "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "Content-Length: +3\r\n\r\nabc",
             "Content-Length: 0x3\r\n\r\nabc", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "Transfer-Encoding: chunked\r\n\r\nx\r\n", "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
             "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" }) {
        CAPTURE(rest);
        Collected found;
        MessageParser parser(MessageParser::Kind::Request, found.events());
        CHECK_FALSE(parser.feed("POST / HTTP/1.1\r\nHost: h\r\n" + rest));
    }
}

TEST_CASE("a request that offers another protocol is read as HTTP/1.1, and so is the one after it")
{
    Collected found;
    MessageParser parser(MessageParser::Kind::Request, found.events());
    const std::string first = "POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                              "HTTP2-Settings: AAMAAABk\r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /b HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n";
    const auto used = parser.feed(first + second);
    REQUIRE(used);
    CHECK(*used == first.size());
    CHECK(found.bodies.at(0) == "abc");
    REQUIRE(parser.feed(second));
    CHECK(found.complete == 2);
    CHECK(found.heads.at(1).target == "/b");
    CHECK_FALSE(parser.feed("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"));
}
