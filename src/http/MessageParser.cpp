#include "http/MessageParser.h"

#include <algorithm>
#include <http_parser.h>
#include <limits>
#include <utility>

namespace eelgrassford::http {

namespace {

    /// Bytes of target and headers.
    constexpr std::size_t defaultHeaderLimit = 65536;
    /// Result of on_headers_complete that tells http_parser that the message has no body.
    constexpr int skipBody = 1;
    /// Result of on_headers_complete that ends parsing with an error.
    constexpr int refuseMessage = -1;
    /// Length of a status line up to the byte after the status.
    constexpr std::size_t statusLineStart = 13;

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    /// Whether a text has no control characters but tabs, as field values have none (RFC 9110, 5.5).
    bool isFieldValue(std::string_view text)
    {
        constexpr char firstPrintable = ' ';
        constexpr char deleteCharacter = 0x7f;
        return std::none_of(text.begin(), text.end(),
            [](char c) { return (c >= 0 && c < firstPrintable && c != '\t') || c == deleteCharacter; });
    }

    /// Whether a status line begins as RFC 9112 (4) and RFC 9110 (15) say: version 1, a status from 100 to 599.
    bool isStatusLine(std::string_view line)
    {
        return line.size() == statusLineStart && line.starts_with("HTTP/1.") && isDigit(line[7]) && line[8] == ' '
            && line[9] >= '1' && line[9] <= '5' && isDigit(line[10]) && isDigit(line[11])
            && (line[12] == ' ' || line[12] == '\r' || line[12] == '\n');
    }

    /// Whether a text is a token (RFC 9110, 5.6.2). The parser lets spaces in names pass.
    bool isToken(std::string_view text)
    {
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        const auto isTokenCharacter = [&](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                || symbols.find(c) != std::string_view::npos;
        };
        return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
    }

}

std::optional<std::string_view> MessageHead::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (gateway::isEqualIgnoringCase(key, name))
            return value;
    }
    return std::nullopt;
}

class MessageParser::Implementation {
public:
    Implementation(Kind kind, Events events)
        : m_events(std::move(events))
        , m_isRequest(kind == Kind::Request)
    {
        http_parser_init(&m_parser, m_isRequest ? HTTP_REQUEST : HTTP_RESPONSE);
        m_parser.data = this;
    }

    tl::expected<std::size_t, ParseError> feed(std::string_view bytes)
    {
        if (bytes.empty())
            return std::size_t { 0 };
        if (!m_isRequest)
            keepStatusLine(bytes);
        const auto used = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        if (m_isTooLarge)
            return tl::unexpected(ParseError { "start line and headers are too large", true });
        if (m_isStatusMalformed)
            return tl::unexpected(ParseError { "the status line is malformed", false });
        if (m_isNameMalformed)
            return tl::unexpected(ParseError { "a header's name is no token", false });
        if (m_isValueMalformed)
            return tl::unexpected(ParseError { "a header's value holds a control character", false });
        if (m_parser.upgrade)
            return tl::unexpected(ParseError { "a change of protocol is not supported", false });
        if (error == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
            return used;
        }
        if (error != HPE_OK)
            return tl::unexpected(ParseError { http_errno_description(error), error == HPE_HEADER_OVERFLOW });
        return used;
    }

    bool finish()
    {
        if (!m_isInMessage)
            return true;
        http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
        return !m_isInMessage;
    }

    void setHeaderLimit(std::size_t bytes) { m_headerLimit = bytes; }
    void expectNoBody(bool isExpected) { m_isBodyExpected = !isExpected; }
    bool isInMessage() const { return m_isInMessage; }
    std::size_t heldBytes() const
    {
        return m_hasHead ? 0 : m_headerBytes + m_head.headers.capacity() * sizeof(gateway::Headers::value_type);
    }
    void releaseHead()
    {
        std::exchange(m_head, {});
        m_headerBytes = 0;
    }

private:
    static Implementation& self(http_parser* parser) { return *static_cast<Implementation*>(parser->data); }

    static const http_parser_settings& callbacks()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_message_begin = [](http_parser* parser) { return self(parser).messageBegin(); };
            result.on_url = [](http_parser* parser, const char* at, std::size_t size) {
                self(parser).m_head.target.append(at, size);
                return self(parser).countHeaderBytes(size);
            };
            result.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
                return self(parser).appendHeaderName({ at, size });
            };
            result.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
                return self(parser).appendHeaderValue({ at, size });
            };
            result.on_headers_complete = [](http_parser* parser) { return self(parser).headersComplete(); };
            result.on_body = [](http_parser* parser, const char* at, std::size_t size) {
                self(parser).m_events.bodyReceived({ at, size });
                return 0;
            };
            result.on_message_complete = [](http_parser* parser) { return self(parser).messageComplete(); };
            return result;
        }();
        return settings;
    }

    /// Keeps the beginning of the status line, of which the parser tells only the number.
    void keepStatusLine(std::string_view bytes)
    {
        for (const char byte : bytes) {
            if (m_statusLine.size() == statusLineStart)
                return;
            if (!m_statusLine.empty() || (byte != '\r' && byte != '\n'))
                m_statusLine += byte;
        }
    }

    int messageBegin()
    {
        m_head = {};
        m_headerBytes = 0;
        m_isInMessage = true;
        m_hasHead = false;
        m_isInHeaderValue = false;
        return 0;
    }

    int countHeaderBytes(std::size_t bytes)
    {
        m_headerBytes += bytes;
        m_isTooLarge = m_headerBytes > m_headerLimit;
        return m_isTooLarge ? -1 : 0;
    }

    int appendHeaderName(std::string_view text)
    {
        // Trailers of a chunked body are dropped.
        if (m_hasHead)
            return 0;
        if (m_isInHeaderValue || m_head.headers.empty())
            m_head.headers.emplace_back();
        m_isInHeaderValue = false;
        m_head.headers.back().first += text;
        return countHeaderBytes(text.size());
    }

    int appendHeaderValue(std::string_view text)
    {
        if (m_hasHead)
            return 0;
        m_isInHeaderValue = true;
        m_head.headers.back().second += text;
        return countHeaderBytes(text.size());
    }

    int headersComplete()
    {
        if (!m_isRequest && !isStatusLine(m_statusLine)) {
            m_isStatusMalformed = true;
            return refuseMessage;
        }
        if (!std::all_of(m_head.headers.begin(), m_head.headers.end(),
                [](const auto& header) { return isToken(header.first); })) {
            m_isNameMalformed = true;
            return refuseMessage;
        }
        if (!m_isRequest && !std::all_of(m_head.headers.begin(), m_head.headers.end(), [](const auto& header) {
                return isFieldValue(header.second);
            })) {
            m_isValueMalformed = true;
            return refuseMessage;
        }
        // Another protocol that a request offers is declined, which needs no answer (RFC 9110, 7.8).
        if (m_isRequest && m_parser.method != HTTP_CONNECT)
            m_parser.upgrade = 0;
        m_hasHead = true;
        if (m_isRequest)
            m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
        m_head.status = static_cast<std::uint16_t>(m_parser.status_code);
        m_head.isEndedByClose = !m_isRequest && m_isBodyExpected && isDelimitedByClose();
        m_head.isKeepAlive = http_should_keep_alive(&m_parser) != 0;
        m_events.headersComplete(m_head);
        return m_isRequest || m_isBodyExpected ? 0 : skipBody;
    }

    bool isDelimitedByClose() const
    {
        const auto status = m_parser.status_code;
        const bool isBodyless = status / 100 == 1 || status == 204 || status == 304;
        const bool hasLength = m_parser.content_length != std::numeric_limits<std::uint64_t>::max();
        return !isBodyless && !hasLength && (m_parser.flags & F_CHUNKED) == 0;
    }

    int messageComplete()
    {
        m_isInMessage = false;
        m_statusLine.clear();
        http_parser_pause(&m_parser, 1);
        m_events.messageComplete();
        return 0;
    }

    http_parser m_parser {};
    Events m_events;
    MessageHead m_head;
    std::size_t m_headerLimit = defaultHeaderLimit;
    std::size_t m_headerBytes = 0;
    bool m_isRequest;
    bool m_isBodyExpected = true;
    bool m_isInMessage = false;
    bool m_hasHead = false;
    bool m_isInHeaderValue = false;
    bool m_isTooLarge = false;
    bool m_isNameMalformed = false;
    bool m_isValueMalformed = false;
    bool m_isStatusMalformed = false;
    /// Beginning of a response, up to the byte after the status.
    std::string m_statusLine;
};

MessageParser::MessageParser(Kind kind, Events events)
    : m_implementation(std::make_unique<Implementation>(kind, std::move(events)))
{
}

MessageParser::~MessageParser() = default;

tl::expected<std::size_t, ParseError> MessageParser::feed(std::string_view bytes)
{
    return m_implementation->feed(bytes);
}

bool MessageParser::finish() { return m_implementation->finish(); }
void MessageParser::setHeaderLimit(std::size_t bytes) { m_implementation->setHeaderLimit(bytes); }
void MessageParser::expectNoBody(bool isExpected) { m_implementation->expectNoBody(isExpected); }
std::size_t MessageParser::heldBytes() const { return m_implementation->heldBytes(); }
void MessageParser::releaseHead() { m_implementation->releaseHead(); }
bool MessageParser::isInMessage() const { return m_implementation->isInMessage(); }

}
