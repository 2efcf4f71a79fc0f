#include "fleet/Gossip.h"

#include "common/Hash.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassford;
using nlohmann::json;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

fleet::Digest digest(const std::string& ip, const fleet::RemainingWork& left)
{
    fleet::Digest result;
    result.incarnation = hash64(ip);
    result.sequence = 1;
    result.ip = ip;
    result.region = "r";
    result.runners = { { 7, 2, 0, 0, 0, left }, { 8, 1, 0, 0, 0, {} } };
    return result;
}

fleet::Digest sent(const fleet::Digest& original)
{
    return std::get<fleet::Digest>(fleet::decode(fleet::encode(original)).value());
}

/// Fields of an encoded digest.
json fieldsOf(const std::string& bytes) { return json::from_cbor(bytes).at(1); }

std::string encode(const json& fields)
{
    std::string bytes;
    json::to_cbor(json { 0, fields }, bytes);
    return bytes;
}

}

TEST_CASE("remaining work travels at the end of a digest, rounded up, and is summed over the daemons")
{
    const auto copy = sent(digest("10.0.0.1", { 1280, 300, 5120 }));
    CHECK(copy.runners[0].remaining == fleet::RemainingWork { 1280, 384, 5120 });
    CHECK(copy.runners[1].remaining == fleet::RemainingWork {});
    fleet::Gossip gossip({ "10.0.0.9", "r", 1 }, {}, [] { return 0.5; });
    gossip.receive(copy, start);
    gossip.receive(sent(digest("10.0.0.2", { 128, 0, 0 })), start);
    CHECK(gossip.summarize(start).at(7).remaining == fleet::RemainingWork { 1408, 384, 5120 });
    // The work of a daemon that dies goes with its digest.
    CHECK(gossip.summarize(start + std::chrono::seconds(5)).empty());
}

// Guards the compatibility with daemons of earlier releases, which send no remaining work and ignore it.
TEST_CASE("a digest without remaining work, or with a list that does not fit its runners, says nothing of it")
{
    const auto bytes = fleet::encode(digest("10.0.0.1", { 1280, 300, 5120 }));
    auto fields = fieldsOf(bytes);
    REQUIRE(fields.size() >= 14);
    fields[13] = json { 1, 2 };
    const auto unfit = fleet::decode(encode(fields));
    REQUIRE(unfit);
    CHECK(std::get<fleet::Digest>(*unfit).runners[0].remaining == fleet::RemainingWork {});
    fields.erase(fields.begin() + 13, fields.end());
    const auto earlier = fleet::decode(encode(fields));
    REQUIRE(earlier);
    CHECK(std::get<fleet::Digest>(*earlier).runners[0].inFlight == 2);
    CHECK(std::get<fleet::Digest>(*earlier).runners[0].remaining == fleet::RemainingWork {});
    fields.push_back(json { 1u << 31, 1, 1, 0, 0, 0 });
    const auto huge = fleet::decode(encode(fields));
    REQUIRE(huge);
    CHECK(std::get<fleet::Digest>(*huge).runners[0].remaining.prefillTokens <= 128u << 13);
}

TEST_CASE("a summary carries remaining work, and a daemon subtracts its own part")
{
    fleet::Summary summary;
    summary.scope = fleet::Summary::Scope::Fleet;
    summary.ip = "10.0.0.1";
    summary.runners = { { 7, 5, 0, 0, 0, { 1280, 256, 512 } } };
    const auto decoded = std::get<fleet::Summary>(fleet::decode(fleet::encode(summary)).value());
    CHECK(decoded.runners == summary.runners);
    fleet::RemainingWork left { 1280, 256, 512 };
    left -= { 128, 512, 0 };
    CHECK(left == fleet::RemainingWork { 1152, 0, 512 });
}
