#include "proxy/CacheSurvey.h"

#include <algorithm>

namespace eelgrassford::proxy {

namespace {

    /// Share of a part's tokens from which it counts as read. Runners drop some at the end of a request that was broken
    /// off, and a session that goes on adds more.
    constexpr double minReadShare = 0.95;

}

void CacheSurvey::record(std::uint64_t software, std::span<const PromptPart> cached)
{
    for (const auto& part : cached) {
        auto& tokens = m_tokens[part.id][software];
        tokens = std::max(tokens, part.tokens);
    }
}

std::optional<std::uint64_t> CacheSurvey::softwareThatRead(const PromptPart& part) const
{
    const auto found = m_tokens.find(part.id);
    if (found == m_tokens.end())
        return std::nullopt;
    std::optional<std::uint64_t> result;
    for (const auto& [software, tokens] : found->second) {
        if (tokens < minReadShare * part.tokens)
            continue;
        if (result)
            return std::nullopt;
        result = software;
    }
    return result;
}

}
