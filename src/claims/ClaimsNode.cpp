#include "claims/ClaimsNode.h"

#include <cassert>
#include <utility>

namespace eelgrassford::claims {

ClaimsNode::ClaimsNode(const Options& options, TimePoint now)
    : m_options(options)
    , m_startedAt(now)
{
    assert(options.groupCount > 0);
}

ClaimsNode::Actions ClaimsNode::setHosts(
    std::uint64_t revision, std::span<const EntryHost> hosts, bool isFromPlatform, TimePoint now)
{
    if (hosts.empty() || revision < m_hostsRevision)
        return takeActions();
    if (revision > m_hostsRevision) {
        m_hostsRevision = revision;
        m_hosts.assign(hosts.begin(), hosts.end());
        for (std::uint32_t group = 0; group < m_options.groupCount; ++group) {
            const WitnessView view { revision, chooseWitnesses(m_hosts, group, m_options.witnessesPerGroup) };
            m_views[group] = view;
            if (view.contains(m_options.self) || m_witnesses.contains(group))
                findOrCreateWitness(group, now).setView(view, now);
        }
    }
    if (isFromPlatform) {
        for (auto& [group, member] : m_witnesses)
            member.confirmView(now);
    }
    return tick(now);
}

ClaimsNode::Actions ClaimsNode::begin(Key key, std::uint64_t fingerprint, Ticket ticket, TimePoint now)
{
    auto [position, isNew] = m_records.try_emplace(key);
    auto& record = position->second;
    if (!isNew && record.fingerprint != fingerprint) {
        m_actions.push_back(Settle { ticket, ClaimOutcome::Mismatch, {} });
        return takeActions();
    }
    if (!isNew && record.phase == Phase::Answered) {
        m_actions.push_back(Settle { ticket, ClaimOutcome::Answered, record.answer });
        return takeActions();
    }
    if (!isNew && record.phase == Phase::Unknown) {
        m_actions.push_back(Settle { ticket, ClaimOutcome::Unknown, {} });
        return takeActions();
    }
    record.tickets.push_back(ticket);
    if (isNew || record.phase == Phase::Abandoned) {
        record.fingerprint = fingerprint;
        record.createdAt = now;
        startClaim(key, record, now);
    }
    return takeActions();
}

ClaimsNode::Actions ClaimsNode::complete(Key key, const Answer& answer, TimePoint)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.phase != Phase::Running)
        return takeActions();
    auto& record = found->second;
    record.phase = Phase::Answered;
    record.answer = answer;
    publishAnswer(key, record);
    return takeActions();
}

ClaimsNode::Actions ClaimsNode::reportUnknownOutcome(Key key, TimePoint)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.phase != Phase::Running)
        return takeActions();
    found->second.phase = Phase::Unknown;
    notifyJoiners(key, found->second, JoinState::Unknown);
    settleTickets(found->second, ClaimOutcome::Unknown);
    return takeActions();
}

ClaimsNode::Actions ClaimsNode::abandon(Key key, TimePoint now)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.phase != Phase::Running)
        return takeActions();
    auto& record = found->second;
    record.phase = Phase::Abandoned;
    record.claimant->release(m_outgoing);
    notifyJoiners(key, record, JoinState::Abandoned);
    settleTickets(record, ClaimOutcome::NotRun);
    routeOutgoing(now);
    return takeActions();
}

ClaimsNode::Actions ClaimsNode::receive(const HostId& from, const Message& message, TimePoint now)
{
    deliver(from, message, now);
    routeOutgoing(now);
    return takeActions();
}

ClaimsNode::Actions ClaimsNode::tick(TimePoint now)
{
    for (auto& [group, member] : m_witnesses)
        member.tick(now, m_outgoing);
    const auto unsettled = m_unsettled;
    for (const auto& key : unsettled) {
        auto& record = m_records.at(key);
        advance(key, record, now);
        if (record.phase != Phase::Claiming && record.phase != Phase::Joining)
            m_unsettled.erase(key);
    }
    routeOutgoing(now);
    dropExpired(now);
    return takeActions();
}

void ClaimsNode::dropExpired(TimePoint now)
{
    if (now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = now + std::chrono::seconds(1);
    // Records outlive every witness's grant, so that a missing record means that the request did not run.
    const auto recordLifetime = m_options.timing.retention + 2 * m_options.timing.dispatchTimeout;
    std::erase_if(m_records, [&](const auto& item) {
        const auto phase = item.second.phase;
        const bool isSettled = phase == Phase::Answered || phase == Phase::Unknown || phase == Phase::Abandoned;
        return isSettled && now - item.second.createdAt >= recordLifetime && !m_unsettled.contains(item.first);
    });
}

ClaimsNode::Actions ClaimsNode::replicateAnswers(TimePoint)
{
    for (const auto& [key, record] : m_records) {
        if (record.phase != Phase::Answered)
            continue;
        for (const auto& member : m_views[groupOf(key)].members) {
            if (member != m_options.self)
                send(member, AnswerMessage { key, record.fingerprint, record.answer });
        }
    }
    return takeActions();
}

bool ClaimsNode::isReady() const
{
    return !m_views.empty() && std::all_of(m_witnesses.begin(), m_witnesses.end(), [](const auto& item) {
        return item.second.isReady() || item.second.view().members.empty();
    });
}

std::size_t ClaimsNode::grantCount() const
{
    std::size_t total = 0;
    for (const auto& [group, member] : m_witnesses)
        total += member.grantCount();
    return total;
}

Witness& ClaimsNode::findOrCreateWitness(std::uint32_t group, TimePoint)
{
    return m_witnesses.try_emplace(group, m_options.self, group, m_options.timing, m_options.isFirstStart, m_startedAt)
        .first->second;
}

void ClaimsNode::startClaim(const Key& key, Record& record, TimePoint now)
{
    record.phase = Phase::Claiming;
    m_unsettled.insert(key);
    record.claim = { m_options.self, m_options.incarnation, m_nextSequence++ };
    record.claimant.emplace(key, record.claim, m_views[groupOf(key)], m_options.timing, m_options.groupCount > 1, now);
    advance(key, record, now);
    routeOutgoing(now);
}

void ClaimsNode::advance(const Key& key, Record& record, TimePoint now)
{
    if (record.phase == Phase::Joining) {
        if (now - record.lastReplyAt >= m_options.timing.joinTimeout) {
            record.phase = Phase::Abandoned;
            notifyJoiners(key, record, JoinState::Unknown);
            settleTickets(record, ClaimOutcome::Unknown);
        } else if (now >= record.nextJoinAt) {
            record.nextJoinAt = now + m_options.timing.resendInterval;
            send(
                record.joinedClaim.claimant, JoinRequest { key, record.fingerprint, record.joinedClaim, record.claim });
        }
        return;
    }
    if (record.phase != Phase::Claiming)
        return;
    auto& claimant = *record.claimant;
    claimant.setView(m_views[groupOf(key)]);
    claimant.tick(now, m_outgoing);
    switch (claimant.state()) {
    case Claimant::State::Gathering:
        if (claimant.holder() && now >= record.nextJoinAt)
            joinHolder(key, record, *claimant.holder(), now);
        return;
    case Claimant::State::Won:
        record.phase = Phase::Running;
        m_actions.push_back(Dispatch {
            key, record.tickets.empty() ? Ticket { 0 } : record.tickets.front(), claimant.dispatchDeadline() });
        return;
    case Claimant::State::NotRun:
    case Claimant::State::Unknown:
        record.phase = Phase::Abandoned;
        claimant.release(m_outgoing);
        const bool isNotRun = claimant.state() == Claimant::State::NotRun;
        notifyJoiners(key, record, isNotRun ? JoinState::Abandoned : JoinState::Unknown);
        settleTickets(record, isNotRun ? ClaimOutcome::NotRun : ClaimOutcome::Unknown);
        return;
    }
}

void ClaimsNode::joinHolder(const Key& key, Record& record, const ClaimId& holder, TimePoint now)
{
    record.nextJoinAt = now + m_options.timing.resendInterval;
    send(holder.claimant, JoinRequest { key, record.fingerprint, holder, record.claim });
}

void ClaimsNode::yieldTo(const Key& key, Record& record, const ClaimId& holder, TimePoint now)
{
    if (record.phase == Phase::Claiming)
        record.claimant->release(m_outgoing);
    record.phase = Phase::Joining;
    m_unsettled.insert(key);
    record.joinedClaim = holder;
    record.lastReplyAt = now;
    record.nextJoinAt = now;
    advance(key, record, now);
}

void ClaimsNode::settleTickets(Record& record, ClaimOutcome outcome)
{
    for (const auto ticket : record.tickets)
        m_actions.push_back(Settle { ticket, outcome, outcome == ClaimOutcome::Answered ? record.answer : Answer {} });
    record.tickets.clear();
}

void ClaimsNode::notifyJoiners(const Key& key, Record& record, JoinState state)
{
    for (const auto& joiner : record.joiners)
        send(joiner, JoinReply { key, record.claim, state });
    record.joiners.clear();
}

void ClaimsNode::publishAnswer(const Key& key, Record& record)
{
    for (const auto& joiner : record.joiners)
        send(joiner, AnswerMessage { key, record.fingerprint, record.answer });
    record.joiners.clear();
    settleTickets(record, ClaimOutcome::Answered);
}

void ClaimsNode::send(const HostId& to, Message message) { m_outgoing.push_back({ to, std::move(message) }); }

void ClaimsNode::routeOutgoing(TimePoint now)
{
    while (!m_outgoing.empty()) {
        auto outgoing = std::move(m_outgoing);
        m_outgoing.clear();
        for (auto& envelope : outgoing) {
            if (envelope.to == m_options.self)
                deliver(m_options.self, envelope.message, now);
            else
                m_actions.push_back(std::move(envelope));
        }
    }
}

void ClaimsNode::deliver(const HostId& from, const Message& message, TimePoint now)
{
    std::visit([&](const auto& content) { handle(from, content, now); }, message);
}

ClaimsNode::Actions ClaimsNode::takeActions()
{
    for (auto& envelope : m_outgoing)
        m_actions.push_back(std::move(envelope));
    m_outgoing.clear();
    return std::exchange(m_actions, {});
}

}
