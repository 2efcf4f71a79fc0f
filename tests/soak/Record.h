#pragma once

#include "common/Time.h"
#include <cstdint>
#include <string>

namespace eelgrassford::soak {

/// @brief Kind of the route that serves a request: non-idempotent, idempotent or streaming.
enum class RequestKind { Booking, Lookup, Stream };

/// @brief Outcome of one request as seen by its caller.
struct Record {
    /// The X-Attempt-Id of the request.
    std::string id;
    RequestKind kind = RequestKind::Lookup;
    /// Index of the daemon that the request was sent to.
    std::size_t daemon = 0;
    /// API key of the request.
    std::string key;
    TimePoint sentAt {};
    TimePoint endedAt {};
    /// Whether the request continues a stream that broke off.
    bool isContinuation = false;
    /// Whether the caller got an event of the stream from it.
    bool hasEvents = false;
    /// HTTP status; 0 without a complete response.
    std::uint16_t status = 0;
    /// Difference from the response that the runner gives to this request; empty if there is none.
    std::string responseError;
    /// Whether the connection ended before a response head arrived.
    bool isClosedWithoutResponse = false;
};

}
