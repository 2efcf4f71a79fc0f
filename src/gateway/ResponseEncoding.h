#pragma once

#include "gateway/Http.h"

namespace eelgrassford::gateway::detail {

/// @brief Whether responses with a status have neither a body nor a framing header (RFC 9110, 6.4.1).
bool isBodyless(std::uint16_t status);
/// @brief Start line and headers of a response.
/// @param framingHeader header line that tells how the body ends; empty for a response without a body
/// @param isClosing whether the connection closes after the response
std::string encodeHead(std::uint16_t status, const Headers& headers, std::string_view framingHeader, bool isClosing);
/// @brief A complete response; without its body if it answers a HEAD request.
std::string encodeWhole(const HttpResponse& response, bool isHead, bool isClosing);
/// @brief Start line and headers of a complete response with a body.
std::string encodeWholeHead(const HttpResponse& response, bool isClosing);
/// @brief The line before a chunk of a body.
std::string encodeChunkHeader(std::size_t size);

}
