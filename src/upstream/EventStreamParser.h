#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassford::upstream {

/// @brief One server-sent event.
struct StreamEvent {
    /// Text of the event as it is forwarded to the caller, including the blank line that ends it.
    std::string_view text;
    /// Value of the `id:` field, if present: the offset of the event in the stream.
    std::optional<std::uint64_t> offset;
    /// The event marks the end of the stream: `data: [DONE]`.
    bool isEnd = false;
    /// A line is no field of an event: its name is not written in lower-case letters.
    bool isMalformed = false;
    /// The event has no field, only comments.
    bool isComment = true;
};

/// Largest event in bytes. Events hold some tokens of text; bytes without the end of an event are no stream.
constexpr std::size_t maxEventBytes = 256u << 10;

/// @brief Splits a byte stream into server-sent events.
class EventStreamParser {
public:
    /// @brief Appends received bytes; invalidates the views of earlier events.
    void feed(std::string_view bytes);
    /// @brief Takes the next complete event, if there is one. Its views are valid until the next call to feed().
    std::optional<StreamEvent> next();
    /// @brief Whether bytes of an incomplete event are left. Blank lines alone are none.
    bool isInEvent() const { return m_buffer.find_first_not_of('\n', m_begin) != std::string::npos; }
    /// @brief Number of bytes that next() has not returned yet, such as those of an incomplete event.
    std::size_t bufferedBytes() const { return m_buffer.size() - m_begin; }
    /// @brief Whether the event that is incomplete after next() returned nothing is larger than any event may be.
    bool isTooLarge() const { return bufferedBytes() > maxEventBytes; }

private:
    std::string m_buffer;
    std::size_t m_begin = 0;
    /// Position before which the incomplete event has no end.
    std::size_t m_searched = 0;
};

}
