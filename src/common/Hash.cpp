#include "common/Hash.h"

#define XXH_INLINE_ALL
#include <array>
#include <openssl/sha.h>
#include <xxhash.h>

namespace eelgrassford {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string toHex(std::uint64_t digest)
{
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[i] = hexDigits[(digest >> (60 - 4 * i)) & 0xf];
    return text;
}

std::string contentHash(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (unsigned char byte : digest) {
        text += hexDigits[byte >> 4];
        text += hexDigits[byte & 0xf];
    }
    return text;
}

}
