#include "fleet/Digest.h"

#include <nlohmann/json.hpp>

namespace eelgrassford::fleet {

using nlohmann::json;

namespace {

    json toJson(const Digest& digest)
    {
        auto runners = json::array();
        for (const auto& state : digest.runners)
            runners.push_back(
                { state.runner, state.inFlight, state.servedTenths, state.failedTenths, state.suspendedMs });
        auto crashes = json::array();
        for (const auto& record : digest.crashes)
            crashes.push_back({ record.request, record.runners });
        return { digest.incarnation, digest.sequence, digest.ip, digest.region, digest.changeRevision, digest.members,
            runners, crashes, digest.isLeaving };
    }

    json toJson(const FreshnessRequest& request) { return json::array({ request.nonce }); }

    json toJson(const FreshnessReply& reply) { return { reply.nonce, reply.proofAgeMs, reply.changeRevision }; }

    Digest toDigest(const json& fields)
    {
        Digest digest;
        digest.incarnation = fields.at(0).get<std::uint64_t>();
        digest.sequence = fields.at(1).get<std::uint64_t>();
        digest.ip = fields.at(2).get<std::string>();
        digest.region = fields.at(3).get<std::string>();
        digest.changeRevision = fields.at(4).get<std::uint64_t>();
        digest.members = fields.at(5).get<std::vector<std::string>>();
        for (const auto& state : fields.at(6))
            digest.runners.push_back({ state.at(0).get<RunnerKey>(), state.at(1).get<std::uint32_t>(),
                state.at(2).get<std::uint32_t>(), state.at(3).get<std::uint32_t>(), state.at(4).get<std::uint32_t>() });
        for (const auto& record : fields.at(7))
            digest.crashes.push_back(
                { record.at(0).get<std::uint64_t>(), record.at(1).get<std::vector<std::uint64_t>>() });
        digest.isLeaving = fields.at(8).get<bool>();
        return digest;
    }

    FreshnessReply toReply(const json& fields)
    {
        return { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::int64_t>(),
            fields.at(2).get<std::uint64_t>() };
    }

}

std::string encode(const Message& message)
{
    const auto fields = std::visit([](const auto& content) { return toJson(content); }, message);
    std::string bytes;
    json::to_cbor(json { message.index(), fields }, bytes);
    return bytes;
}

tl::expected<Message, DigestError> decode(std::string_view bytes)
{
    try {
        const auto document = json::from_cbor(bytes);
        const auto& fields = document.at(1);
        switch (document.at(0).get<std::size_t>()) {
        case 0:
            return toDigest(fields);
        case 1:
            return FreshnessRequest { fields.at(0).get<std::uint64_t>() };
        case 2:
            return toReply(fields);
        default:
            return tl::unexpected(DigestError { "unknown kind of message" });
        }
    } catch (const json::exception& error) {
        return tl::unexpected(DigestError { error.what() });
    }
}

}
