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

PromptIndex::PromptIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::string_view PromptIndex::lastRunner(std::uint64_t key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? std::string_view {} : std::string_view(found->second->runner);
}

void PromptIndex::recordServed(std::uint64_t key, const std::string& runner)
{
    const auto found = m_index.find(key);
    if (found != m_index.end()) {
        found->second->runner = runner;
        m_served.splice(m_served.begin(), m_served, found->second);
        return;
    }
    if (m_served.size() >= m_capacity) {
        m_index.erase(m_served.back().key);
        m_served.pop_back();
    }
    m_served.push_front({ key, runner });
    m_index.emplace(key, m_served.begin());
}

}
