#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::dispatch {

/// @brief What the router reads of a chat-completions or completions request.
struct ChatRequest {
    std::string model;
    bool isStreaming = false;
    /// Digest of the leading messages; it stays the same while the chat grows.
    std::uint64_t chat = 0;
    std::uint32_t promptTokens = 0;
    /// Tokens of all messages before the last, which an engine that served the chat may hold.
    std::uint32_t reusableTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
};

/// @brief A request body that cannot be routed.
struct ChatRequestError {
    std::string what;
};

/// @brief Reads a request body.
/// @param body JSON text
/// @param chatId the caller's own name for the chat, empty if it gave none
tl::expected<ChatRequest, ChatRequestError> parseChatRequest(std::string_view body, std::string_view chatId);

}
