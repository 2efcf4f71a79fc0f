#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassford {

/// @brief Hashes bytes with XXH3 (64 bits). Equal on every daemon for equal input.
/// @param bytes the input
/// @param seed selects one of a family of independent hash functions
/// @complexity linear in the size of @a bytes
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// @brief Hashes two 64-bit words into one (the finaliser of SplitMix64 over their combination).
/// @complexity constant
constexpr std::uint64_t mix64(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t word = left + 0x9e3779b97f4a7c15ULL * (right + 1);
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
    return word ^ (word >> 31);
}

/// @brief Maps a hash to a number in the open interval (0, 1).
constexpr double toUnitInterval(std::uint64_t hash) { return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53; }

/// @brief Writes a 64-bit digest as sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t digest);

/// @brief SHA-256 of @a bytes in lower-case hexadecimal; identifies content.
std::string contentHash(std::string_view bytes);

}
