#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::dispatch {

/// @brief The properties of a chat-completions or completions request that the router uses.
struct ChatRequest {
    std::string model;
    bool isStreaming = false;
    /// Digest of the leading messages or of the caller's id for the chat; it stays the same while the chat grows.
    std::uint64_t chat = 0;
    /// Estimated from the length of the prompt.
    std::uint32_t promptTokens = 0;
    /// Tokens of all messages before the last, which an engine that served the chat may have cached.
    std::uint32_t reusableTokens = 0;
    /// Tokens that the engine is expected to generate; no more than the request's limit.
    std::uint32_t expectedOutputTokens = 0;
};

/// @brief Why a request body cannot be routed.
struct ChatRequestError {
    /// Message for the caller.
    std::string what;
};

/// @brief Parses a request body.
/// @param body JSON text
/// @param chatId the caller's own id for the chat, empty if it gave none
/// @return the request, or an error if the body is not valid JSON or a field is missing or invalid
tl::expected<ChatRequest, ChatRequestError> parseChatRequest(std::string_view body, std::string_view chatId);

}
