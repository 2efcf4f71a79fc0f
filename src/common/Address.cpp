#include "common/Address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace eelgrassford {

std::optional<Address> Address::parse(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    std::array<unsigned char, sizeof(in6_addr)> address {};
    const bool isAddress = ip.find('\0') == std::string::npos
        && (inet_pton(AF_INET, ip.c_str(), address.data()) == 1
            || inet_pton(AF_INET6, ip.c_str(), address.data()) == 1);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, result] = std::from_chars(text.data() + colon + 1, end, port);
    if (!isAddress || result != std::errc {} || rest != end || port == 0)
        return std::nullopt;
    return Address { ip, port };
}

bool Address::isUnicastIpv4() const
{
    in_addr address {};
    if (inet_pton(AF_INET, ip.c_str(), &address) != 1)
        return false;
    const auto value = ntohl(address.s_addr);
    return value != INADDR_ANY && value != INADDR_BROADCAST && !IN_MULTICAST(value);
}

}
