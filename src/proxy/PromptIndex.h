#pragma once

#include "common/Time.h"
#include "proxy/Codec.h"
#include <list>
#include <span>
#include <string>
#include <unordered_map>

namespace eelgrassford::proxy {

/// @brief The parts of a prompt by which a request is placed.
struct PromptAffinity {
    /// Hash of the parts that requests of one subject share: all but the last; 0 without a prompt.
    std::uint64_t prefixHash = 0;
    /// Hash of all parts.
    std::uint64_t promptHash = 0;
    /// Tokens of the shared parts, and of all.
    std::uint32_t prefixTokens = 0;
    std::uint32_t promptTokens = 0;
};

/// @brief Hashes the parts of a prompt.
PromptAffinity affinityOf(std::string_view model, std::span<const PromptPart> prompt);

/// @brief Remembers which runner served a prompt last, least recently used out first.
///
/// The last part belongs to one request or session. A session that comes back meets the runner that served it, while
/// requests that share only earlier parts are placed by those, which needs no memory.
class PromptIndex {
public:
    explicit PromptIndex(std::size_t capacity);

    /// @brief The runner that served a prompt last; empty if none is known.
    std::string_view lastRunner(std::uint64_t key) const;
    void recordServed(std::uint64_t key, const std::string& runner);
    std::size_t size() const { return m_served.size(); }

private:
    struct Served {
        std::uint64_t key = 0;
        std::string runner;
    };

    std::size_t m_capacity;
    std::list<Served> m_served;
    std::unordered_map<std::uint64_t, std::list<Served>::iterator> m_index;
};

}
