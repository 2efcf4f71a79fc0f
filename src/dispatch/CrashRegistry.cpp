#include "dispatch/CrashRegistry.h"

#include <algorithm>
#include <tuple>

namespace eelgrassford::dispatch {

namespace {

    constexpr Duration evaluationInterval = std::chrono::milliseconds(100);
    /// Crashes that a part may have besides those of a later part of the same prompts, because runners that ended under
    /// others had it too.
    constexpr std::size_t crashesByChance = 1;

}

CrashRegistry::CrashRegistry(const Options& options)
    : m_options(options)
{
}

CrashRegistry::CrashRegistry()
    : CrashRegistry(Options {})
{
}

void CrashRegistry::recordCrash(std::span<const CrashSuspect> suspects, std::uint64_t runner, TimePoint now)
{
    for (const auto& suspect : suspects)
        addCrash(recordOf(suspect, now), runner, now, now);
    scheduleEvaluations(now);
    evaluate(now);
}

void CrashRegistry::recordServed(std::span<const CrashSuspect> suspects, TimePoint now)
{
    for (const auto& suspect : suspects) {
        if (suspect.isShared()) {
            m_lastServedAt = now;
            if (m_servedAt.size() >= m_options.maxServedParts)
                m_servedAt.clear();
            m_servedAt[suspect.digest] = now;
        }
        const auto found = m_records.find(suspect.digest);
        if (found != m_records.end())
            found->second.servedAt = now;
    }
}

void CrashRegistry::merge(std::span<const CrashRecord> records, TimePoint now)
{
    bool hasChanged = false;
    for (const auto& shared : records) {
        auto& record = recordOf({ shared.suspect, shared.position }, now);
        if (shared.servedAge)
            record.servedAt = std::max(record.servedAt.value_or(TimePoint::min()), now - *shared.servedAge);
        for (std::size_t i = 0; i < shared.runners.size(); ++i) {
            const auto age = i < shared.crashAges.size() ? shared.crashAges[i] : Duration::zero();
            hasChanged = addCrash(record, shared.runners[i], now - age, now) || hasChanged;
        }
        if (shared.isQuarantined && record.verdict != Verdict::Quarantined) {
            record.verdict = Verdict::Quarantined;
            hasChanged = true;
        }
    }
    if (!hasChanged)
        return;
    scheduleEvaluations(now);
    evaluate(now);
}

std::optional<CrashSuspect> CrashRegistry::findQuarantined(std::span<const CrashSuspect> suspects, TimePoint now)
{
    evaluateIfDue(now);
    const auto found = std::find_if(
        suspects.begin(), suspects.end(), [&](const CrashSuspect& suspect) { return isQuarantined(suspect.digest); });
    if (found == suspects.end())
        return std::nullopt;
    return *found;
}

bool CrashRegistry::isQuarantined(RequestDigest suspect) const
{
    const auto found = m_records.find(suspect);
    return found != m_records.end() && found->second.verdict != Verdict::None;
}

std::vector<CrashRecord> CrashRegistry::records(TimePoint now) const
{
    std::vector<Records::const_iterator> order;
    order.reserve(m_records.size());
    for (auto record = m_records.begin(); record != m_records.end(); ++record)
        order.push_back(record);
    const auto rank = [&](const Record& record) {
        // Of the suspects of one crash those with more crashes matter more. If only some of them were sent, a receiver
        // would take an innocent one for the cause.
        const bool isRecent = now - record.changedAt <= m_options.sharingTime;
        return std::tuple(record.verdict, isRecent, isRecent ? record.crashes.size() : 0, record.changedAt);
    };
    const auto count = std::min(order.size(), m_options.maxSharedRecords);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [&](const auto& left, const auto& right) { return rank(left->second) > rank(right->second); });
    std::vector<CrashRecord> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(toShared(order[i]->first, order[i]->second, now));
    return result;
}

void CrashRegistry::tick(TimePoint now)
{
    evaluateIfDue(now);
    std::erase_if(m_records, [&](const auto& entry) {
        const auto& record = entry.second;
        const auto retention
            = record.verdict == Verdict::Provisional ? m_options.provisionalRetention : m_options.retention;
        return now - record.changedAt > retention;
    });
    std::erase_if(m_servedAt, [&](const auto& entry) { return now - entry.second > m_options.servedRetention; });
}

CrashRegistry::Record& CrashRegistry::recordOf(const CrashSuspect& suspect, TimePoint now)
{
    const auto found = m_records.find(suspect.digest);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= m_options.maxRecords)
        evictOldest();
    auto& record = m_records[suspect.digest];
    record.position = suspect.position;
    record.changedAt = now;
    const auto served = m_servedAt.find(suspect.digest);
    if (served != m_servedAt.end())
        record.servedAt = served->second;
    return record;
}

void CrashRegistry::evictOldest()
{
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) {
        return std::tuple(left.second.verdict, left.second.changedAt)
            < std::tuple(right.second.verdict, right.second.changedAt);
    });
    m_records.erase(oldest);
}

bool CrashRegistry::addCrash(Record& record, std::uint64_t runner, TimePoint crashedAt, TimePoint now)
{
    if (!record.crashes.try_emplace(runner, crashedAt).second)
        return false;
    record.changedAt = now;
    return true;
}

void CrashRegistry::scheduleEvaluations(TimePoint now)
{
    m_settlesAt = now + m_options.settlingTime;
    m_nextEvaluationAt = m_nextEvaluationAt.value_or(now + evaluationInterval);
}

void CrashRegistry::evaluateIfDue(TimePoint now)
{
    if (!m_nextEvaluationAt || now < *m_nextEvaluationAt)
        return;
    m_nextEvaluationAt.reset();
    if (now < m_settlesAt)
        m_nextEvaluationAt = now + evaluationInterval;
    evaluate(now);
}

void CrashRegistry::evaluate(TimePoint now)
{
    Candidates candidates;
    for (auto record = m_records.begin(); record != m_records.end(); ++record) {
        if (record->second.crashes.size() >= m_options.quarantineThreshold)
            candidates.push_back(record);
    }
    std::set<std::uint64_t> explained;
    while (true) {
        std::erase_if(
            candidates, [&](const auto& candidate) { return !isConspicuous(candidate->second, explained, now); });
        if (candidates.empty())
            return;
        const auto likeliest = findLikeliest(candidates, explained, now);
        auto& record = (*likeliest)->second;
        if (record.verdict == Verdict::None)
            record.verdict = verdictOn(record, now);
        for (const auto& [runner, crashedAt] : record.crashes)
            explained.insert(runner);
    }
}

CrashRegistry::Candidates::const_iterator CrashRegistry::findLikeliest(
    const Candidates& candidates, const std::set<std::uint64_t>& explained, TimePoint now) const
{
    std::size_t most = 0;
    for (const auto& candidate : candidates)
        most = std::max(most, unexplainedCrashes(candidate->second, explained, now).size());
    const auto rank = [&](const auto& candidate) {
        const auto count = unexplainedCrashes(candidate->second, explained, now).size();
        const bool hasEnough = count + crashesByChance >= most;
        return std::tuple(hasEnough, candidate->second.position, count, candidate->first);
    };
    return std::max_element(candidates.begin(), candidates.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

std::vector<TimePoint> CrashRegistry::unexplainedCrashes(
    const Record& record, const std::set<std::uint64_t>& explained, TimePoint now) const
{
    const bool isShared = record.position != CrashSuspect::wholeRequest;
    const auto settledUntil = isShared ? now - m_options.settlingTime : now;
    std::vector<TimePoint> result;
    for (const auto& [runner, crashedAt] : record.crashes) {
        if (crashedAt <= settledUntil && record.isCounted(crashedAt) && !explained.contains(runner))
            result.push_back(crashedAt);
    }
    return result;
}

bool CrashRegistry::isConspicuous(const Record& record, const std::set<std::uint64_t>& explained, TimePoint now) const
{
    auto times = unexplainedCrashes(record, explained, now);
    if (record.position == CrashSuspect::wholeRequest)
        return times.size() >= m_options.quarantineThreshold;
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<TimePoint> lastCounted;
    for (const auto at : times) {
        if (lastCounted && at - *lastCounted < m_options.crashSpacing)
            continue;
        lastCounted = at;
        ++count;
    }
    return count >= m_options.quarantineThreshold || (count > 1 && times.size() >= m_options.burstThreshold);
}

CrashRegistry::Verdict CrashRegistry::verdictOn(const Record& record, TimePoint now) const
{
    if (record.position == CrashSuspect::wholeRequest)
        return Verdict::Quarantined;
    const auto crashes = unexplainedCrashes(record, {}, now);
    const auto first = std::min_element(crashes.begin(), crashes.end());
    return m_lastServedAt && *m_lastServedAt >= *first ? Verdict::Quarantined : Verdict::Provisional;
}

CrashRecord CrashRegistry::toShared(RequestDigest suspect, const Record& record, TimePoint now)
{
    CrashRecord result { suspect, {}, record.position };
    for (const auto& [runner, crashedAt] : record.crashes) {
        if (!record.isCounted(crashedAt))
            continue;
        result.runners.push_back(runner);
        result.crashAges.push_back(now - crashedAt);
    }
    if (record.servedAt)
        result.servedAge = now - *record.servedAt;
    result.isQuarantined = record.verdict == Verdict::Quarantined;
    return result;
}

}
