#pragma once

#include "store/Mirror.h"

namespace eelgrassford::store {

/// @brief Encodes a delta for another daemon: CBOR, compressed within a CBOR envelope that states its size.
std::string encode(const Delta& delta);

/// @brief Decodes a delta; never throws.
tl::expected<Delta, ProtocolError> decodeDelta(std::string_view bytes);

}
