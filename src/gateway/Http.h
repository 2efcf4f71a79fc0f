#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassford::gateway {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A complete request, as received.
struct HttpRequest {
    std::string method;
    /// Path and query.
    std::string target;
    Headers headers;
    std::string body;
    /// IP address of the other end of its connection; empty if that is not known.
    std::string remoteIp;

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
    /// @brief Text after the '?' of the target; empty if there is none.
    std::string_view query() const;
    /// @brief First value of a header, found by its case-insensitive name.
    std::optional<std::string_view> header(std::string_view name) const;
    /// @brief Number of headers with this name, compared case-insensitively.
    std::size_t headerCount(std::string_view name) const;
};

/// @brief A complete response.
struct HttpResponse {
    std::uint16_t status = 200;
    Headers headers;
    std::string body;
};

/// @brief Answers one request, with a complete or a streamed response. Used on the server's thread only.
class Responder {
public:
    virtual ~Responder() = default;
    /// @brief Sends a complete response.
    virtual void respond(const HttpResponse& response) = 0;
    /// @brief Begins a chunked response.
    virtual void begin(std::uint16_t status, const Headers& headers) = 0;
    /// @brief Sends a part of the body of a chunked response.
    virtual void write(std::string chunk) = 0;
    /// @brief Ends a chunked response.
    virtual void end() = 0;
    /// @brief Closes the connection at once, so that the caller sees that the response is incomplete.
    virtual void abort() = 0;
    /// @brief Sets a handler that is called at most once, when the caller is found to have disconnected. It is not
    /// called from within a function of the responder.
    virtual void onCallerDisconnected(std::function<void()> handler) = 0;
    /// @brief States the bytes of the response that the handler holds back, until the response ends.
    virtual void holdBytes(std::size_t /*bytes*/) { }
};

/// @brief Called for each request; answers through the responder, at once or later.
using Handler = std::function<void(HttpRequest request, std::shared_ptr<Responder> responder)>;

bool isEqualIgnoringCase(std::string_view left, std::string_view right);

}
