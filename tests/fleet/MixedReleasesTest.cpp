#include "fleet/Digest.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassford;
using nlohmann::json;

namespace {

/// Number of fields of each kind of message in commit c6f00af, which daemons of the previous release send.
constexpr std::size_t previousFields[] = { 13, 1, 3, 15, 1, 2, 3 };
/// Fields that daemons of any release that is still in use send; the others may be missing.
constexpr std::size_t oldestFields[] = { 9, 1, 3, 12, 1, 2, 3 };

fleet::Message messageOf(std::size_t kind)
{
    const std::vector<dispatch::CrashRecord> crashes { { 5, { 6 } } };
    const std::vector<fleet::RunnerStatement> statements { { 7, 2.5, std::chrono::milliseconds(30) },
        { 8, {}, std::chrono::milliseconds(40), true, true } };
    fleet::Digest digest { 1, 2, "10.0.0.1", "south", 3, { "10.0.0.2" }, { { 7, 1, 2, 3, 4 } }, crashes, true,
        "10.0.0.3", statements };
    fleet::Summary summary;
    summary.ip = "10.0.0.1";
    summary.sequence = 2;
    summary.daemons = 3;
    summary.runners = { { 7, 1, 2, 3, 1 } };
    summary.crashes = crashes;
    summary.isLeaving = true;
    summary.statements = statements;
    const fleet::Message messages[] = { digest, fleet::FreshnessRequest { 9 }, fleet::FreshnessReply { 9, 10, 11 },
        summary, fleet::StreamOriginList { { { 12, 13 } } }, fleet::StreamQuestion { 9, 12 },
        fleet::StreamAnswer { 9, 13, { { 14, 15, std::chrono::milliseconds(50) } } } };
    return messages[kind];
}

std::string toCbor(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

/// The message with @a edit applied to the array of its fields, which a summary carries as a body of its own.
std::string edited(const fleet::Message& message, const std::function<void(json&)>& edit)
{
    auto document = json::from_cbor(fleet::encode(message));
    if (message.index() != 3) {
        edit(document[1]);
        return toCbor(document);
    }
    auto body = json::from_cbor(document[1][1].get_binary());
    edit(body);
    const auto bytes = toCbor(body);
    document[1][1] = json::binary({ bytes.begin(), bytes.end() });
    // Fields may follow the body as well.
    if (body.size() > previousFields[3])
        document[1].push_back("later");
    return toCbor(document);
}

/// The message as daemons of this release encode it again, reduced to the fields of @a count.
std::string decodedAgain(const std::string& bytes, std::size_t count)
{
    const auto decoded = fleet::decode(bytes);
    REQUIRE(decoded);
    return edited(
        *decoded, [&](json& fields) { fields.erase(fields.begin() + static_cast<long>(count), fields.end()); });
}

}

// Guards against daemons of two releases that do not hear each other while they are replaced one after the other.
TEST_CASE("a message with fields of a later release decodes, and the known fields keep their values")
{
    for (std::size_t kind = 0; kind < std::variant_size_v<fleet::Message>; ++kind) {
        CAPTURE(kind);
        const auto message = messageOf(kind);
        const auto extended = edited(message, [](json& fields) {
            fields.push_back({ 1, "unknown", { { 2, nullptr } } });
            fields.push_back(json::binary({ 1, 2 }));
            fields.push_back(-1.5);
        });
        const auto count = previousFields[kind];
        CHECK(decodedAgain(extended, count) == decodedAgain(fleet::encode(message), count));
    }
}

TEST_CASE("a message of the previous release, or of an older one, decodes without the fields that it lacks")
{
    for (std::size_t kind = 0; kind < std::variant_size_v<fleet::Message>; ++kind) {
        for (auto count = oldestFields[kind]; count <= previousFields[kind]; ++count) {
            CAPTURE(kind);
            CAPTURE(count);
            const auto cut = edited(messageOf(kind), [&](json& fields) {
                REQUIRE(fields.size() >= count);
                fields.erase(fields.begin() + static_cast<long>(count), fields.end());
            });
            CHECK(decodedAgain(cut, count) == cut);
        }
    }
}

TEST_CASE("daemons of the previous release find their fields at the same places")
{
    // Recorded from commit c6f00af.
    const std::string digest = "82008d01026831302e302e302e3165736f75746803816831302e302e302e32818507010203048182058106f"
                               "56831302e302e302e33808183071909c4181e8182081828";
    const std::string summary
        = "82038200582c8ff400026831302e302e302e3160200003808507010203018182058106f5808183071909c4181e8182081828";
    const auto unhex = [](const std::string& hex) {
        std::string bytes;
        for (std::size_t i = 0; i < hex.size(); i += 2)
            bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
        return bytes;
    };
    CHECK(decodedAgain(fleet::encode(messageOf(0)), previousFields[0]) == unhex(digest));
    CHECK(decodedAgain(fleet::encode(messageOf(3)), previousFields[3]) == unhex(summary));
    CHECK(decodedAgain(unhex(digest), previousFields[0]) == unhex(digest));
    CHECK(decodedAgain(unhex(summary), previousFields[3]) == unhex(summary));
}
