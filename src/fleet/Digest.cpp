#include "fleet/Digest.h"

#include <nlohmann/json.hpp>

namespace eelgrassford::fleet {

using nlohmann::json;

std::string encode(const Digest& digest)
{
    auto runners = json::array();
    for (const auto& state : digest.runners)
        runners.push_back({ state.runner, state.underWay, state.servedTenths, state.failedTenths, state.suspendedMs });
    auto crashes = json::array();
    for (const auto& report : digest.crashes)
        crashes.push_back({ report.request, report.runners });
    auto members = json::array();
    for (const auto& member : digest.members)
        members.push_back({ member.ip, member.incarnation, member.sequence });
    const json document = { digest.host, digest.incarnation, digest.sequence, digest.ip, digest.region,
        digest.configurationRevision, digest.proofAgeMs, members, runners, crashes, digest.isLeaving };
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

tl::expected<Digest, DigestError> decodeDigest(std::string_view bytes)
{
    try {
        const auto document = json::from_cbor(bytes);
        Digest digest;
        digest.host = document.at(0).get<std::string>();
        digest.incarnation = document.at(1).get<std::uint64_t>();
        digest.sequence = document.at(2).get<std::uint64_t>();
        digest.ip = document.at(3).get<std::string>();
        digest.region = document.at(4).get<std::string>();
        digest.configurationRevision = document.at(5).get<std::uint64_t>();
        digest.proofAgeMs = document.at(6).get<std::int64_t>();
        for (const auto& member : document.at(7))
            digest.members.push_back({ member.at(0).get<std::string>(), member.at(1).get<std::uint64_t>(),
                member.at(2).get<std::uint64_t>() });
        for (const auto& state : document.at(8))
            digest.runners.push_back({ state.at(0).get<std::uint64_t>(), state.at(1).get<std::uint32_t>(),
                state.at(2).get<std::uint32_t>(), state.at(3).get<std::uint32_t>(), state.at(4).get<std::uint32_t>() });
        for (const auto& report : document.at(9))
            digest.crashes.push_back(
                { report.at(0).get<std::uint64_t>(), report.at(1).get<std::vector<std::uint64_t>>() });
        digest.isLeaving = document.at(10).get<bool>();
        return digest;
    } catch (const json::exception& error) {
        return tl::unexpected(DigestError { error.what() });
    }
}

}
