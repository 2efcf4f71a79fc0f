#include "store/Mirror.h"

#include <algorithm>
#include <set>

namespace eelgrassford::store {

namespace {

    constexpr std::uint16_t statusOk = 200;
    /// A watch that returns this much before its time is taken to have returned at once.
    constexpr Duration watchTolerance = std::chrono::milliseconds(20);
    constexpr std::uint32_t mostDoublings = 8;

}

Mirror::Mirror(const Protocol& protocol, const Options& options, RandomSource random)
    : m_protocol(protocol)
    , m_options(options)
    , m_random(std::move(random))
    , m_retry(options.firstRetry)
{
}

std::optional<Query> Mirror::nextQuery(TimePoint now)
{
    if (!m_isReading || m_isUnderWay || now < m_nextAt)
        return std::nullopt;
    m_isUnderWay = true;
    m_sentAt = now;
    ++m_queries;
    auto responseTime = m_options.responseTime;
    if (m_failures > 0) {
        const auto doublings = std::min(m_failures - 1, mostDoublings);
        responseTime
            = std::min(m_options.firstResponseTime * (std::int64_t { 1 } << doublings), m_options.longestResponseTime);
    }
    if (m_isListing)
        return Query { Query::Kind::List, m_protocol.listTarget(m_lastListed), responseTime };
    // After a failure the store is asked for what it has now: a long wait would hide that it is back.
    m_waitTime = m_failures > 0 ? Duration::zero() : m_options.watchTime;
    return Query { Query::Kind::Watch, m_protocol.watchTarget(m_revision, m_waitTime), m_waitTime + responseTime };
}

bool Mirror::handleResponse(std::uint16_t status, std::string_view body, TimePoint now)
{
    if (!m_isUnderWay)
        return false;
    if (status == statusOk) {
        m_isUnderWay = false;
        return m_isListing ? onPage(body, now) : onChanges(body, now);
    }
    if (!m_isListing && m_protocol.isHistoryLost(status)) {
        m_isUnderWay = false;
        m_failure = "the history is gone";
        m_isListing = true;
        return false;
    }
    handleFailure("status " + std::to_string(status), now);
    return false;
}

void Mirror::handleFailure(std::string detail, TimePoint now)
{
    if (!m_isUnderWay)
        return;
    m_isUnderWay = false;
    m_failure = std::move(detail);
    ++m_failures;
    m_listed.clear();
    m_lastListed.clear();
    m_nextAt = now + fromSeconds(toSeconds(m_retry) * (0.5 + m_random()));
    m_retry = std::min(m_retry * 2, m_options.longestRetry);
}

void Mirror::restartQuery(TimePoint now)
{
    m_isUnderWay = false;
    m_listed.clear();
    m_lastListed.clear();
    m_nextAt = now;
}

bool Mirror::dropExpired(TimePoint now)
{
    bool hasChanged = false;
    for (auto lapsed = m_lapsed.begin(); lapsed != m_lapsed.end();) {
        if (now < lapsed->second) {
            ++lapsed;
            continue;
        }
        m_items.erase(lapsed->first);
        lapsed = m_lapsed.erase(lapsed);
        hasChanged = true;
    }
    return hasChanged;
}

bool Mirror::onPage(std::string_view body, TimePoint now)
{
    auto page = m_protocol.decodePage(body);
    if (!page) {
        m_isUnderWay = true;
        handleFailure(page.error().what, now);
        return false;
    }
    // Pages are no snapshot: the watch begins at the first one's revision and repeats what the others show.
    if (m_listed.empty())
        m_listRevision = page->storeRevision;
    for (auto& item : page->items) {
        m_lastListed = item.key;
        m_listed[item.key] = std::move(item);
    }
    if (page->hasMore && !m_lastListed.empty())
        return false;
    const auto sentAt = m_sentAt;
    const bool hasChanged = finishListing(now);
    succeed(sentAt, now);
    return hasChanged;
}

bool Mirror::finishListing(TimePoint now)
{
    noteOutage(now);
    bool hasChanged = !m_isComplete;
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items) {
        if (!m_listed.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        hasChanged = remove(key, m_listRevision, m_graceUntil, now) || hasChanged;
    for (const auto& [key, item] : m_listed)
        hasChanged = store(item) || hasChanged;
    m_revision = m_listRevision;
    m_listed.clear();
    m_lastListed.clear();
    m_isListing = false;
    m_isComplete = true;
    return hasChanged;
}

void Mirror::noteOutage(TimePoint now)
{
    // Silence alone is none: a copy that others keep current asks the store nothing.
    if (m_failures > 0 && m_lastCurrentAt && now - *m_lastCurrentAt > m_options.outage)
        m_graceUntil = now + m_options.lapseGrace;
}

bool Mirror::onChanges(std::string_view body, TimePoint now)
{
    const auto changes = m_protocol.decodeChanges(body);
    if (!changes) {
        m_isUnderWay = true;
        handleFailure(changes.error().what, now);
        return false;
    }
    noteOutage(now);
    bool hasChanged = false;
    for (const auto& change : changes->changes) {
        const auto& item = change.item;
        hasChanged
            = (change.isRemoved ? remove(item.key, item.revision, m_graceUntil, now) : store(item)) || hasChanged;
    }
    m_revision = std::max(m_revision, changes->storeRevision);
    // A watch that waited its whole time and found nothing proves that nothing had changed by then.
    const bool hasWaited = changes->changes.empty() && now - m_sentAt + watchTolerance >= m_waitTime;
    succeed(hasWaited ? std::min(now, m_sentAt + m_waitTime) : m_sentAt, now);
    if (!changes->changes.empty())
        m_nextAt = now + m_options.gatherTime;
    return hasChanged;
}

bool Mirror::store(const Item& item)
{
    const auto removed = m_removals.find(item.key);
    if (removed != m_removals.end()) {
        // An older word than the removal, from another copy.
        if (item.revision <= removed->second)
            return false;
        m_removals.erase(removed);
    }
    m_lapsed.erase(item.key);
    m_changeRevision = std::max(m_changeRevision, item.revision);
    auto& kept = m_items[item.key];
    // Repeated and older news change nothing.
    if (kept.revision >= item.revision)
        return false;
    kept = item;
    return true;
}

bool Mirror::remove(const std::string& key, std::uint64_t revision, TimePoint keptUntil, TimePoint now)
{
    const auto found = m_items.find(key);
    if (found != m_items.end() && found->second.revision > revision)
        return false;
    m_changeRevision = std::max(m_changeRevision, revision);
    m_removals[key] = revision;
    if (m_removals.size() > m_options.keptRemovals) {
        m_forgottenRevision = m_changeRevision;
        m_removals.clear();
    }
    if (found == m_items.end())
        return false;
    if (now < keptUntil) {
        m_lapsed.emplace(key, keptUntil);
        return false;
    }
    m_lapsed.erase(key);
    m_items.erase(found);
    return true;
}

Delta Mirror::changesSince(std::uint64_t revision, TimePoint now) const
{
    Delta delta;
    delta.since = revision;
    delta.completeRevision = m_revision;
    delta.isFull = revision == 0 || revision < m_forgottenRevision;
    for (const auto& [key, item] : m_items) {
        if (delta.isFull || item.revision > revision)
            delta.items.push_back(item);
    }
    for (const auto& [key, removedAt] : m_removals) {
        if (removedAt <= revision)
            continue;
        const auto lapsed = m_lapsed.find(key);
        const auto grace
            = lapsed == m_lapsed.end() ? Duration::zero() : std::max(lapsed->second - now, Duration::zero());
        delta.removals.push_back({ key, removedAt, grace });
    }
    return delta;
}

bool Mirror::merge(const Delta& delta, TimePoint now)
{
    // A delta that begins later than this copy ends would leave a gap.
    if (!delta.isFull && delta.since > m_revision)
        return false;
    bool hasChanged = false;
    if (delta.isFull) {
        std::set<std::string_view> present;
        for (const auto& item : delta.items)
            present.insert(item.key);
        std::vector<std::string> missing;
        for (const auto& [key, item] : m_items) {
            if (!present.contains(key))
                missing.push_back(key);
        }
        for (const auto& key : missing)
            hasChanged = remove(key, delta.completeRevision, now, now) || hasChanged;
    }
    for (const auto& item : delta.items)
        hasChanged = store(item) || hasChanged;
    for (const auto& removal : delta.removals)
        hasChanged = remove(removal.key, removal.revision, now + removal.grace, now) || hasChanged;
    m_revision = std::max(m_revision, delta.completeRevision);
    confirmCurrent(now);
    if (!m_isComplete && delta.isFull) {
        m_isComplete = true;
        m_isListing = false;
        hasChanged = true;
    }
    return hasChanged;
}

void Mirror::succeed(TimePoint provenAt, TimePoint now)
{
    m_failure.clear();
    m_failures = 0;
    m_retry = m_options.firstRetry;
    m_nextAt = now;
    m_lastCurrentAt = now;
    if (!m_provenAt || provenAt > *m_provenAt)
        m_provenAt = provenAt;
}

}
