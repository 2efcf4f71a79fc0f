#include "common/Cbor.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace eelgrassford {

namespace {

    /// Major types of CBOR (RFC 8949, 3.1), in the upper three bits of an item's first byte.
    enum class MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

    /// First bytes of an item: its type and its argument, which is a value, a length or a number of elements.
    struct ItemHead {
        MajorType type = MajorType::Unsigned;
        std::uint64_t argument = 0;
    };

    /// Reads the head of the next item and removes it from @a rest; nothing if it is truncated or of indefinite length.
    std::optional<ItemHead> takeHead(std::string_view& rest)
    {
        constexpr unsigned typeShift = 5;
        constexpr std::uint8_t argumentMask = 0x1f;
        constexpr std::uint8_t firstSizedArgument = 24;
        constexpr std::uint8_t lastSizedArgument = 27;
        if (rest.empty())
            return std::nullopt;
        const auto first = static_cast<std::uint8_t>(rest.front());
        rest.remove_prefix(1);
        ItemHead head { static_cast<MajorType>(first >> typeShift), static_cast<std::uint8_t>(first & argumentMask) };
        if (head.argument < firstSizedArgument)
            return head;
        if (head.argument > lastSizedArgument)
            return std::nullopt;
        const auto size = std::size_t { 1 } << (head.argument - firstSizedArgument);
        if (rest.size() < size)
            return std::nullopt;
        head.argument = 0;
        for (std::size_t i = 0; i < size; ++i)
            head.argument = head.argument << 8 | static_cast<std::uint8_t>(rest[i]);
        rest.remove_prefix(size);
        return head;
    }

    /// Whether @a bytes begin with one item that is nested no deeper than maxCborDepth.
    bool isNestingBounded(std::string_view bytes)
    {
        // Items that are still expected on each open level; the document itself is the only item of the first.
        std::array<std::uint64_t, maxCborDepth + 1> expected {};
        std::size_t depth = 0;
        expected[0] = 1;
        while (true) {
            while (expected[depth] == 0) {
                if (depth == 0)
                    return true;
                --depth;
            }
            const auto head = takeHead(bytes);
            if (!head)
                return false;
            if (head->type == MajorType::Tag)
                continue;
            --expected[depth];
            if (head->type == MajorType::Bytes || head->type == MajorType::Text) {
                if (head->argument > bytes.size())
                    return false;
                bytes.remove_prefix(head->argument);
            } else if (head->type == MajorType::Array || head->type == MajorType::Map) {
                if (++depth > maxCborDepth || head->argument > bytes.size())
                    return false;
                expected[depth] = head->type == MajorType::Map ? 2 * head->argument : head->argument;
            }
        }
    }

}

tl::expected<nlohmann::json, CborError> decodeCbor(std::string_view bytes)
{
    if (!isNestingBounded(bytes))
        return tl::unexpected(CborError { "truncated, nested too deep or of indefinite length" });
    try {
        return nlohmann::json::from_cbor(bytes);
    } catch (const nlohmann::json::exception& error) {
        return tl::unexpected(CborError { error.what() });
    }
}

}
