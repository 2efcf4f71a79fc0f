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
    /// Whether the body extends to the end of the connection, without a length or chunked encoding.
    bool isEndedByClose = false;

    /// @brief First value of a header, found by its case-insensitive name.
    std::optional<std::string_view> header(std::string_view name) const;
};

/// @brief Why bytes could not be parsed as an HTTP/1.1 message.
struct ParseError {
    std::string what;
    /// Whether start line and headers are over the limit, rather than malformed.
    bool isTooLarge = false;
    std::string message() const { return "[http.501] " + what; }
};

/// @brief Splits a byte stream into HTTP/1.1 messages, with the parser that RESTinio uses.
///
/// The parser stops after each message, so that bytes of the next one are never taken for part of it.
class MessageParser {
public:
    enum class Kind { Request, Response };
    /// @brief Callbacks, called from within feed() and finish().
    struct Events {
        std::function<void(MessageHead& head)> headersComplete;
        std::function<void(std::string_view bytes)> bodyReceived;
        std::function<void()> messageComplete;
    };

    MessageParser(Kind kind, Events events);
    ~MessageParser();
    MessageParser(const MessageParser&) = delete;
    MessageParser& operator=(const MessageParser&) = delete;

    /// @brief Parses up to the end of a message or of the bytes, whichever comes first.
    /// @return number of bytes consumed
    tl::expected<std::size_t, ParseError> feed(std::string_view bytes);
    /// @brief Reports that the peer closed the connection in an orderly way.
    /// @return whether this completes the current message, or no message had begun
    bool finish();
    /// @brief Limits start line and headers together, in bytes.
    void setHeaderLimit(std::size_t bytes);
    /// @brief Sets whether the next response has no body, as after a HEAD request.
    void expectNoBody(bool isExpected);
    /// @brief Memory of start line and headers that are not complete.
    std::size_t heldBytes() const;
    /// @brief Frees start line and headers; no more bytes may be fed.
    void releaseHead();
    /// @brief Whether a message has begun and is not complete.
    bool isInMessage() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
