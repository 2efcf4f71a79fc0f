#pragma once

#include "gateway/Http.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::http {

/// @brief Start line and headers of a message.
struct MessageHead {
    /// Method and target of a request; empty for a response.
    std::string method;
    std::string target;
    /// Status of a response; 0 for a request.
    std::uint16_t status = 0;
    gateway::Headers headers;
    /// Whether the sender allows another message on the connection.
    bool isKeepAlive = false;
    /// Whether the end of the body shows only by the end of the connection.
    bool isEndedByClose = false;

    /// @brief First value of a header, compared without case.
    std::optional<std::string_view> header(std::string_view name) const;
};

/// @brief Why bytes are no HTTP/1.1 message.
struct ParseError {
    std::string what;
    /// Headers larger than allowed, rather than malformed bytes.
    bool isTooLarge = false;
    std::string message() const { return "[http.501] " + what; }
};

/// @brief Cuts a byte stream into HTTP/1.1 messages, with the parser that RESTinio uses.
///
/// The parser stops behind each message, so that bytes of the next one are never taken for the present one.
class MessageParser {
public:
    enum class Kind { Request, Response };
    struct Events {
        std::function<void(MessageHead& head)> headersComplete;
        std::function<void(std::string_view bytes)> bodyReceived;
        std::function<void()> messageComplete;
    };

    MessageParser(Kind kind, Events events);
    ~MessageParser();
    MessageParser(const MessageParser&) = delete;
    MessageParser& operator=(const MessageParser&) = delete;

    /// @brief Parses until the end of a message or of the bytes.
    /// @return number of bytes used
    tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    /// @brief The connection ended in good order.
    /// @return whether the present message is whole by that, or none had begun
    bool finish();
    /// @brief Limits start line and headers together, in bytes.
    void setHeaderLimit(std::size_t bytes);
    /// @brief Expects a response without a body, as to a HEAD request.
    void expectNoBody(bool isExpected);
    /// @brief Whether a message has begun and is not complete.
    bool isInMessage() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
