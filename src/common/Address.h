#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassford {

/// @brief An IP address and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /// @brief Parses "IP:PORT", with IPv6 addresses in brackets.
    /// @return nothing if the text is malformed or the port is 0
    static std::optional<Address> parse(const std::string& text);
    /// @brief Whether the address is IPv4 and names a single host: neither unspecified, multicast nor broadcast.
    bool isUnicastIpv4() const;
};

}
