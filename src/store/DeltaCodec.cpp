#include "store/DeltaCodec.h"

#include "common/Cbor.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <zlib.h>

namespace eelgrassford::store {

using nlohmann::json;

namespace {

    json::binary_t toBinary(const std::string& bytes) { return json::binary_t({ bytes.begin(), bytes.end() }); }

    /// Largest delta that is accepted, before compression.
    constexpr std::size_t maxDeltaBytes = 64u << 20;

    /// Compresses with zlib at its fastest level. Documents in the store are text that shrinks to a tenth, and the
    /// link, which may be slow, is shared with callers' streams.
    std::string compress(const std::string& bytes)
    {
        auto size = compressBound(bytes.size());
        std::string result(size, '\0');
        ::compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()),
            bytes.size(), Z_BEST_SPEED);
        result.resize(size);
        return result;
    }

    /// @param size size before compression, as stated by the sender
    /// @return empty if the size is too large or does not match
    std::optional<std::string> decompress(std::string_view bytes, std::size_t size)
    {
        if (size > maxDeltaBytes)
            return std::nullopt;
        std::string result(size, '\0');
        uLongf length = size;
        const auto status = ::uncompress(reinterpret_cast<Bytef*>(result.data()), &length,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
        if (status != Z_OK || length != size)
            return std::nullopt;
        return result;
    }

    std::string toString(const json& binary)
    {
        const auto& bytes = binary.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    Item toItem(const json& fields)
    {
        return { fields.at(0).get<std::string>(), toString(fields.at(1)), fields.at(2).get<std::uint64_t>() };
    }

}

std::string encode(const Delta& delta)
{
    auto items = json::array();
    for (const auto& item : delta.items)
        items.push_back({ item.key, toBinary(item.value), item.revision });
    auto removals = json::array();
    for (const auto& removal : delta.removals)
        removals.push_back({ removal.key, removal.revision,
            std::chrono::duration_cast<std::chrono::milliseconds>(removal.grace).count() });
    auto doubted = json::array();
    for (const auto& [item, remaining] : delta.doubted)
        doubted.push_back({ item.key, toBinary(item.value), item.revision,
            std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count() });
    std::string plain;
    json::to_cbor(
        json { delta.since, delta.completeRevision, delta.isFull, items, removals, doubted, delta.hasAllRemovals },
        plain);
    std::string bytes;
    json::to_cbor(json { plain.size(), toBinary(compress(plain)) }, bytes);
    return bytes;
}

tl::expected<Delta, ProtocolError> decodeDelta(std::string_view bytes)
{
    const auto envelope = decodeCbor(bytes);
    if (!envelope)
        return tl::unexpected(ProtocolError { envelope.error().message() });
    try {
        const auto plain = decompress(toString(envelope->at(1)), envelope->at(0).get<std::size_t>());
        if (!plain)
            return tl::unexpected(ProtocolError { "the delta is too large or cannot be decompressed" });
        const auto decoded = decodeCbor(*plain);
        if (!decoded)
            return tl::unexpected(ProtocolError { decoded.error().message() });
        const auto& document = *decoded;
        Delta delta;
        delta.since = document.at(0).get<std::uint64_t>();
        delta.completeRevision = document.at(1).get<std::uint64_t>();
        delta.isFull = document.at(2).get<bool>();
        for (const auto& item : document.at(3))
            delta.items.push_back(toItem(item));
        for (const auto& removal : document.at(4))
            delta.removals.push_back({ removal.at(0).get<std::string>(), removal.at(1).get<std::uint64_t>(),
                std::chrono::milliseconds(removal.at(2).get<std::int64_t>()) });
        // Daemons of earlier releases do not send them.
        if (document.size() > 5) {
            for (const auto& doubted : document.at(5))
                delta.doubted.push_back(
                    { toItem(doubted), std::chrono::milliseconds(doubted.at(3).get<std::int64_t>()) });
        }
        delta.hasAllRemovals = document.size() > 6 && document.at(6).get<bool>();
        return delta;
    } catch (const json::exception& error) {
        return tl::unexpected(ProtocolError { error.what() });
    }
}

}
