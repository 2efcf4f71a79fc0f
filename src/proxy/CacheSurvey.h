#pragma once

#include "proxy/Codec.h"
#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace eelgrassford::proxy {

/// @brief Tells from the runners' caches which software began a stream.
///
/// Load pattern: all daemons end at once while several software versions serve, and the callers return within seconds.
/// No daemon knows where their streams began, but the runners do: the last part of a prompt belongs to one request or
/// session, and only the runner that read it has it in its cache.
class CacheSurvey {
public:
    /// @brief Records what a runner has cached.
    /// @param software see softwareOf()
    void record(std::uint64_t software, std::span<const PromptPart> cached);
    /// @brief The software that read a part of a prompt; empty if none has nearly all of its tokens, or if several
    /// have.
    /// @param part the last one of the prompt; a session that goes on has fewer tokens of it from an earlier request
    std::optional<std::uint64_t> softwareThatRead(const PromptPart& part) const;

private:
    /// Most tokens that each software has cached, by the id of the part.
    std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> m_tokens;
};

}
