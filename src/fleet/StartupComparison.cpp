#include "fleet/StartupComparison.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace eelgrassford::fleet {

void StartupComparison::begin(TimePoint now)
{
    if (!m_begunAt)
        m_begunAt = now;
}

std::optional<std::string> StartupComparison::next(std::span<const std::string> known, std::uint64_t draw)
{
    if (!m_begunAt || m_isOver || m_pending + m_answers >= m_options.answers)
        return std::nullopt;
    std::vector<std::string> candidates;
    std::ranges::copy_if(known, std::back_inserter(candidates), [&](const auto& ip) { return !m_asked.contains(ip); });
    if (candidates.empty())
        return std::nullopt;
    ++m_pending;
    return *m_asked.insert(candidates[draw % candidates.size()]).first;
}

void StartupComparison::recordResult(bool isAnswered)
{
    --m_pending;
    m_answers += isAnswered ? 1 : 0;
}

bool StartupComparison::isOver(std::span<const std::string> known, TimePoint now)
{
    if (m_isOver || !m_begunAt)
        return m_isOver;
    // Others may become known while those that were asked are down.
    const bool hasAskedAll
        = m_pending == 0 && std::ranges::all_of(known, [&](const auto& ip) { return m_asked.contains(ip); });
    m_isOver = known.empty() || m_answers >= m_options.answers || (hasAskedAll && m_answers > 0)
        || now - *m_begunAt >= m_options.timeout;
    return m_isOver;
}

}
