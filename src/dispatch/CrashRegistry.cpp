#include "dispatch/CrashRegistry.h"

#include <algorithm>

namespace eelgrassford::dispatch {

CrashRegistry::CrashRegistry(const Options& options)
    : m_options(options)
{
}

CrashRegistry::CrashRegistry()
    : CrashRegistry(Options {})
{
}

void CrashRegistry::recordCrash(RequestDigest request, std::uint64_t runner, TimePoint now)
{
    auto& record = m_records[request];
    if (record.runners.insert(runner).second)
        record.changedAt = now;
}

void CrashRegistry::recordServed(RequestDigest request)
{
    // A quarantined request is refused by every daemon. A late answer to an earlier attempt must not lift the
    // quarantine on this daemon only.
    const auto found = m_records.find(request);
    if (found != m_records.end() && found->second.runners.size() < m_options.quarantineThreshold)
        m_records.erase(found);
}

void CrashRegistry::merge(const CrashRecord& record, TimePoint now)
{
    for (const auto runner : record.runners)
        recordCrash(record.request, runner, now);
}

bool CrashRegistry::isQuarantined(RequestDigest request) const
{
    const auto found = m_records.find(request);
    return found != m_records.end() && found->second.runners.size() >= m_options.quarantineThreshold;
}

std::vector<CrashRecord> CrashRegistry::records() const
{
    std::vector<std::pair<TimePoint, CrashRecord>> newest;
    for (const auto& [request, record] : m_records)
        newest.emplace_back(
            record.changedAt, CrashRecord { request, { record.runners.begin(), record.runners.end() } });
    const auto count = std::min(newest.size(), m_options.maxSharedRecords);
    std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(count), newest.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<CrashRecord> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(std::move(newest[i].second));
    return result;
}

void CrashRegistry::tick(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return now - entry.second.changedAt > m_options.retention; });
}

}
