#include "fleet/Gossip.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace eelgrassford::fleet {

namespace {

    constexpr double tenthsPerRequest = 10.0;

    std::uint32_t toTenths(double requests) { return static_cast<std::uint32_t>(requests * tenthsPerRequest); }

    void add(const RunnerTotal& total, std::unordered_map<RunnerKey, RunnerSummary>& sum)
    {
        auto& summary = sum[total.runner];
        summary.inFlight += total.inFlight;
        summary.served += total.servedTenths / tenthsPerRequest;
        summary.failed += total.failedTenths / tenthsPerRequest;
        summary.suspendedBy += total.suspendedBy;
        summary.remaining += total.remaining;
    }

    std::vector<RunnerTotal> toTotals(const std::unordered_map<RunnerKey, RunnerSummary>& sum)
    {
        std::vector<RunnerTotal> result;
        result.reserve(sum.size());
        for (const auto& [runner, summary] : sum)
            result.push_back({ runner, summary.inFlight, toTenths(summary.served), toTenths(summary.failed),
                summary.suspendedBy, summary.remaining });
        return result;
    }

}

Gossip::Gossip(const GossipIdentity& identity, const Options& options, RandomSource random)
    : m_identity(identity)
    , m_options(options)
    , m_random(std::move(random))
    , m_members(identity.ip, identity.incarnation, options.members)
    , m_aggregation(identity.ip, options.aggregation)
{
}

void Gossip::addSeeds(std::span<const std::string> ips, TimePoint now)
{
    m_seeds.assign(ips.begin(), ips.end());
    m_members.addSeeds(m_seeds, now);
    m_nextSeedsAt = now + m_options.seedInterval;
}

std::vector<Gossip::Outgoing> Gossip::takeDue(const LocalState& state, TimePoint now)
{
    std::vector<Outgoing> outgoing;
    if (now >= m_nextSeedsAt) {
        m_nextSeedsAt = now + m_options.seedInterval;
        m_members.addSeeds(m_seeds, now);
    }
    const bool isReportDue = now >= m_nextReportAt;
    if (isReportDue)
        m_aggregation.update(m_members.presentIps(now), !m_members.reportersTo(m_identity.ip, now).empty(), now);
    sendDirect(state, now, outgoing);
    if (!isReportDue)
        return outgoing;
    m_nextReportAt = now + m_options.aggregation.interval;
    if (m_aggregation.isActive()) {
        sendReport(state, now, outgoing);
        sendToRandomMember(state, now, outgoing);
    }
    sendSummaries(state, now, outgoing);
    return outgoing;
}

void Gossip::sendDirect(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing)
{
    const auto due = m_aggregation.isActive() ? m_members.takeDueDirect(now) : m_members.takeDue(now);
    if (due.empty())
        return;
    auto digest = createDigest(state, now);
    digest.members = m_aggregation.isActive() ? m_members.samplePresent(m_options.membersForNewcomer, now)
                                              : m_members.sampleMembers();
    const auto bytes = encode(digest);
    for (const auto& ip : due)
        outgoing.push_back({ ip, bytes });
}

void Gossip::sendReport(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing)
{
    auto digest = createDigest(state, now);
    digest.members = m_members.sampleHeard(m_options.members.membersPerDigest, now);
    const auto bytes = encode(digest);
    // The previous aggregator learns from the digest that it must not count this daemon any more.
    if (const auto previous = m_aggregation.takePreviousAggregator())
        outgoing.push_back({ *previous, bytes });
    if (m_aggregation.isOwnAggregator())
        return;
    m_aggregation.recordReport(digest, now);
    outgoing.push_back({ m_aggregation.aggregator(), bytes });
}

void Gossip::sendSummaries(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing)
{
    const auto reporters = m_members.reportersTo(m_identity.ip, now);
    if (reporters.empty() && !m_aggregation.isOwnAggregator())
        return;
    const auto group = encodeBody(createSummary(Summary::Scope::Group, state, now));
    for (const auto& ip : m_aggregation.otherAggregators(now))
        outgoing.push_back({ ip, encodeSummary(0, group) });
    if (reporters.empty())
        return;
    const auto fleet = encodeBody(createSummary(Summary::Scope::Fleet, state, now));
    for (const auto& reporter : reporters)
        outgoing.push_back({ reporter.ip, encodeSummary(reporter.sequence, fleet) });
}

void Gossip::sendToRandomMember(const LocalState& state, TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (now < m_nextRandomDigestAt)
        return;
    const auto known = m_members.knownIps();
    if (known.empty())
        return;
    m_nextRandomDigestAt = now + m_options.randomDigestInterval;
    const auto index = static_cast<std::size_t>(m_random() * static_cast<double>(known.size()));
    auto digest = createDigest(state, now);
    digest.runners.clear();
    digest.crashes.clear();
    digest.statements.clear();
    digest.demands.clear();
    digest.members = m_members.sampleHeard(m_options.members.membersPerDigest, now);
    const auto& ip = known[std::min(index, known.size() - 1)];
    // The aggregator's copy of the state must not be replaced by an empty one.
    if (ip != m_aggregation.aggregator())
        outgoing.push_back({ ip, encode(digest) });
}

void Gossip::expedite(TimePoint now)
{
    if (!m_aggregation.isActive())
        m_members.expediteDigests(now);
    m_nextReportAt = now;
}

std::vector<Gossip::Outgoing> Gossip::leave(const LocalState& state, TimePoint now)
{
    auto digest = createDigest(state, now);
    digest.isLeaving = true;
    const auto bytes = encode(digest);
    std::vector<Outgoing> outgoing;
    for (const auto& ip : m_members.liveIps(now))
        outgoing.push_back({ ip, bytes });
    if (!m_aggregation.isActive())
        return outgoing;
    if (!m_aggregation.isOwnAggregator())
        outgoing.push_back({ m_aggregation.aggregator(), bytes });
    auto summary = createSummary(Summary::Scope::Group, state, now);
    summary.isLeaving = true;
    summary.runners.clear();
    summary.demands.clear();
    const auto body = encodeSummary(0, encodeBody(summary));
    for (const auto& ip : m_aggregation.otherAggregators(now))
        outgoing.push_back({ ip, body });
    for (const auto& reporter : m_members.reportersTo(m_identity.ip, now))
        outgoing.push_back({ reporter.ip, body });
    return outgoing;
}

std::optional<Gossip::News> Gossip::receive(const Digest& digest, TimePoint now)
{
    if (digest.region != m_identity.region || !m_members.receive(digest, now))
        return std::nullopt;
    if (digest.fleetTime)
        m_clock.receive(*digest.fleetTime, now);
    // In a small fleet daemons name members that they heard up to a forget timeout ago; that is no sign of life.
    if (!digest.aggregator.empty())
        m_members.mention(digest.members, Evidence::Reported, now);
    if (digest.isLeaving)
        m_aggregation.recordLeaving(digest.ip, now);
    return News { digest.ip, digest.changeRevision, digest.crashes, digest.statements, std::nullopt };
}

std::optional<Gossip::News> Gossip::receive(const Summary& summary, TimePoint now)
{
    if (summary.region != m_identity.region || !m_aggregation.receive(summary, now))
        return std::nullopt;
    if (summary.fleetTime)
        m_clock.receive(*summary.fleetTime, now);
    const bool isGroup = summary.scope == Summary::Scope::Group;
    m_members.mention(summary.members, isGroup ? Evidence::Reported : Evidence::Repeated, now);
    const std::vector<std::string> sender { summary.ip };
    if (!summary.isLeaving)
        m_members.mention(sender, Evidence::Reported, now);
    News news { summary.ip, summary.changeRevision, summary.crashes, summary.statements, std::nullopt };
    // The age counts from the report that the summary acknowledges, so that a delay makes the proof older, never newer.
    const auto reportedAt = m_aggregation.reportedAt(summary.acknowledged);
    if (!isGroup && reportedAt && summary.proofAgeMs >= 0)
        news.provenAt = *reportedAt - std::chrono::milliseconds(summary.proofAgeMs);
    return news;
}

Digest Gossip::createDigest(const LocalState& state, TimePoint now)
{
    Digest digest;
    digest.incarnation = m_identity.incarnation;
    digest.sequence = ++m_sequence;
    digest.ip = m_identity.ip;
    digest.region = m_identity.region;
    digest.changeRevision = state.changeRevision;
    digest.runners = state.runners;
    digest.crashes = state.crashes;
    digest.aggregator = m_aggregation.aggregator();
    // Daemons repeat only what runners told them: a statement that they repeated to each other would never grow old.
    std::copy_if(state.statements.begin(), state.statements.end(), std::back_inserter(digest.statements),
        [](const RunnerStatement& statement) { return statement.isOwn; });
    digest.demands = state.demands;
    digest.fleetTime = m_clock.timeAt(now);
    return digest;
}

Summary Gossip::createSummary(Summary::Scope scope, const LocalState& state, TimePoint now)
{
    const bool isFleet = scope == Summary::Scope::Fleet;
    Summary summary;
    summary.scope = scope;
    summary.incarnation = m_identity.incarnation;
    summary.sequence = ++m_sequence;
    summary.ip = m_identity.ip;
    summary.region = m_identity.region;
    summary.changeRevision = state.changeRevision;
    if (state.provenAt)
        summary.proofAgeMs = std::chrono::ceil<std::chrono::milliseconds>(now - *state.provenAt).count();
    summary.daemons = static_cast<std::uint32_t>(m_members.reportersTo(m_identity.ip, now).size())
        + (m_aggregation.isOwnAggregator() ? 1 : 0) + (isFleet ? m_aggregation.otherGroupsSize(now) : 0);
    summary.members = isFleet ? m_members.samplePresent(m_options.membersPerSummary, now)
                              : m_members.sampleHeard(m_options.membersPerSummary, now);
    auto sum = sumGroup(state.runners, now);
    if (isFleet) {
        for (const auto& total : m_aggregation.otherGroups(now))
            add(total, sum);
    }
    summary.runners = toTotals(sum);
    summary.crashes = state.crashes;
    summary.statements = state.statements;
    summary.demands = sumDemands(scope, state, now);
    summary.fleetTime = m_clock.timeAt(now);
    return summary;
}

std::unordered_map<RunnerKey, RunnerSummary> Gossip::sumGroup(const std::vector<RunnerState>& own, TimePoint now) const
{
    std::unordered_map<RunnerKey, RunnerSummary> sum;
    m_members.addTotals(m_identity.ip, now, sum);
    if (!m_aggregation.isOwnAggregator())
        return sum;
    for (const auto& state : own)
        add({ state.runner, state.inFlight, state.servedTenths, state.failedTenths, state.suspendedMs > 0 ? 1u : 0u,
                state.remaining },
            sum);
    return sum;
}

std::unordered_map<RunnerKey, RunnerSummary> Gossip::summarize(TimePoint now) const
{
    if (!m_aggregation.isActive())
        return m_members.summarize(now);
    std::unordered_map<RunnerKey, RunnerSummary> sum;
    // Members without an aggregator are in no group.
    m_members.addTotals({}, now, sum);
    if (m_aggregation.isOwnAggregator())
        m_members.addTotals(m_identity.ip, now, sum);
    const auto others
        = m_aggregation.isOwnAggregator() ? m_aggregation.otherGroups(now) : m_aggregation.fleetWithoutSelf(now);
    for (const auto& total : others)
        add(total, sum);
    return sum;
}

std::vector<admission::ServiceDemand> Gossip::sumDemands(
    Summary::Scope scope, const LocalState& state, TimePoint now) const
{
    admission::DemandSum sum;
    m_members.addDemands(m_identity.ip, now, sum);
    if (m_aggregation.isOwnAggregator())
        sum.add(state.demands);
    if (scope == Summary::Scope::Fleet)
        m_aggregation.addOtherGroupDemands(now, sum);
    return sum.take(m_options.flowsPerSummary);
}

std::vector<admission::ServiceDemand> Gossip::demandOfOthers(TimePoint now) const
{
    admission::DemandSum sum;
    if (!m_aggregation.isActive()) {
        m_members.addDemands(std::nullopt, now, sum);
    } else {
        // Members without an aggregator are in no group.
        m_members.addDemands("", now, sum);
        if (m_aggregation.isOwnAggregator()) {
            m_members.addDemands(m_identity.ip, now, sum);
            m_aggregation.addOtherGroupDemands(now, sum);
        } else {
            m_aggregation.addFleetDemandsWithoutSelf(now, sum);
        }
    }
    return sum.take(std::numeric_limits<std::size_t>::max());
}

std::vector<std::string> Gossip::liveIps(TimePoint now) const
{
    if (!m_aggregation.isActive())
        return m_members.liveIps(now);
    auto result = m_members.presentIps(now);
    std::erase_if(result, [&](const std::string& ip) { return m_aggregation.isSuspected(ip, now); });
    return result;
}

std::size_t Gossip::liveCount(TimePoint now) const
{
    if (!m_aggregation.isActive())
        return m_members.liveCount(now);
    const auto direct = m_members.reportersTo({}, now).size();
    if (m_aggregation.isOwnAggregator())
        return direct + m_members.reportersTo(m_identity.ip, now).size() + m_aggregation.otherGroupsSize(now);
    const auto size = m_aggregation.fleetSize(now);
    return direct + (size > 0 ? size - 1 : 0);
}

}
