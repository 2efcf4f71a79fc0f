#pragma once

#include "peer/Messages.h"
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace eelgrassford::peer {

/// Largest payload in bytes that is encoded or accepted.
inline constexpr std::size_t maximumPayload = 8u << 20;

enum class CodecErrorCode {
    Malformed = 301,
    UnknownKind = 302,
    TooLarge = 303,
};

/// @brief A payload that could not be decoded.
struct CodecError {
    CodecErrorCode code;
    std::string what;
    std::string message() const { return "[peer." + std::to_string(static_cast<int>(code)) + "] " + what; }
};

/// @brief Encodes a message as a CBOR array: its kind, then its fields in order.
///
/// Fields are only ever added at the end; a decoder ignores those it does not know.
std::string encode(const Message& message);

/// @brief Decodes one message; never throws.
tl::expected<Message, CodecError> decode(std::string_view payload);

}
