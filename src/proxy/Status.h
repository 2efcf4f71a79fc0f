#pragma once

#include <cstdint>

/// HTTP status codes that the proxy sends or acts on.
namespace eelgrassford::proxy::status {

inline constexpr std::uint16_t ok = 200;
inline constexpr std::uint16_t badRequest = 400;
inline constexpr std::uint16_t unauthorized = 401;
inline constexpr std::uint16_t notFound = 404;
inline constexpr std::uint16_t requestTimeout = 408;
inline constexpr std::uint16_t misdirected = 421;
inline constexpr std::uint16_t tooManyRequests = 429;
inline constexpr std::uint16_t serverError = 500;
inline constexpr std::uint16_t badGateway = 502;
inline constexpr std::uint16_t unavailable = 503;
inline constexpr std::uint16_t gatewayTimeout = 504;

}
