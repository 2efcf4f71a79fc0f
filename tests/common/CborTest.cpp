#include "common/Cbor.h"

#include "peer/Codec.h"
#include "store/DeltaCodec.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace eelgrassford;
using nlohmann::json;

namespace {

std::string encode(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

/// An empty array inside @a levels arrays.
json nested(std::size_t levels)
{
    auto document = json::array();
    for (std::size_t i = 0; i < levels; ++i) {
        auto outer = json::array();
        outer.push_back(std::move(document));
        document = std::move(outer);
    }
    return document;
}

}

TEST_CASE("a document of every kind of item is decoded as it was encoded")
{
    const json document = { 1, -70000, 1u << 20, 5000000000u, "text", true, nullptr, 0.5,
        json::object({ { "a", { 1, 2 } }, { "b", {} } }), json::binary({ 0x81, 0x9f, 0xff }), std::string(300, 'x') };
    CHECK(*decodeCbor(encode(document)) == document);
}

TEST_CASE("a document that is nested too deep is rejected, wherever the levels are")
{
    CHECK(decodeCbor(encode(nested(maxCborDepth - 1))));
    CHECK_FALSE(decodeCbor(encode(nested(maxCborDepth))));
    CHECK_FALSE(decodeCbor(encode(json { 1, "text", json::object({ { "a", nested(maxCborDepth) } }) })));
    for (const char first : { '\x81', '\xa1', '\x9f', '\xbf', '\xc1' })
        CHECK_FALSE(decodeCbor(std::string(1u << 20, first)));
}

TEST_CASE("messages of other daemons that are nested without end are rejected by every decoder")
{
    const std::string bytes(1u << 20, '\x81');
    CHECK_FALSE(peer::decode(bytes));
    CHECK_FALSE(store::decodeDelta(bytes));
}

TEST_CASE("truncated and random bytes are rejected or decoded, and never crash the decoder")
{
    const auto bytes = encode({ 1, "text", { 2, { 3, json::binary({ 1, 2, 3 }) } }, json::object({ { "k", 4 } }) });
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeCbor(std::string_view(bytes).substr(0, size)));
    std::mt19937_64 random(20261204);
    for (int i = 0; i < 20000; ++i) {
        std::string text(random() % 64, '\0');
        for (auto& byte : text)
            byte = static_cast<char>(random());
        static_cast<void>(decodeCbor(text));
    }
}
