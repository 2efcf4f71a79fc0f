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
    send(from, witness(request.group, now).handle(request, now));
}

void ClaimsNode::handle(const HostId& from, const SyncReply& reply, TimePoint now)
{
    const auto found = m_witnesses.find(reply.group);
    if (found != m_witnesses.end())
        found->second.handle(from, reply, now);
}

void ClaimsNode::handle(const HostId& from, const JoinRequest& request, TimePoint now)
{
    auto answer = [&](JoinState state) { send(from, JoinReply { request.key, request.holder, state }); };
    if (request.holder.incarnation != m_options.incarnation) {
        answer(JoinState::Unknown);
        return;
    }
    const auto found = m_records.find(request.key);
    if (found == m_records.end()) {
        answer(JoinState::Abandoned);
        return;
    }
    auto& record = found->second;
    if (record.fingerprint != request.fingerprint) {
        answer(JoinState::Mismatch);
        return;
    }
    switch (record.phase) {
    case Phase::Answered:
        send(from, AnswerMessage { request.key, record.fingerprint, record.answer });
        return;
    case Phase::Unknown:
        answer(JoinState::Unknown);
        return;
    case Phase::Abandoned:
    case Phase::Joining:
        answer(JoinState::Abandoned);
        return;
    case Phase::Running:
        record.joiners.insert(from);
        answer(JoinState::Pending);
        return;
    case Phase::Claiming:
        if (record.claim != request.holder) {
            answer(JoinState::Abandoned);
        } else if (record.claim < request.requester) {
            record.joiners.insert(from);
            answer(JoinState::Pending);
        } else {
            answer(JoinState::Yielded);
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
    const bool isJoining = record.phase == Phase::Joining && record.joined == reply.holder;
    const bool isClaiming = record.phase == Phase::Claiming && record.claimant->holder() == reply.holder;
    if ((!isJoining && !isClaiming) || from != reply.holder.claimant)
        return;
    switch (reply.state) {
    case JoinState::Pending:
        if (isClaiming)
            yieldTo(reply.key, record, reply.holder, now);
        record.lastSignAt = now;
        return;
    case JoinState::Yielded:
    case JoinState::Abandoned:
        // The holder's claim is void; witnesses that still keep it may grant the key anew.
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
        settleAll(record, reply.state == JoinState::Mismatch ? ClaimOutcome::Mismatch : ClaimOutcome::Unknown);
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
        settleAll(record, ClaimOutcome::Mismatch);
        record.phase = Phase::Abandoned;
        return;
    }
    record.phase = Phase::Answered;
    record.answer = message.answer;
    shareAnswer(message.key, record);
}

}
