#include "dispatch/ChatRequest.h"

#include "common/Hash.h"
#include "placement/LoadEstimator.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassford::dispatch {

namespace {

    using Json = nlohmann::json;

    /// Estimated length of a token, since the router does not tokenize.
    constexpr std::size_t bytesPerToken = 4;
    constexpr auto defaultOutputTokens = static_cast<std::uint32_t>(placement::defaultOutputTokens);
    constexpr std::uint32_t maxOutputTokens = 1u << 20;
    /// Length of the start of a completion's prompt, in bytes, that identifies its chat.
    constexpr std::size_t leadingPromptBytes = 1024;

    std::uint32_t estimateTokens(std::size_t bytes)
    {
        return static_cast<std::uint32_t>(
            std::min<std::size_t>((bytes + bytesPerToken - 1) / bytesPerToken, 0xffffffff));
    }

    /// Parses the messages of a chat. Its digest covers everything up to and including the first user message.
    bool parseMessages(const Json& messages, ChatRequest& request)
    {
        if (!messages.is_array() || messages.empty())
            return false;
        std::size_t bytes = 0;
        std::size_t lastBytes = 0;
        bool isLeading = true;
        for (const auto& message : messages) {
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
                return false;
            const auto text = message.dump();
            if (isLeading)
                request.chat = mix64(request.chat, hash64(text));
            isLeading = isLeading && message["role"] != "user";
            bytes += text.size();
            lastBytes = text.size();
        }
        request.promptTokens = estimateTokens(bytes);
        request.reusableTokens = messages.size() > 2 ? estimateTokens(bytes - lastBytes) : 0;
        return true;
    }

    bool parsePrompt(const Json& prompt, ChatRequest& request)
    {
        if (!prompt.is_string())
            return false;
        const auto& text = prompt.get_ref<const std::string&>();
        request.chat = hash64(std::string_view(text).substr(0, leadingPromptBytes));
        request.promptTokens = estimateTokens(text.size());
        return true;
    }

}

tl::expected<ChatRequest, ChatRequestError> parseChatRequest(std::string_view body, std::string_view chatId)
{
    auto makeError = [](std::string what) { return tl::make_unexpected(ChatRequestError { std::move(what) }); };
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return makeError("the body is not valid JSON in UTF-8");
    if (!json.is_object())
        return makeError("the body must be a JSON object");
    ChatRequest request;
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return makeError("'model' must be a string");
    request.model = model->get<std::string>();
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean())
        return makeError("'stream' must be true or false");
    request.isStreaming = stream != json.end() && stream->get<bool>();
    request.expectedOutputTokens = defaultOutputTokens;
    const auto limit = json.find("max_tokens");
    if (limit != json.end()) {
        if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() == 0
            || limit->get<std::uint64_t>() > maxOutputTokens)
            return makeError("'max_tokens' must be a whole number from 1 to 1048576");
        request.expectedOutputTokens = std::min(limit->get<std::uint32_t>(), defaultOutputTokens);
    }
    const bool isChat = json.contains("messages");
    const bool isValid = isChat ? parseMessages(json["messages"], request)
                                : json.contains("prompt") && parsePrompt(json["prompt"], request);
    if (!isValid)
        return makeError("either 'messages' (a list of objects with 'role') or 'prompt' (a string) is needed");
    if (!chatId.empty())
        request.chat = hash64(chatId);
    return request;
}

}
