#include "Schedule.h"

#include <algorithm>

namespace eelgrassford::claims::test {

namespace {

    using std::chrono::milliseconds;

    constexpr auto tickInterval = milliseconds(25);
    constexpr auto partitionsEnd = milliseconds(3000);
    constexpr auto scheduleEnd = milliseconds(7000);
    constexpr auto firstSubmission = milliseconds(400);
    constexpr std::size_t keyCount = 3;

    Timing shortTiming()
    {
        Timing timing;
        timing.quorumTimeout = milliseconds(300);
        timing.dispatchTimeout = milliseconds(500);
        timing.retention = milliseconds(20000);
        timing.hedgeDelay = milliseconds(20);
        timing.resendInterval = milliseconds(50);
        timing.joinTimeout = milliseconds(300);
        timing.abstentionPeriod = milliseconds(500);
        return timing;
    }

    std::string messageName(const Message& message)
    {
        static const char* const names[] = { "claim-request", "claim-reply", "claim-release", "sync-request",
            "sync-reply", "join-request", "join-reply", "answer" };
        return names[message.index()];
    }

}

Schedule::Schedule(std::uint64_t seed, const Faults& faults, Defect defect, std::size_t hosts)
    : m_random(seed)
    , m_faults(faults)
    , m_defect(defect)
    , m_timing(shortTiming())
{
    auto& list = m_lists[m_revision];
    for (std::size_t i = 0; i < hosts; ++i)
        list.push_back({ "h" + std::to_string(m_nextHost++), "dc" + std::to_string(i % 3) });
    for (const auto& entry : list) {
        m_hosts[entry.id].isListed = true;
        start(entry.id, true);
    }
}

std::optional<std::string> Schedule::run()
{
    for (std::size_t i = 0; i < keyCount; ++i) {
        const Key key { i + 1, i + 1 };
        const auto begin = firstSubmission + randomDuration(0, 1500);
        const auto submissions = 1 + random(4);
        for (std::uint64_t n = 0; n < submissions; ++n)
            at(TimePoint(begin + randomDuration(0, n == 0 ? 1 : 2000)), [this, key] { submit(key); });
    }
    scheduleFaults();
    while (!m_events.empty() && !m_violation) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        if (m_now > TimePoint(scheduleEnd))
            break;
        event.mapped()();
    }
    for (const auto& [ticket, submission] : m_tickets) {
        const auto& host = m_hosts[submission.host];
        const bool isAlive = host.node && host.incarnation == submission.incarnation;
        if (isAlive && !submission.isSettled && !m_violation)
            recordViolation("ticket " + std::to_string(ticket) + " has no outcome");
    }
    return m_violation;
}

void Schedule::at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

void Schedule::scheduleFaults()
{
    auto atRandom = [&](std::function<void()> event) { at(TimePoint(randomDuration(300, 2500)), std::move(event)); };
    if (m_faults.hasCrashes) {
        for (std::uint64_t i = 0; i <= random(3); ++i) {
            atRandom([this] {
                const auto id = randomHost();
                crash(id);
                at(m_now + randomDuration(10, 600), [this, id] {
                    if (m_hosts[id].isListed && m_hosts[id].isCrashed)
                        start(id, m_defect == Defect::NoAbstention);
                });
            });
        }
    }
    if (m_faults.hasPauses) {
        for (std::uint64_t i = 0; i <= random(2); ++i)
            atRandom([this] { m_hosts[randomHost()].pausedUntil = m_now + randomDuration(50, 1500); });
    }
    if (m_faults.hasPartitions) {
        atRandom([this] {
            for (const auto& [id, host] : m_hosts) {
                if (random(2) == 0)
                    m_partitionedHosts.insert(id);
            }
            at(std::min(TimePoint(partitionsEnd), m_now + randomDuration(100, 1500)),
                [this] { m_partitionedHosts.clear(); });
        });
    }
    if (m_faults.hasViewChanges) {
        for (std::uint64_t i = 0; i <= random(4); ++i)
            atRandom([this] { replaceHost(); });
    }
}

void Schedule::tick(const HostId& id, Incarnation incarnation)
{
    runOnHost(id, incarnation, [this, id, incarnation](ClaimsNode& node) {
        apply(id, node.tick(m_now));
        at(m_now + tickInterval, [this, id, incarnation] { tick(id, incarnation); });
    });
}

void Schedule::submit(const Key& key)
{
    std::vector<HostId> candidates;
    for (const auto& [id, host] : m_hosts) {
        if (host.node && host.isListed && host.pausedUntil <= m_now)
            candidates.push_back(id);
    }
    if (candidates.empty())
        return;
    const auto id = candidates[random(candidates.size())];
    auto& host = m_hosts[id];
    const auto ticket = m_nextTicket++;
    m_tickets[ticket] = { key, id, host.incarnation };
    ++m_submitted;
    trace("submit key=" + std::to_string(key.high) + " host=" + id + " ticket=" + std::to_string(ticket));
    apply(id, host.node->begin(key, key.high, ticket, m_now));
}

void Schedule::apply(const HostId& id, ClaimsNode::Actions actions)
{
    for (auto& action : actions) {
        if (const auto* envelope = std::get_if<Envelope>(&action))
            send(id, *envelope);
        else if (const auto* order = std::get_if<Dispatch>(&action))
            dispatch(id, *order, m_hosts[id].incarnation);
        else
            settle(std::get<Settle>(action));
    }
}

void Schedule::send(const HostId& from, const Envelope& envelope)
{
    auto message = envelope.message;
    if (auto* reply = std::get_if<SyncReply>(&message); reply && m_defect == Defect::EmptySync)
        reply->grants.clear();
    if (const auto* request = std::get_if<ClaimRequest>(&message);
        request && m_defect == Defect::ForgedGrants && random(2) == 0) {
        const ClaimReply forged { request->key, request->claim, Verdict::Granted, {}, request->view };
        const auto to = envelope.to;
        at(m_now + milliseconds(1), [this, from, to, forged] { deliver(to, from, forged); });
    }
    const bool isLost = m_faults.hasLoss && random(10) == 0;
    const bool isDuplicated = m_faults.hasLoss && random(10) == 0;
    const auto to = envelope.to;
    for (int copy = isLost ? 1 : 0; copy < (isDuplicated ? 2 : 1); ++copy) {
        const auto delay = m_faults.hasLoss ? randomDuration(1, 60) : randomDuration(1, 5);
        at(m_now + delay, [this, from, to, message] { deliver(from, to, message); });
    }
}

void Schedule::deliver(const HostId& from, const HostId& to, const Message& message)
{
    if (m_partitionedHosts.contains(from) != m_partitionedHosts.contains(to))
        return;
    const auto found = m_hosts.find(to);
    if (found == m_hosts.end() || !found->second.node)
        return;
    runOnHost(to, found->second.incarnation, [this, from, to, message](ClaimsNode& node) {
        trace("deliver " + messageName(message) + " from=" + from + " to=" + to);
        apply(to, node.receive(from, message, m_now));
    });
}

void Schedule::dispatch(const HostId& id, const Dispatch& order, Incarnation incarnation)
{
    at(m_now + randomDuration(0, 20), [this, id, order, incarnation] {
        runOnHost(id, incarnation, [this, id, order, incarnation](ClaimsNode& node) {
            const bool isLate = m_now >= order.deadline;
            if ((isLate && m_defect != Defect::NoDeadlineCheck) || random(20) == 0) {
                trace("abandon key=" + std::to_string(order.key.high) + " host=" + id);
                apply(id, node.abandon(order.key, m_now));
                return;
            }
            auto& runs = m_runs[order.key];
            runs.push_back({ m_now, id, order.ticket });
            trace("run key=" + std::to_string(order.key.high) + " host=" + id);
            if (runs.size() > 1)
                recordViolation(
                    "key " + std::to_string(order.key.high) + " ran " + std::to_string(runs.size()) + " times");
            if (isLate)
                recordViolation("key " + std::to_string(order.key.high) + " ran after its deadline");
            if (m_defect == Defect::ReleaseAfterDispatch) {
                apply(id, node.abandon(order.key, m_now));
                return;
            }
            const bool isLost = random(20) == 0;
            at(m_now + randomDuration(1, 300), [this, id, order, incarnation, isLost] {
                runOnHost(id, incarnation, [this, id, order, isLost](ClaimsNode& running) {
                    const Answer answer { 201, "text/plain", "answer to " + std::to_string(order.key.high), id };
                    apply(id,
                        isLost ? running.reportUnknownOutcome(order.key, m_now)
                               : running.complete(order.key, answer, m_now));
                });
            });
        });
    });
}

void Schedule::settle(const Settle& settle)
{
    auto& submission = m_tickets[settle.ticket];
    if (submission.isSettled)
        recordViolation("ticket " + std::to_string(settle.ticket) + " was settled twice");
    submission.isSettled = true;
    const auto& runs = m_runs[submission.key];
    const bool isNotRun = settle.outcome == ClaimOutcome::NotRun
        || (m_defect == Defect::AlwaysNotRun && settle.outcome == ClaimOutcome::Unknown);
    trace("settle ticket=" + std::to_string(settle.ticket)
        + " outcome=" + std::to_string(static_cast<int>(settle.outcome)));
    if (isNotRun && !runs.empty())
        recordViolation("ticket " + std::to_string(settle.ticket) + " was settled as not run although its key ran");
    if (settle.outcome != ClaimOutcome::Answered)
        return;
    ++m_answered;
    if (settle.answer.body != "answer to " + std::to_string(submission.key.high) || runs.empty())
        recordViolation("ticket " + std::to_string(settle.ticket) + " got a wrong answer");
}

void Schedule::start(const HostId& id, bool isFirstStart)
{
    auto& host = m_hosts[id];
    ClaimsNode::Options options;
    options.self = id;
    options.incarnation = ++host.incarnation;
    options.timing = m_timing;
    options.isFirstStart = isFirstStart;
    host.node.emplace(options, m_now);
    host.isCrashed = false;
    host.pausedUntil = {};
    trace("start host=" + id + " incarnation=" + std::to_string(host.incarnation));
    applyHostList(id, m_revision);
    tick(id, host.incarnation);
}

void Schedule::crash(const HostId& id)
{
    trace("crash host=" + id);
    m_hosts[id].node.reset();
    m_hosts[id].isCrashed = true;
}

void Schedule::replaceHost()
{
    auto list = m_lists[m_revision];
    const auto replaced = random(list.size());
    const auto old = list[replaced].id;
    list[replaced].id = "h" + std::to_string(m_nextHost++);
    const auto added = list[replaced].id;
    m_lists[++m_revision] = list;
    trace("replace host=" + old + " by=" + added);
    m_hosts[old].isListed = false;
    // The process on the removed host may keep running for a while without knowing of its removal.
    const auto incarnation = m_hosts[old].incarnation;
    at(m_now + randomDuration(0, 1000), [this, old, incarnation] {
        if (m_hosts[old].node && m_hosts[old].incarnation == incarnation)
            crash(old);
    });
    m_hosts[added].isListed = true;
    start(added, false);
    const auto revision = m_revision;
    for (const auto& [id, host] : m_hosts)
        at(m_now + randomDuration(0, 500), [this, id = id, revision] { applyHostList(id, revision); });
}

void Schedule::applyHostList(const HostId& id, std::uint64_t revision)
{
    runOnHost(id, m_hosts[id].incarnation,
        [this, id, revision](ClaimsNode& node) { apply(id, node.setHosts(revision, m_lists[revision], true, m_now)); });
}

void Schedule::runOnHost(const HostId& id, Incarnation incarnation, std::function<void(ClaimsNode&)> event)
{
    auto& host = m_hosts[id];
    if (!host.node || host.incarnation != incarnation)
        return;
    if (host.pausedUntil > m_now) {
        at(host.pausedUntil, [this, id, incarnation, event = std::move(event)] { runOnHost(id, incarnation, event); });
        return;
    }
    event(*host.node);
}

Duration Schedule::randomDuration(std::int64_t fromMilliseconds, std::int64_t toMilliseconds)
{
    return milliseconds(fromMilliseconds
        + static_cast<std::int64_t>(random(static_cast<std::uint64_t>(toMilliseconds - fromMilliseconds + 1))));
}

HostId Schedule::randomHost()
{
    std::vector<HostId> live;
    for (const auto& [id, host] : m_hosts) {
        if (host.node)
            live.push_back(id);
    }
    if (live.empty())
        return m_hosts.begin()->first;
    return live[random(live.size())];
}

void Schedule::recordViolation(const std::string& what)
{
    if (!m_violation)
        m_violation = what;
}

void Schedule::trace(const std::string& line)
{
    if (m_trace)
        m_trace(
            std::to_string(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count()) + " " + line);
}

}
