#pragma once

#include "common/Time.h"
#include <cstdint>
#include <string>

namespace eelgrassford::soak {

enum class Kind { Booking, Lookup, Stream };

/// @brief One request as its caller saw it.
struct Record {
    std::string id;
    Kind kind = Kind::Lookup;
    std::size_t daemon = 0;
    std::string key;
    TimePoint sentAt {};
    TimePoint endedAt {};
    /// 0 if no complete answer came.
    std::uint16_t status = 0;
    /// Why a success is not the runner's whole own answer; empty if it is.
    std::string flaw;
    /// Whether the daemon closed the connection without a byte of an answer.
    bool isCut = false;
};

}
