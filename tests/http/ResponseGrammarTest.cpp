#include "http/MessageParser.h"
#include "proxy/RouterFixture.h"

#include <random>

using namespace eelgrassford;
using http::MessageParser;
using tests::Peer;

namespace {

const std::string rest = "\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong";

/// Heads that are no responses by RFC 9112, sections 3 to 7.
std::vector<std::string> malformedResponses()
{
    std::vector<std::string> result;
    for (const auto* line :
        { "HTTP/1.1 000 OK", "HTTP/1.1 0", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
            "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK",
            "HTTP/1.1200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "ICY 200 OK" })
        result.push_back(line + rest);
    for (const auto* field : { "X Y: 1", "X\x01Y: 1", "X-A : 1", ": 1", "X\tY: 1", "X-A: \x01", "X-A: a\x7f",
             "Content-Length: 6", "Content-Length: +5", "Transfer-Encoding: chunked", "no colon" })
        result.push_back(std::string("HTTP/1.1 200 OK\r\n") + field + rest);
    result.push_back(std::string("HTTP/1.1 200 OK\r\nX\0Y: 1", 24) + rest);
    for (const auto* chunks : { "g\r\nwrong\r\n0\r\n\r\n", "-5\r\nwrong\r\n0\r\n\r\n", "\r\nwrong",
             "fffffffffffffffff\r\nwrong\r\n0\r\n\r\n" })
        result.push_back(std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n")
            + chunks);
    return result;
}

}

// Guards against bytes that are no answer being passed to a caller as one.
TEST_CASE("a malformed response of a runner reaches no caller, whole or in single bytes")
{
    for (const auto& response : malformedResponses()) {
        CAPTURE(response);
        for (const bool isWhole : { true, false }) {
            tests::RouterFixture fixture;
            fixture.call("POST", "/book/1");
            auto& runner = fixture.awaitRequest(1);
            if (isWhole) {
                runner.send(response);
            } else {
                runner.send(response.substr(0, response.size() / 2));
                fixture.context.run_for(std::chrono::milliseconds(1));
                if (!runner.isEnded)
                    runner.send(response.substr(response.size() / 2));
            }
            runner.finish();
            fixture.awaitAnswer("\r\n\r\n");
            CHECK(fixture.caller->received.starts_with("HTTP/1.1 502 "));
            CHECK_FALSE(fixture.caller->has("wrong"));
        }
    }
}

// Guards against part of an answer being taken for all of it.
TEST_CASE("a response without length that is reset beside a long upload is not complete")
{
    tests::RouterFixture fixture;
    fixture.caller = Peer::connect(fixture.context, fixture.port);
    const std::string body(4u << 20, 'x');
    fixture.caller->send(
        "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nX-Key: key\r\nContent-Length: 200000\r\n\r\n"
        + body.substr(0, 200000));
    auto& runner = fixture.awaitRequest(1);
    runner.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n\r\npart");
    fixture.context.run_for(std::chrono::milliseconds(20));
    runner.reset();
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 502 "));
    CHECK_FALSE(fixture.caller->has("part"));
}

// The twin of the mutation test of callers' bytes.
TEST_CASE("responses that are damaged at random give the same messages in pieces of any size, and only proper heads")
{
    const std::vector<std::string> originals { "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n0\r\nT: u\r\n\r\n",
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 204 None\r\n\r\n", "HTTP/1.0 500 No\r\n\r\nto the end" };
    constexpr std::uint64_t seeds = 3000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto input = originals[random() % originals.size()] + originals[random() % originals.size()];
        for (auto damage = random() % 4; damage > 0; --damage)
            input[random() % input.size()] = static_cast<char>(random());
        const auto parse = [&](std::size_t largestPiece) {
            std::string result;
            MessageParser parser(MessageParser::Kind::Response,
                { [&](http::MessageHead& head) {
                     CHECK(head.status >= 100);
                     CHECK(head.status <= 599);
                     result += "|" + std::to_string(head.status);
                     for (const auto& [name, value] : head.headers) {
                         CHECK_FALSE(name.empty());
                         CHECK(name.find_first_of(" \t\r\n:") == std::string::npos);
                         result.append(";").append(name).append(":").append(value);
                     }
                     result += "/";
                 },
                    [&](std::string_view bytes) { result += bytes; }, [&] { result += "."; } });
            std::string_view left = input;
            while (!left.empty()) {
                const auto used = parser.feed(left.substr(0, 1 + random() % largestPiece));
                if (!used)
                    return result + "!";
                left.remove_prefix(*used);
            }
            return result;
        };
        CHECK(parse(1) == parse(input.size()));
    }
}
