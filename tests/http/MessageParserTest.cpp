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
