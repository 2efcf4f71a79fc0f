#include "gateway/ResponseEncoding.h"

#include "gateway/Problem.h"
#include <array>
#include <cstdio>

namespace eelgrassford::gateway::detail {

bool isBodyless(std::uint16_t status)
{
    constexpr std::uint16_t firstFinal = 200;
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    return status < firstFinal || status == noContent || status == notModified;
}

std::string encodeHead(std::uint16_t status, const Headers& headers, std::string_view framingHeader, bool isClosing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += reasonPhrase(status);
    text += "\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append(framingHeader);
    if (isClosing)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

std::string encodeWhole(const HttpResponse& response, bool isHead, bool isClosing)
{
    if (isBodyless(response.status))
        return encodeHead(response.status, response.headers, "", isClosing);
    auto text = encodeWholeHead(response, isClosing);
    if (!isHead)
        text += response.body;
    return text;
}

std::string encodeWholeHead(const HttpResponse& response, bool isClosing)
{
    const auto length = "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    return encodeHead(response.status, response.headers, length, isClosing);
}

std::string encodeChunkHeader(std::size_t size)
{
    std::array<char, 24> text {};
    const auto length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return { text.data(), static_cast<std::size_t>(length) };
}

}
