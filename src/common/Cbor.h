#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford {

/// Deepest nesting of arrays and maps in messages between daemons; the deepest message has five levels.
constexpr std::size_t maxCborDepth = 16;

/// @brief Bytes that are not an acceptable CBOR document.
struct CborError {
    std::string what;
    std::string message() const { return "[cbor.711] " + what; }
};

/// @brief Decodes a CBOR document that another host sent; never throws.
///
/// The library's decoder recurses for each level of nesting, so that a small message with many levels would overflow
/// the stack. Documents that are nested deeper than maxCborDepth, or that use items of indefinite length, which
/// daemons never send, are rejected before they reach it.
tl::expected<nlohmann::json, CborError> decodeCbor(std::string_view bytes);

}
