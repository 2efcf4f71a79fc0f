#pragma once

#include "common/Time.h"
#include "proxy/Codec.h"
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Hashes and sizes of a prompt, by which a request is placed near its cached parts.
struct PromptAffinity {
    /// Hash of the prefix that the prompt shares with other requests: all parts but the last, or the only part; 0
    /// without a prompt.
    std::uint64_t prefixHash = 0;
    /// Hash of all parts; 0 without a prompt.
    std::uint64_t promptHash = 0;
    /// Tokens of the shared prefix.
    std::uint32_t prefixTokens = 0;
    /// Tokens of all parts.
    std::uint32_t promptTokens = 0;
};

/// @brief Computes the affinity of a prompt; the model is part of both hashes.
PromptAffinity affinityOf(std::string_view model, std::span<const PromptPart> prompt);

/// @brief Digests of the parts that other requests may share, in order: all but the last. Equal on every daemon.
std::vector<std::uint64_t> sharedPartDigests(std::string_view model, std::span<const PromptPart> prompt);

/// @brief An LRU map from the hash of a prompt to the runner that served it last.
///
/// The last part of a prompt belongs to a single request or session. The index lets a returning session go to the
/// runner that served it before. Requests that share only a prefix are placed by the hash of that prefix and need no
/// entry.
class PromptIndex {
public:
    /// @param capacity largest number of prompts
    explicit PromptIndex(std::size_t capacity);

    /// @brief The runner that served a prompt last; empty if none is known.
    /// @param promptHash see PromptAffinity::promptHash
    std::string_view lastRunner(std::uint64_t promptHash) const;
    /// @brief Stores the runner that served a prompt; evicts the least recently stored prompt if the index is full.
    void recordServed(std::uint64_t promptHash, const std::string& runner);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::uint64_t promptHash = 0;
        std::string runner;
    };

    std::size_t m_capacity;
    /// Most recently served first.
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byHash;
};

}
