#include "store/Mirror.h"

#include <algorithm>

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

std::optional<Query> Mirror::next(TimePoint now)
{
    if (m_isUnderWay || now < m_nextAt)
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

bool Mirror::respond(std::uint16_t status, std::string_view body, TimePoint now)
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
    fail("status " + std::to_string(status), now);
    return false;
}

void Mirror::fail(std::string detail, TimePoint now)
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

void Mirror::restart(TimePoint now)
{
    m_isUnderWay = false;
    m_listed.clear();
    m_lastListed.clear();
    m_nextAt = now;
}

bool Mirror::tick(TimePoint now)
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
        fail(page.error().what, now);
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
    const bool wasOutage = m_lastSuccessAt && now - *m_lastSuccessAt > m_options.outage;
    if (wasOutage)
        m_graceUntil = now + m_options.lapseGrace;
    bool hasChanged = !m_isComplete;
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items) {
        if (!m_listed.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        hasChanged = remove(key, now) || hasChanged;
    for (const auto& [key, item] : m_listed)
        hasChanged = store(item) || hasChanged;
    m_revision = m_listRevision;
    m_listed.clear();
    m_lastListed.clear();
    m_isListing = false;
    m_isComplete = true;
    return hasChanged;
}

bool Mirror::onChanges(std::string_view body, TimePoint now)
{
    const auto changes = m_protocol.decodeChanges(body);
    if (!changes) {
        m_isUnderWay = true;
        fail(changes.error().what, now);
        return false;
    }
    const bool wasOutage = m_lastSuccessAt && now - *m_lastSuccessAt > m_options.outage;
    if (wasOutage)
        m_graceUntil = now + m_options.lapseGrace;
    bool hasChanged = false;
    for (const auto& change : changes->changes)
        hasChanged = (change.isRemoved ? remove(change.item.key, now) : store(change.item)) || hasChanged;
    m_revision = std::max(m_revision, changes->storeRevision);
    // A watch that waited its whole time and found nothing proves that nothing had changed by then.
    const bool hasWaited = changes->changes.empty() && now - m_sentAt + watchTolerance >= m_waitTime;
    succeed(hasWaited ? std::min(now, m_sentAt + m_waitTime) : m_sentAt, now);
    return hasChanged;
}

bool Mirror::store(const Item& item)
{
    m_lapsed.erase(item.key);
    auto& kept = m_items[item.key];
    // Repeated and older news change nothing.
    if (kept.revision >= item.revision)
        return false;
    kept = item;
    return true;
}

bool Mirror::remove(const std::string& key, TimePoint now)
{
    if (!m_items.contains(key))
        return false;
    if (now < m_graceUntil) {
        m_lapsed.emplace(key, m_graceUntil);
        return false;
    }
    m_lapsed.erase(key);
    m_items.erase(key);
    return true;
}

void Mirror::succeed(TimePoint provenAt, TimePoint now)
{
    m_failure.clear();
    m_failures = 0;
    m_retry = m_options.firstRetry;
    m_nextAt = now;
    m_lastSuccessAt = now;
    if (!m_provenAt || provenAt > *m_provenAt)
        m_provenAt = provenAt;
}

}
