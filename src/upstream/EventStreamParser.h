#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassford::upstream {

/// @brief One server-sent event.
struct StreamEvent {
    /// The event with its closing blank line, as it goes to the caller.
    std::string_view text;
    /// Its `id:` field, the offset in the stream, if it has one.
    std::optional<std::uint64_t> offset;
    /// Whether it is the end mark, `data: [DONE]`.
    bool isEnd = false;
};

/// @brief Cuts a byte stream into whole server-sent events.
class EventStreamParser {
public:
    /// @brief Adds received bytes.
    void feed(std::string_view bytes);
    /// @brief The next whole event; its views hold until the next call to feed().
    std::optional<StreamEvent> next();
    /// @brief Bytes of an event that is not whole yet.
    std::size_t bufferedBytes() const { return m_buffer.size() - m_begin; }

private:
    std::string m_buffer;
    std::size_t m_begin = 0;
};

}
