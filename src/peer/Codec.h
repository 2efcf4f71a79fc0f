#pragma once

#include "peer/Messages.h"
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace eelgrassford::peer {

/// Largest payload that decode() accepts, in bytes.
inline constexpr std::size_t maximumPayloadBytes = 8u << 20;

enum class CodecErrorCode {
    Malformed = 301,
    UnknownKind = 302,
    TooLarge = 303,
};

/// @brief Describes why a payload could not be decoded.
struct CodecError {
    CodecErrorCode code;
    std::string what;
    std::string message() const { return "[peer." + std::to_string(static_cast<int>(code)) + "] " + what; }
};

/// @brief Encodes a message as a CBOR array: its kind, then its fields in order.
///
/// Protocol changes only append fields; a decoder ignores trailing fields that it does not know.
std::string encode(const Message& message);

/// @brief Decodes one message. Malformed input gives an error, never an exception.
tl::expected<Message, CodecError> decode(std::string_view payload);

}
