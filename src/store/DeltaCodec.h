#pragma once

#include "store/Mirror.h"

namespace eelgrassford::store {

/// @brief Encodes a delta as CBOR, for another daemon.
std::string encode(const Delta& delta);

/// @brief Decodes a delta; never throws.
tl::expected<Delta, ProtocolError> decodeDelta(std::string_view bytes);

}
