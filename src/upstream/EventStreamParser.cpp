#include "upstream/EventStreamParser.h"

#include <algorithm>
#include <charconv>

namespace eelgrassford::upstream {

namespace {

    constexpr std::string_view eventTerminator = "\n\n";
    constexpr std::string_view idField = "id:";
    constexpr std::string_view endMarker = "data: [DONE]";

    bool isFieldName(std::string_view name)
    {
        return std::all_of(name.begin(), name.end(), [](char c) { return (c >= 'a' && c <= 'z') || c == '-'; });
    }

    void parseLine(std::string_view line, StreamEvent& event)
    {
        const auto name = line.substr(0, line.find(':'));
        event.isComment = event.isComment && name.empty();
        event.isMalformed = event.isMalformed || !isFieldName(name);
        if (line == endMarker)
            event.isEnd = true;
        if (!line.starts_with(idField))
            return;
        std::uint64_t offset = 0;
        auto digits = line.substr(idField.size());
        if (digits.starts_with(' '))
            digits.remove_prefix(1);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), offset);
        if (error == std::errc {} && end == digits.data() + digits.size())
            event.offset = offset;
    }

}

void EventStreamParser::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_begin);
    m_searched -= std::min(m_searched, m_begin);
    m_begin = 0;
    m_buffer += bytes;
}

std::optional<StreamEvent> EventStreamParser::next()
{
    const auto end = m_buffer.find(eventTerminator, std::max(m_begin, m_searched));
    if (end == std::string::npos) {
        // The last byte may begin a terminator.
        m_searched = m_buffer.empty() ? 0 : m_buffer.size() - 1;
        return std::nullopt;
    }
    StreamEvent event;
    event.text = std::string_view(m_buffer).substr(m_begin, end + eventTerminator.size() - m_begin);
    m_begin = end + eventTerminator.size();
    auto rest = event.text;
    while (!rest.empty()) {
        const auto newline = rest.find('\n');
        parseLine(rest.substr(0, newline), event);
        rest.remove_prefix(newline + 1);
    }
    return event;
}

}
