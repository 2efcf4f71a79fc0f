#include "runners/Registry.h"

#include "common/Hash.h"
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace eelgrassford::runners {

namespace {

    bool isSameLifetime(const RunnerEntry& left, const RunnerEntry& right)
    {
        return left.service == right.service && left.ip == right.ip && left.port == right.port
            && left.startedAtMs == right.startedAtMs && left.version == right.version;
    }

    bool isNoticeableChange(std::optional<double> before, std::optional<double> after)
    {
        constexpr double noticeableShare = 0.1;
        if (!before || !after)
            return before.has_value() != after.has_value();
        return std::abs(*after - *before) > noticeableShare * *before;
    }

}

std::uint64_t softwareOf(const RunnerEntry& entry)
{
    return entry.version.empty() ? unknownSoftware : hash64(entry.version, hash64(entry.service));
}

Registry::Registry(const RegistryOptions& options)
    : m_options(options)
{
}

void Registry::apply(std::span<const RunnerEntry> entries, TimePoint now, const RemovalHandler& removed)
{
    std::map<std::string_view, const RunnerEntry*> listed;
    for (const auto& entry : entries)
        listed[entry.id] = &entry;
    for (auto runner = m_runners.begin(); runner != m_runners.end();) {
        const auto found = listed.find(runner->first);
        if (found != listed.end() && isSameLifetime(runner->second->entry, *found->second)) {
            ++runner;
            continue;
        }
        removed(runner->first);
        rememberLeaving(*runner->second);
        runner = m_runners.erase(runner);
    }
    std::erase_if(
        m_unlistedLeaving, [&](const auto& leaving) { return now - leaving.second > m_options.leavingMemory; });
    const bool isFirstListing = !m_firstListedAt;
    if (!m_firstListedAt && !entries.empty())
        m_firstListedAt = now;
    for (const auto& entry : entries) {
        auto& runner = m_runners[entry.id];
        const bool isNew = !runner;
        if (!runner) {
            runner = std::make_unique<Runner>();
            runner->identity = hash64(entry.id, entry.startedAtMs);
            runner->software = softwareOf(entry);
            runner->nextSuspension = m_options.firstSuspension;
            runner->listedSince = now;
            if (const auto leaving = m_unlistedLeaving.extract(runner->identity))
                runner->statedLeavingAt = leaving.mapped();
        }
        const bool isStatedAnew = isNew || entry.coldRevision != runner->entry.coldRevision
            || entry.coldRemaining != runner->entry.coldRemaining;
        runner->entry = entry;
        setColdStart(*runner);
        if (entry.coldRemaining && isStatedAnew)
            extendCold(*runner, now + *entry.coldRemaining, ColdEvidence::Listed, now);
        else if (isNew && !isFirstListing && runner->coldStart)
            extendCold(*runner, now + runner->coldStart->length, ColdEvidence::NewEntry, now);
        if (!entry.isLeaving)
            runner->listedLeavingSince.reset();
        else if (!runner->listedLeavingSince)
            runner->listedLeavingSince = now;
        if (!m_evacuated.contains(entry.dataCentre))
            runner->evacuatedSince.reset();
        else if (!runner->evacuatedSince)
            runner->evacuatedSince = now;
    }
    m_byService.clear();
    for (const auto& [id, runner] : m_runners)
        m_byService[runner->entry.service].push_back(runner.get());
}

std::vector<Registry::EvacuationChange> Registry::setEvacuated(const std::set<std::string>& dataCentres, TimePoint now)
{
    std::vector<EvacuationChange> changes;
    std::vector<std::string> changed;
    std::set_symmetric_difference(
        dataCentres.begin(), dataCentres.end(), m_evacuated.begin(), m_evacuated.end(), std::back_inserter(changed));
    m_evacuated = dataCentres;
    for (const auto& dataCentre : changed) {
        EvacuationChange change { dataCentre, dataCentres.contains(dataCentre), {} };
        for (const auto& [id, runner] : m_runners) {
            if (runner->entry.dataCentre != dataCentre)
                continue;
            change.runners.push_back(runner.get());
            if (change.isEvacuated) {
                runner->evacuatedSince = now;
                continue;
            }
            runner->evacuatedSince.reset();
            runner->cacheLostAt = now;
            if (runner->coldStart)
                extendCold(*runner, now + runner->coldStart->length + m_options.returnListingTime,
                    ColdEvidence::Returned, now);
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

void Registry::setColdStarts(std::map<std::string, ColdStart, std::less<>> coldStarts)
{
    m_coldStarts = std::move(coldStarts);
    for (const auto& [id, runner] : m_runners)
        setColdStart(*runner);
}

void Registry::setColdStart(Runner& runner)
{
    const auto found = m_coldStarts.find(runner.entry.service);
    runner.coldStart = found == m_coldStarts.end() ? std::nullopt : std::optional(found->second);
    updateColdInterval(runner);
}

void Registry::setColdShare(const ColdShareOptions& options)
{
    m_options.coldShare = options;
    for (const auto& [id, runner] : m_runners)
        updateColdInterval(*runner);
}

void Registry::recordCold(Runner& runner, Duration remaining, TimePoint now)
{
    extendCold(runner, now + remaining, ColdEvidence::Response, now);
}

void Registry::recordSuspectedRestart(Runner& runner, TimePoint now)
{
    if (runner.coldStart)
        extendCold(runner, now + runner.coldStart->length, ColdEvidence::PeerSuspension, now);
}

void Registry::extendCold(Runner& runner, TimePoint until, ColdEvidence evidence, TimePoint now)
{
    if (until <= runner.coldUntil || until <= now)
        return;
    const bool wasCold = runner.isCold(now);
    runner.coldUntil = until;
    runner.coldRequestsFrom = m_firstListedAt.value_or(now) + m_options.coldSettlingTime;
    if (!runner.coldStart)
        return;
    if (!wasCold)
        runner.coldSince = now;
    // A suspension is no proof that the cached prompts are lost.
    const bool isProof = evidence != ColdEvidence::OwnSuspension && evidence != ColdEvidence::PeerSuspension;
    if (isProof && (!runner.cacheLostAt || *runner.cacheLostAt < runner.coldSince))
        runner.cacheLostAt = now;
    if (wasCold)
        return;
    updateColdInterval(runner);
    m_coldNews.push_back({ runner.entry.id, evidence });
}

void Registry::updateColdInterval(Runner& runner) const
{
    runner.coldInterval = runner.coldStart
        ? coldInterval(runner.coldStart->requestsPerSecond, runner.identity, m_fleet, m_options.coldShare)
        : std::nullopt;
}

Runner* Registry::find(std::string_view id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : found->second.get();
}

bool Registry::isSoftwareCertain(const Runner& runner, TimePoint now) const
{
    const auto isListed = [&](const std::optional<TimePoint>& mayHaveEndedAt) {
        return !mayHaveEndedAt || now - *mayHaveEndedAt > m_options.restartListingTime;
    };
    return runner.software != unknownSoftware && isListed(runner.unconnectedAt) && isListed(runner.disconnectedAt);
}

std::span<Runner* const> Registry::runnersOf(std::string_view service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::span<Runner* const> {} : std::span<Runner* const>(found->second);
}

bool Registry::isRecentlyAdded(const Runner& runner, TimePoint now) const
{
    if (runner.cacheLostAt && now - *runner.cacheLostAt < m_options.recentlyAddedPeriod)
        return true;
    const bool wasThereBefore
        = !m_firstListedAt || runner.listedSince - *m_firstListedAt < m_options.initialListingPeriod;
    return !wasThereBefore && now - runner.listedSince < m_options.recentlyAddedPeriod;
}

double Registry::load(const Runner& runner, TimePoint now) const
{
    const double known = runner.knownLoad();
    if (now - runner.reportedAt > m_options.reportLifetime)
        return known;
    // The report counts the requests of all daemons at one moment; this daemon's change since then is added.
    const double reported = runner.reported.running + runner.reported.waiting;
    const double ownChange = static_cast<double>(runner.ownLoad) - static_cast<double>(runner.ownLoadAtReport);
    return std::max(known, reported + ownChange);
}

void Registry::recordDispatch(Runner& runner, TimePoint now)
{
    if (runner.ownLoad++ == 0)
        runner.lastActivityAt = now;
    runner.lastDispatchAt = now;
    if (std::exchange(runner.isReturning, false))
        runner.returnsAt = now + m_options.returnInterval;
    if (!runner.rateShare)
        return;
    ++runner.sentWhileLimited;
    runner.rateShare->take(now);
}

void Registry::recordReceived(Runner& runner, TimePoint now)
{
    runner.lastActivityAt = now;
    m_lastReceivedAt = std::max(m_lastReceivedAt, now);
}

std::vector<Runner*> Registry::silentRunners() const
{
    std::vector<Runner*> result;
    for (const auto& [id, runner] : m_runners) {
        if (runner->ownLoad > 0 && !runner->isBeingProbed
            && m_lastReceivedAt - runner->lastActivityAt > m_options.silenceThreshold)
            result.push_back(runner.get());
    }
    return result;
}

bool Registry::recordCompletion(Runner& runner, Observation observation, TimePoint now)
{
    runner.ownLoad -= runner.ownLoad > 0 ? 1 : 0;
    return recordObservation(runner, observation, now);
}

std::pair<double, double> Registry::recentCounts(const Runner& runner, TimePoint now) const
{
    const auto factor = std::exp2(-toSeconds(now - runner.decayedAt) / toSeconds(m_options.countHalfLife));
    return { runner.served * factor, runner.failed * factor };
}

void Registry::countRequest(Runner& runner, bool hasFailed, TimePoint now)
{
    const auto [served, failed] = recentCounts(runner, now);
    runner.decayedAt = now;
    runner.served = served + (hasFailed ? 0.0 : 1.0);
    runner.failed = failed + (hasFailed ? 1.0 : 0.0);
}

bool Registry::recordObservation(Runner& runner, Observation observation, TimePoint now)
{
    switch (observation) {
    case Observation::Served:
        countRequest(runner, false, now);
        runner.lastServedAt = now;
        runner.consecutiveConnectionFailures = 0;
        if (std::exchange(runner.isOnProbation, false))
            runner.nextSuspension = m_options.firstSuspension;
        return false;
    case Observation::Failed:
    case Observation::Silent:
        // Under overload every runner is slow, so only one that fails more often than the others is suspended.
        countRequest(runner, true, now);
        if (observation == Observation::Failed)
            runner.consecutiveConnectionFailures = 0;
        if (runner.samples() < m_options.minimumSamples
            || runner.failureRate() < meanFailureRate(runner) + m_options.excessFailureRate)
            return false;
        return suspend(runner, m_options.failureSuspension, now);
    case Observation::ConnectionLost:
        countRequest(runner, true, now);
        if (++runner.consecutiveConnectionFailures < m_options.connectionFailuresToSuspend && !runner.isOnProbation)
            return false;
        return suspendForConnectionFailures(runner, now);
    case Observation::CannotConnect:
        runner.unconnectedAt = now;
        ++runner.consecutiveConnectionFailures;
        return suspendForConnectionFailures(runner, now);
    case Observation::Replaced:
        // A new listing will replace the runner; until then nothing more goes to that address.
        runner.suspendedUntil = now + m_options.longestSuspension;
        runner.suspendedAt = now;
        return true;
    case Observation::Declined:
    case Observation::None:
        return false;
    }
    return false;
}

void Registry::setPeerSummary(Runner& runner, const PeerSummary& summary)
{
    runner.peerLoad = summary.inFlight;
    runner.peerServed = summary.served;
    runner.peerFailed = summary.failed;
    runner.suspendedByPeers = summary.suspendedBy;
}

void Registry::recordReportedLoad(Runner& runner, const ReportedLoad& load, TimePoint now)
{
    runner.reported = load;
    runner.reportedAt = now;
    runner.ownLoadAtReport = runner.ownLoad;
}

bool Registry::recordLimit(Runner& runner, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    if (!perSecond && (!runner.limit.perSecond || sentAt <= runner.limit.statedAt))
        return false;
    runner.isLimitOwn = true;
    return replaceLimit(runner, { perSecond, now }, now);
}

bool Registry::mergeLimit(Runner& runner, const StatedLimit& limit, TimePoint now)
{
    if (limit.statedAt <= runner.limit.statedAt)
        return false;
    runner.isLimitOwn = false;
    return replaceLimit(runner, limit, now);
}

bool Registry::recordPause(Runner& runner, Duration length, TimePoint now)
{
    const auto end = now + length;
    runner.pausedAt = now;
    if (length <= Duration::zero() || end <= runner.pausedUntil)
        return false;
    const bool isNews = now >= runner.pausedUntil;
    runner.pausedUntil = end;
    // The daemons return one after another, so that the runner does not get all their requests at once.
    const auto span = std::min(fromSeconds(toSeconds(length) * m_options.returnShare), m_options.longestReturn);
    const auto part = toUnitInterval(mix64(m_fleet.self, runner.identity));
    runner.returnsAt = end + fromSeconds(toSeconds(span) * part);
    runner.isReturning = true;
    return isNews;
}

bool Registry::recordLeaving(Runner& runner, TimePoint now)
{
    runner.isLeavingOwn = true;
    return mergeLeaving(runner, now);
}

bool Registry::mergeLeaving(Runner& runner, TimePoint statedAt)
{
    const bool isNews = !runner.statedLeavingAt;
    runner.statedLeavingAt = std::max(runner.statedLeavingAt.value_or(statedAt), statedAt);
    return isNews;
}

void Registry::rememberLeaving(const Runner& runner)
{
    if (runner.statedLeavingAt)
        m_unlistedLeaving[runner.identity] = *runner.statedLeavingAt;
}

bool Registry::replaceLimit(Runner& runner, const StatedLimit& limit, TimePoint now)
{
    const auto before = std::exchange(runner.limit, limit).perSecond;
    if (before != limit.perSecond)
        updateRateShare(runner, now);
    return isNoticeableChange(before, limit.perSecond);
}

void Registry::setFleet(FleetView fleet, TimePoint now)
{
    m_fleet = std::move(fleet);
    for (const auto& [id, runner] : m_runners) {
        updateRateShare(*runner, now);
        if (runner->isCold(now))
            updateColdInterval(*runner);
    }
}

void Registry::updateRateShare(Runner& runner, TimePoint now) const
{
    if (!runner.limit.perSecond) {
        runner.rateShare.reset();
        return;
    }
    const auto share = shareOfLimit(*runner.limit.perSecond, runner.identity, m_fleet);
    if (runner.rateShare)
        runner.rateShare->setRate(share, now);
    else
        // Daemons begin with different parts of a request, so that they do not send their first ones together.
        runner.rateShare.emplace(share, toUnitInterval(mix64(m_fleet.self, runner.identity)), now);
}

bool Registry::suspendForConnectionFailures(Runner& runner, TimePoint now)
{
    const bool isSuspended = suspend(runner, runner.nextSuspension, now);
    // It may have restarted, also if too many others are suspended already.
    if (runner.coldStart)
        extendCold(
            runner, std::max(now, runner.suspendedUntil) + runner.coldStart->length, ColdEvidence::OwnSuspension, now);
    if (!isSuspended)
        return false;
    runner.nextSuspension = std::min(runner.nextSuspension * 2, m_options.longestSuspension);
    return true;
}

bool Registry::suspend(Runner& runner, Duration duration, TimePoint now)
{
    if (now < runner.suspendedUntil || !canSuspend(runner, now))
        return false;
    runner.suspendedUntil = now + duration;
    runner.suspendedAt = now;
    runner.isOnProbation = true;
    return true;
}

bool Registry::canSuspend(const Runner& runner, TimePoint now) const
{
    const auto all = runnersOf(runner.entry.service);
    std::size_t suspended = 1;
    std::size_t present = 0;
    for (const auto* other : all) {
        // Runners that get no request anyway make no room for further suspensions.
        if (other->isLeaving() || (other->evacuatedSince && other != &runner))
            continue;
        ++present;
        suspended += other != &runner && now < other->suspendedUntil ? 1 : 0;
    }
    return static_cast<double>(suspended) <= m_options.maximumSuspendedShare * static_cast<double>(present);
}

double Registry::meanFailureRate(const Runner& except) const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto* runner : runnersOf(except.entry.service)) {
        if (runner == &except || runner->isLeaving())
            continue;
        sum += runner->failureRate();
        ++count;
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

}
