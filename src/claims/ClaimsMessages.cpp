#include "claims/ClaimsNode.h"

namespace eelgrassford::claims {

void ClaimsNode::handle(const HostId& from, const ClaimRequest& request, TimePoint now)
{
    const auto kept = m_records.find(request.key);
    if (kept != m_records.end() && kept->second.phase == Phase::Answered) {
        send(from, AnswerMessage { request.key, kept->second.fingerprint, kept->second.answer });
        return;
    }
    const auto group = groupOf(request.key);
    const auto found = m_witnesses.find(group);
    if (found == m_witnesses.end())
        return;
    send(from, found->second.handle(request, now));
}

void ClaimsNode::handle(const HostId& from, const ClaimReply& reply, TimePoint now)
{
    const auto found = m_records.find(reply.key);
    if (found == m_records.end() || found->second.phase != Phase::Claiming)
        return;
    found->second.claimant->receive(from, reply, now);
    advance(reply.key, found->second, now);
}

void ClaimsNode::handle(const HostId&, const ClaimRelease& release, TimePoint now)
{
    const auto found = m_witnesses.find(groupOf(release.key));
    if (found != m_witnesses.end())
        found->second.handle(release, now);
}

void ClaimsNode::handle(const HostId& from, const SyncRequest& request, TimePoint now)
{
    if (request.group >= m_options.groupCount)
        return;
    send(from, findOrCreateWitness(request.group, now).handle(request, now));
}

void ClaimsNode::handle(const HostId& from, const SyncReply& reply, TimePoint now)
{
    const auto found = m_witnesses.find(reply.group);
    if (found != m_witnesses.end())
        found->second.handle(from, reply, now);
}

void ClaimsNode::handle(const HostId& from, const JoinRequest& request, TimePoint now)
{
    auto reply = [&](JoinState state) { send(from, JoinReply { request.key, request.holder, state }); };
    if (request.holder.incarnation != m_options.incarnation) {
        reply(JoinState::Unknown);
        return;
    }
    const auto found = m_records.find(request.key);
    if (found == m_records.end()) {
        reply(JoinState::Abandoned);
        return;
    }
    auto& record = found->second;
    if (record.fingerprint != request.fingerprint) {
        reply(JoinState::Mismatch);
        return;
    }
    switch (record.phase) {
    case Phase::Answered:
        send(from, AnswerMessage { request.key, record.fingerprint, record.answer });
        return;
    case Phase::Unknown:
        reply(JoinState::Unknown);
        return;
    case Phase::Abandoned:
    case Phase::Joining:
        reply(JoinState::Abandoned);
        return;
    case Phase::Running:
        record.joiners.insert(from);
        reply(JoinState::Pending);
        return;
    case Phase::Claiming:
        if (record.claim != request.holder) {
            reply(JoinState::Abandoned);
        } else if (record.claim < request.requester) {
            record.joiners.insert(from);
            reply(JoinState::Pending);
        } else {
            reply(JoinState::Yielded);
            yieldTo(request.key, record, request.requester, now);
        }
        return;
    }
}

void ClaimsNode::handle(const HostId& from, const JoinReply& reply, TimePoint now)
{
    const auto found = m_records.find(reply.key);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    const bool isJoining = record.phase == Phase::Joining && record.joinedClaim == reply.holder;
    const bool isClaiming = record.phase == Phase::Claiming && record.claimant->holder() == reply.holder;
    if ((!isJoining && !isClaiming) || from != reply.holder.claimant)
        return;
    switch (reply.state) {
    case JoinState::Pending:
        if (isClaiming)
            yieldTo(reply.key, record, reply.holder, now);
        record.lastReplyAt = now;
        return;
    case JoinState::Yielded:
    case JoinState::Abandoned:
        // The holder gave up its claim; releasing it lets witnesses that still keep its grant give the key to another
        // claim.
        for (const auto& member : m_views[groupOf(reply.key)].members)
            send(member, ClaimRelease { reply.key, reply.holder });
        if (isClaiming)
            record.claimant->clearHolder();
        else
            startClaim(reply.key, record, now);
        return;
    case JoinState::Unknown:
    case JoinState::Mismatch:
        if (isClaiming)
            record.claimant->release(m_outgoing);
        record.phase = Phase::Abandoned;
        notifyJoiners(reply.key, record, reply.state);
        settleTickets(record, reply.state == JoinState::Mismatch ? ClaimOutcome::Mismatch : ClaimOutcome::Unknown);
        return;
    }
}

void ClaimsNode::handle(const HostId&, const AnswerMessage& message, TimePoint now)
{
    auto [position, isNew] = m_records.try_emplace(message.key);
    auto& record = position->second;
    if (record.phase == Phase::Answered && !isNew)
        return;
    if (!isNew && record.phase == Phase::Running)
        return;
    if (isNew) {
        record.createdAt = now;
        record.fingerprint = message.fingerprint;
    }
    if (!isNew && record.phase == Phase::Claiming)
        record.claimant->release(m_outgoing);
    const bool isMatch = record.fingerprint == message.fingerprint;
    if (!isMatch) {
        settleTickets(record, ClaimOutcome::Mismatch);
        record.phase = Phase::Abandoned;
        return;
    }
    record.phase = Phase::Answered;
    record.answer = message.answer;
    publishAnswer(message.key, record);
}

}
