#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassford {

/// @brief An IP address and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /// @brief Reads "IP:PORT", with IPv6 addresses in brackets.
    static std::optional<Address> parse(const std::string& text);
};

}
