#include "fleet/MissedChanges.h"

namespace eelgrassford::fleet {

namespace {

    /// Most changes that are kept apart. Of further ones only the newest is kept, as if it came with the last one.
    constexpr std::size_t maxChanges = 64;

}

MissedChanges::MissedChanges(const Options& options)
    : m_options(options)
{
}

MissedChanges::MissedChanges()
    : MissedChanges(Options {})
{
}

void MissedChanges::recordPeer(std::uint64_t changeRevision, std::uint64_t ownRevision, TimePoint now)
{
    recordOwn(ownRevision);
    if (changeRevision <= ownRevision || (!m_changes.empty() && changeRevision <= m_changes.back().revision))
        return;
    if (m_changes.size() < maxChanges)
        m_changes.push_back({ changeRevision, now });
    else
        m_changes.back().revision = changeRevision;
}

void MissedChanges::recordOwn(std::uint64_t ownRevision)
{
    while (!m_changes.empty() && m_changes.front().revision <= ownRevision)
        m_changes.pop_front();
}

std::optional<TimePoint> MissedChanges::behindSince() const
{
    if (m_changes.empty())
        return std::nullopt;
    return m_changes.front().heardAt;
}

bool MissedChanges::shouldFetch(bool isReader, TimePoint now) const
{
    // A reader's own path to the store may fail while other daemons read it.
    return !m_changes.empty() && (!isReader || now - m_changes.front().heardAt >= m_options.readerFetchDelay);
}

bool MissedChanges::needsCopy(TimePoint now) const
{
    return !m_changes.empty() && now - m_changes.front().heardAt >= m_options.copyDelay;
}

bool MissedChanges::isOverdue(TimePoint now) const
{
    return !m_changes.empty() && now - m_changes.front().heardAt > m_options.maxTimeBehind;
}

}
