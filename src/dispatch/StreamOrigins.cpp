#include "dispatch/StreamOrigins.h"

#include "common/Hash.h"

namespace eelgrassford::dispatch {

StreamKey streamKey(std::string_view organisation, std::string_view attemptId)
{
    return hash64(attemptId, hash64(organisation));
}

void StreamOrigins::record(const StreamOrigin& origin, TimePoint now)
{
    dropExpired(now);
    auto [entry, isNew] = m_origins.try_emplace(origin.stream, Entry { origin.software, false, now });
    if (!isNew) {
        entry->second.isContradicted |= entry->second.software != origin.software;
        entry->second.recordedAt = now;
    }
    m_order.emplace_back(origin.stream, now);
}

std::optional<std::uint64_t> StreamOrigins::find(StreamKey stream, TimePoint now) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || found->second.isContradicted || isExpired(found->second, now))
        return std::nullopt;
    return found->second.software;
}

std::vector<StreamOrigin> StreamOrigins::all(TimePoint now) const
{
    std::vector<StreamOrigin> result;
    for (const auto& [stream, entry] : m_origins) {
        if (!entry.isContradicted && !isExpired(entry, now))
            result.push_back({ stream, entry.software });
    }
    return result;
}

std::vector<StreamOrigin> StreamOrigins::of(std::uint64_t software, TimePoint now) const
{
    auto result = all(now);
    std::erase_if(result, [&](const StreamOrigin& origin) { return origin.software != software; });
    return result;
}

void StreamOrigins::dropExpired(TimePoint now)
{
    while (!m_order.empty()
        && (now - m_order.front().second > m_options.lifetime || m_order.size() >= m_options.capacity)) {
        const auto [stream, recordedAt] = m_order.front();
        m_order.pop_front();
        const auto found = m_origins.find(stream);
        // A stream that was recorded again is dropped with its last record.
        if (found != m_origins.end() && found->second.recordedAt == recordedAt)
            m_origins.erase(found);
    }
}

}
