#include "proxy/PromptIndex.h"

#include "common/Hash.h"

namespace eelgrassford::proxy {

PromptAffinity affinityOf(std::string_view model, std::span<const PromptPart> prompt)
{
    PromptAffinity result;
    auto hash = hash64(model);
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        hash = mix64(hash, prompt[i].id);
        result.promptTokens += prompt[i].tokens;
        if (i == 0 || i + 1 < prompt.size()) {
            result.prefixHash = hash;
            result.prefixTokens = result.promptTokens;
        }
    }
    result.promptHash = prompt.empty() ? 0 : hash;
    return result;
}

std::vector<std::uint64_t> sharedPartDigests(std::string_view model, std::span<const PromptPart> prompt)
{
    std::vector<std::uint64_t> result;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        result.push_back(mix64(hash64(model), prompt[i].id));
    return result;
}

PromptIndex::PromptIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::string_view PromptIndex::lastRunner(std::uint64_t promptHash) const
{
    const auto found = m_byHash.find(promptHash);
    return found == m_byHash.end() ? std::string_view {} : std::string_view(found->second->runner);
}

void PromptIndex::recordServed(std::uint64_t promptHash, const std::string& runner)
{
    const auto found = m_byHash.find(promptHash);
    if (found != m_byHash.end()) {
        found->second->runner = runner;
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    if (m_entries.size() >= m_capacity) {
        m_byHash.erase(m_entries.back().promptHash);
        m_entries.pop_back();
    }
    m_entries.push_front({ promptHash, runner });
    m_byHash.emplace(promptHash, m_entries.begin());
}

}
