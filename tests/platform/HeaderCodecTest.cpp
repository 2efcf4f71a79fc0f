#include "platform/HeaderCodec.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassford;

namespace {

gateway::HttpRequest request()
{
    gateway::HttpRequest result;
    result.method = "POST";
    result.target = "/a/b?c=d";
    result.headers = { { "Host", "a.example" }, { "X-Attempt-Id", "abc" }, { "X-Deadline-Ms", "1500" },
        { "X-Key", "secret" }, { "X-Model", "m" }, { "X-Token-Usage", "1460,80" }, { "X-Length-Hint", "60" },
        { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" }, { "Last-Event-Id", "12" } };
    return result;
}

std::optional<std::string> valueOf(const gateway::Headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (gateway::isEqualIgnoringCase(key, name))
            return value;
    }
    return std::nullopt;
}

}

TEST_CASE("the metadata of a request is decoded from its headers")
{
    const auto metadata = platform::HeaderCodec().decodeRequest(request());
    REQUIRE(metadata);
    CHECK(metadata->attemptId == "abc");
    CHECK(metadata->host == "a.example");
    CHECK(metadata->credential == "secret");
    CHECK(metadata->callerTimeout == std::chrono::milliseconds(1500));
    CHECK(metadata->lastEvent == 12);
    CHECK(metadata->promptTokens == 1460);
    CHECK(metadata->maxOutputTokens == 80);
    CHECK(metadata->expectedOutputTokens == 60);
    REQUIRE(metadata->prompt.size() == 2);
    CHECK(metadata->prompt[0].id == 0x5c1e07a2);
    CHECK(metadata->prompt[1].tokens == 410);
}

// Guards against the loss of all load reports of runners that also report their speed, and against placement by reports
// that no working runner sends.
TEST_CASE("the load of a runner is read with three figures, or with its slowdown as the fourth")
{
    const auto decode = [](const std::string& text) {
        http::MessageHead head;
        head.headers = { { "X-Server-Load", text } };
        return platform::HeaderCodec().decodeResponse(head).load;
    };
    const auto usual = decode("3,1,64");
    REQUIRE(usual);
    CHECK(usual->waiting == 1);
    CHECK_FALSE(usual->slowdown);
    const auto slow = decode("3,1,64,250");
    REQUIRE(slow);
    CHECK(slow->slots == 64);
    CHECK(slow->slowdown == 2.5);
    CHECK(decode("3,1,64,0")->slowdown == 0.5);
    CHECK(decode("3,1,64,100000")->slowdown == 10.0);
    for (const char* text : { "", "3,1", "3,1,64,100,7", "3,1,64,", "3,1,64,fast", "3,1,64,-100", "3,1,64,nan",
             "3,1,64,inf", "3,1,many,100", "-3,1,64" }) {
        CAPTURE(text);
        CHECK_FALSE(decode(text));
    }
}

TEST_CASE("a request that continues a stream names the attempt that began it, by exactly one header")
{
    const auto decode = [](const gateway::Headers& headers) {
        gateway::HttpRequest request;
        request.headers = { { "Host", "a.example" }, { "X-Attempt-Id", "abc" } };
        request.headers.insert(request.headers.end(), headers.begin(), headers.end());
        return platform::HeaderCodec().decodeRequest(request).value();
    };
    CHECK_FALSE(decode({}).isContinuation);
    const auto named = decode({ { "Last-Event-Id", "3" }, { "Resumes", "first" } });
    CHECK(named.isContinuation);
    CHECK(named.continuedAttempt == "first");
    // An id that is no number, or 0, is an event of the caller all the same.
    CHECK(decode({ { "Last-Event-Id", "x" } }).isContinuation);
    CHECK(decode({ { "Last-Event-Id", "0" } }).isContinuation);
    CHECK(decode({ { "Resumes", "first" } }).isContinuation);
    CHECK(decode({ { "Last-Event-Id", "3" }, { "Resumes", "a" }, { "Resumes", "b" } }).continuedAttempt.empty());
}

TEST_CASE("a request is refused unless it has exactly one Host and one attempt id, and a numeric deadline")
{
    for (const char* name : { "Host", "X-Attempt-Id" }) {
        auto without = request();
        std::erase_if(without.headers, [&](const auto& header) { return header.first == name; });
        CHECK_FALSE(platform::HeaderCodec().decodeRequest(without));
        auto twice = request();
        twice.headers.emplace_back(name, "other");
        CHECK_FALSE(platform::HeaderCodec().decodeRequest(twice));
    }
    auto invalidDeadline = request();
    invalidDeadline.headers[2].second = "soon";
    CHECK_FALSE(platform::HeaderCodec().decodeRequest(invalidDeadline));
}

TEST_CASE("a forwarded request has the daemon's headers instead of the credential and forged headers of the caller")
{
    auto sent = request();
    sent.headers.insert(sent.headers.end(),
        { { "x-tenant", "forged" }, { "X-Hold", "1" }, { "kv-from", "x" }, { "X-Pin-Ms", "1" }, { "X-Kv-Backup", "x" },
            { "X-Request-Priority", "0" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" },
            { "Transfer-Encoding", "chunked" }, { "X-Custom", "kept" } });
    proxy::ForwardMetadata metadata;
    metadata.organisation = "works";
    metadata.runner = "i-1";
    metadata.timeLeft = std::chrono::milliseconds(900);
    metadata.lastEvent = 20;
    metadata.priority = 2;
    const auto headers = platform::HeaderCodec().encodeRequest(sent.headers, metadata);
    for (const char* name :
        { "X-Key", "X-Hold", "Kv-From", "X-Pin-Ms", "X-Kv-Backup", "Connection", "X-Hop", "Transfer-Encoding" })
        CHECK_FALSE(valueOf(headers, name));
    CHECK(valueOf(headers, "X-Tenant") == "works");
    CHECK(valueOf(headers, "X-Expect-Instance") == "i-1");
    CHECK(valueOf(headers, "X-Deadline-Ms") == "900");
    CHECK(valueOf(headers, "Last-Event-Id") == "20");
    // The caller asked for the most urgent priority, which only the daemon may set.
    CHECK(valueOf(headers, "X-Request-Priority") == "2");
    CHECK(valueOf(headers, "X-Custom") == "kept");
    CHECK(valueOf(headers, "X-Attempt-Id") == "abc");
    CHECK(valueOf(headers, "X-Prompt-Prefix") == "5c1e07a2:800,91bd3f06:410");
    CHECK(std::count_if(headers.begin(), headers.end(), [](const auto& header) {
        return gateway::isEqualIgnoringCase(header.first, "X-Tenant");
    }) == 1);
}

TEST_CASE("a forwarded request without an organisation has no X-Tenant, even if the caller sent one")
{
    auto sent = request();
    sent.headers.emplace_back("X-Tenant", "forged");
    CHECK_FALSE(valueOf(platform::HeaderCodec().encodeRequest(sent.headers, {}), "X-Tenant"));
}

TEST_CASE("the metadata of a response is decoded from its head")
{
    http::MessageHead head;
    head.status = 503;
    head.headers = { { "X-Attempt-Id", "abc" }, { "X-Not-Executed", "1" }, { "X-Server-Load", "3,1,8" } };
    auto metadata = platform::HeaderCodec().decodeResponse(head);
    CHECK(metadata.hasNotRun);
    CHECK(metadata.attemptId == "abc");
    CHECK_FALSE(metadata.hasDigest);
    REQUIRE(metadata.load);
    CHECK(metadata.load->running == 3);
    CHECK(metadata.load->waiting == 1);
    CHECK(metadata.load->slots == 8);
    head.headers = {};
    CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).hasNotRun);
    head.status = 421;
    CHECK(platform::HeaderCodec().decodeResponse(head).isMisdirected);
    head.status = 200;
    head.headers = { { "X-Response-Signature", "s" }, { "Content-Encoding", "gzip" }, { "X-Server-Load", "3,x" } };
    metadata = platform::HeaderCodec().decodeResponse(head);
    CHECK(metadata.hasDigest);
    CHECK(metadata.isEncoded);
    CHECK_FALSE(metadata.load);
}

TEST_CASE("a response that says that its runner leaves is recognized, and no other value of the header")
{
    http::MessageHead head;
    head.status = 200;
    CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).isLeaving);
    head.headers = { { "server-leaving", "1" } };
    CHECK(platform::HeaderCodec().decodeResponse(head).isLeaving);
    for (const char* text : { "", "0", "false", "11", "1x" }) {
        head.headers = { { "Server-Leaving", text } };
        CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).isLeaving);
    }
}

TEST_CASE("the pause that a refusal asks for is a number of seconds or a date, and others are marked as unusable")
{
    const auto decode = [](const std::string& retryAfter, const std::string& date, std::uint16_t status) {
        http::MessageHead head;
        head.status = status;
        head.headers = { { "Retry-After", retryAfter } };
        if (!date.empty())
            head.headers.emplace_back("Date", date);
        return platform::HeaderCodec().decodeResponse(head);
    };
    using std::chrono::milliseconds;
    CHECK(decode("2", "", 503).pause == milliseconds(2000));
    CHECK(decode("0.25", "", 503).pause == milliseconds(250));
    CHECK(decode("0", "", 503).pause == milliseconds(0));
    CHECK_FALSE(decode("0", "", 503).hasUnusablePause);
    CHECK(decode("Sun, 06 Nov 1994 08:49:40 GMT", "Sun, 06 Nov 1994 08:49:37 GMT", 503).pause == milliseconds(3000));
    CHECK(decode("Sun, 06 Nov 1994 08:49:37 GMT", "Sun, 06 Nov 1994 08:49:40 GMT", 503).pause == milliseconds(0));
    CHECK(decode("1e12", "", 503).pause == std::chrono::hours(1));
    CHECK(decode("1e12", "", 503).hasUnusablePause);
    for (const std::string text :
        { "", "-1", "nan", "inf", "-inf", "1e999", "2 s", "soon", "Sun, 06 Nov 1994 08:49:40 GMT", "Sun, 06" }) {
        CAPTURE(text);
        CHECK_FALSE(decode(text, "", 503).pause);
        CHECK(decode(text, "", 503).hasUnusablePause);
    }
    CHECK_FALSE(decode("2", "", 429).pause);
    CHECK_FALSE(decode("x", "", 200).hasUnusablePause);
}

TEST_CASE("the request rate that a runner accepts is decoded; anything but a number is no limit")
{
    http::MessageHead head;
    head.status = 200;
    CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).rateLimit);
    head.headers = { { "Server-Limit", "3.4" } };
    CHECK(platform::HeaderCodec().decodeResponse(head).rateLimit == 3.4);
    head.headers = { { "Server-Limit", "1e300" } };
    CHECK(platform::HeaderCodec().decodeResponse(head).rateLimit == 1e9);
    for (const char* text : { "", "x", "-1", "3.4x", "inf", "nan" }) {
        head.headers = { { "Server-Limit", text } };
        CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).rateLimit);
    }
}
