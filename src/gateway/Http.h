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

/// @brief A whole request as the server read it.
struct HttpRequest {
    std::string method;
    /// Path and query.
    std::string target;
    Headers headers;
    std::string body;

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
    std::string_view query() const;
    /// @brief First value of a header, compared without case.
    std::optional<std::string_view> header(std::string_view name) const;
    std::size_t headerCount(std::string_view name) const;
};

/// @brief A whole response.
struct HttpResponse {
    std::uint16_t status = 200;
    Headers headers;
    std::string body;
};

/// @brief Answers one request, either whole or as a stream. Used on the server's thread only.
class Responder {
public:
    virtual ~Responder() = default;
    /// @brief Sends a whole response.
    virtual void respond(const HttpResponse& response) = 0;
    /// @brief Begins a chunked response.
    virtual void begin(std::uint16_t status, const Headers& headers) = 0;
    virtual void write(std::string chunk) = 0;
    /// @brief Ends a chunked response.
    virtual void end() = 0;
    /// @brief Breaks the connection, so that the caller sees that the answer is not whole.
    virtual void abort() = 0;
    /// @brief Calls back once if the caller is found to have gone away.
    virtual void onCallerDisconnected(std::function<void()> handler) = 0;
};

using Handler = std::function<void(HttpRequest request, std::shared_ptr<Responder> responder)>;

bool isEqualIgnoringCase(std::string_view left, std::string_view right);

}
