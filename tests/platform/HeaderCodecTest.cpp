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

TEST_CASE("the facts of a request are read from its headers")
{
    const auto facts = platform::HeaderCodec().decodeRequest(request());
    REQUIRE(facts);
    CHECK(facts->attemptId == "abc");
    CHECK(facts->host == "a.example");
    CHECK(facts->credential == "secret");
    CHECK(facts->callerTimeout == std::chrono::milliseconds(1500));
    CHECK(facts->lastEvent == 12);
    CHECK(facts->promptTokens == 1460);
    CHECK(facts->maxOutputTokens == 80);
    CHECK(facts->expectedOutputTokens == 60);
    REQUIRE(facts->prompt.size() == 2);
    CHECK(facts->prompt[0].id == 0x5c1e07a2);
    CHECK(facts->prompt[1].tokens == 410);
}

TEST_CASE("a request without id or host, or with two, is not understood")
{
    for (const char* name : { "Host", "X-Attempt-Id" }) {
        auto without = request();
        std::erase_if(without.headers, [&](const auto& header) { return header.first == name; });
        CHECK_FALSE(platform::HeaderCodec().decodeRequest(without));
        auto twice = request();
        twice.headers.emplace_back(name, "other");
        CHECK_FALSE(platform::HeaderCodec().decodeRequest(twice));
    }
    auto late = request();
    late.headers[2].second = "soon";
    CHECK_FALSE(platform::HeaderCodec().decodeRequest(late));
}

TEST_CASE("a runner gets the caller's headers, without its secret, with what the daemon sets")
{
    auto sent = request();
    sent.headers.insert(sent.headers.end(),
        { { "x-tenant", "forged" }, { "X-Hold", "1" }, { "kv-from", "x" }, { "X-Pin-Ms", "1" }, { "X-Kv-Backup", "x" },
            { "X-Request-Priority", "0" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" },
            { "Transfer-Encoding", "chunked" }, { "X-Custom", "kept" } });
    proxy::ForwardMetadata facts;
    facts.organisation = "works";
    facts.runner = "i-1";
    facts.timeLeft = std::chrono::milliseconds(900);
    facts.lastEvent = 20;
    facts.priority = 2;
    const auto headers = platform::HeaderCodec().encodeRequest(sent.headers, facts);
    for (const char* name :
        { "X-Key", "X-Hold", "Kv-From", "X-Pin-Ms", "X-Kv-Backup", "Connection", "X-Hop", "Transfer-Encoding" })
        CHECK_FALSE(valueOf(headers, name));
    CHECK(valueOf(headers, "X-Tenant") == "works");
    CHECK(valueOf(headers, "X-Expect-Instance") == "i-1");
    CHECK(valueOf(headers, "X-Deadline-Ms") == "900");
    CHECK(valueOf(headers, "Last-Event-Id") == "20");
    // The caller asked for the first rank; the daemon sets it.
    CHECK(valueOf(headers, "X-Request-Priority") == "2");
    CHECK(valueOf(headers, "X-Custom") == "kept");
    CHECK(valueOf(headers, "X-Attempt-Id") == "abc");
    CHECK(valueOf(headers, "X-Prompt-Prefix") == "5c1e07a2:800,91bd3f06:410");
    CHECK(std::count_if(headers.begin(), headers.end(), [](const auto& header) {
        return gateway::isEqualIgnoringCase(header.first, "X-Tenant");
    }) == 1);
}

TEST_CASE("a request without organisation carries none, whatever the caller says")
{
    auto sent = request();
    sent.headers.emplace_back("X-Tenant", "forged");
    CHECK_FALSE(valueOf(platform::HeaderCodec().encodeRequest(sent.headers, {}), "X-Tenant"));
}

TEST_CASE("the head of a response says whether it ran and whose it is")
{
    http::MessageHead head;
    head.status = 503;
    head.headers = { { "X-Attempt-Id", "abc" }, { "X-Not-Executed", "1" }, { "X-Server-Load", "3,1,8" } };
    auto facts = platform::HeaderCodec().decodeResponse(head);
    CHECK(facts.hasNotRun);
    CHECK(facts.attemptId == "abc");
    CHECK_FALSE(facts.hasDigest);
    REQUIRE(facts.load);
    CHECK(facts.load->running == 3);
    CHECK(facts.load->waiting == 1);
    CHECK(facts.load->slots == 8);
    head.headers = {};
    CHECK_FALSE(platform::HeaderCodec().decodeResponse(head).hasNotRun);
    head.status = 421;
    CHECK(platform::HeaderCodec().decodeResponse(head).isMisdirected);
    head.status = 200;
    head.headers = { { "X-Response-Signature", "s" }, { "Content-Encoding", "gzip" }, { "X-Server-Load", "3,x" } };
    facts = platform::HeaderCodec().decodeResponse(head);
    CHECK(facts.hasDigest);
    CHECK(facts.isEncoded);
    CHECK_FALSE(facts.load);
}
