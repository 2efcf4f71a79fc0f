#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace eelgrassford {

/// @brief Appends to a buffer whose capacity grows by a quarter at a time.
///
/// std::string doubles its capacity, also in reserve(), which would hold twice the bytes that arrived.
/// @param expected size that the buffer is expected to reach; 0 if it is not known. It only limits the last step, since
/// a sender may announce more than it sends.
inline void appendSteadily(std::string& buffer, std::string_view bytes, std::size_t expected = 0)
{
    constexpr std::size_t firstStep = 4096;
    const auto needed = buffer.size() + bytes.size();
    if (needed > buffer.capacity()) {
        auto capacity = std::max(needed, buffer.capacity() + buffer.capacity() / 4 + firstStep);
        if (expected >= needed)
            capacity = std::min(capacity, expected);
        std::string grown;
        grown.reserve(capacity);
        grown.append(buffer);
        buffer.swap(grown);
    }
    buffer.append(bytes);
}

/// @brief Frees the memory of a buffer.
inline void release(std::string& buffer) { std::string().swap(buffer); }

/// @brief Removes bytes from the front, and frees memory that they leave unused.
inline void removeFront(std::string& buffer, std::size_t count)
{
    constexpr std::size_t keptCapacity = 16384;
    if (count >= buffer.size())
        release(buffer);
    else if (buffer.capacity() > keptCapacity && buffer.size() - count < buffer.capacity() / 2)
        buffer = std::string(std::string_view(buffer).substr(count));
    else
        buffer.erase(0, count);
}

}
