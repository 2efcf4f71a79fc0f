#pragma once

#include "claims/ClaimsNode.h"
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace eelgrassford::claims::test {

/// @brief Faults that a schedule may contain.
struct Faults {
    bool hasLoss = false;
    bool hasCrashes = false;
    bool hasPauses = false;
    bool hasPartitions = false;
    bool hasViewChanges = false;
};

/// @brief Deliberate defects, to show that the checks notice them.
enum class Defect {
    None,
    /// Every claim gets one grant that no witness gave.
    QuorumOneShort,
    /// A restarted daemon says that it never granted anything.
    NoAbstention,
    /// The sender ignores the dispatch deadline after a pause.
    NoDeadlineCheck,
    /// Witnesses do not hand over their grants.
    EmptySync,
    /// Keys are given back although their request was sent.
    ReleaseAfterDispatch,
    /// A refused claim is called "not run" without looking at the grants.
    AlwaysNotRun,
};

/// @brief One seeded run of a small fleet's claims under faults, with its checks.
class Schedule {
public:
    Schedule(std::uint64_t seed, const Faults& faults, Defect defect, std::size_t hosts);

    /// @brief Runs to the end.
    /// @return the first violation, or nothing
    std::optional<std::string> run();

    std::size_t submitted() const { return m_submitted; }
    std::size_t answered() const { return m_answered; }
    /// @brief One line for each event, for golden sessions.
    void setTrace(std::function<void(const std::string&)> trace) { m_trace = std::move(trace); }

private:
    struct Host {
        std::optional<ClaimsNode> node;
        Incarnation incarnation = 0;
        TimePoint pausedUntil {};
        bool isListed = false;
        bool isCrashed = false;
        std::uint64_t knownRevision = 0;
    };
    struct Run {
        TimePoint at;
        HostId host;
        Ticket ticket;
    };
    struct Submission {
        Key key;
        HostId host;
        Incarnation incarnation;
        bool isSettled = false;
    };

    void at(TimePoint time, std::function<void()> event);
    void scheduleFaults();
    void tick(const HostId& id, Incarnation incarnation);
    void submit(const Key& key);
    void apply(const HostId& id, ClaimsNode::Actions actions);
    void send(const HostId& from, const Envelope& envelope);
    void deliver(const HostId& from, const HostId& to, const Message& message);
    void dispatch(const HostId& id, const Dispatch& dispatch, Incarnation incarnation);
    void settle(const Settle& settle);
    void start(const HostId& id, bool isFirstStart);
    void crash(const HostId& id);
    void replaceHost();
    void learnList(const HostId& id, std::uint64_t revision);
    /// Runs the event now, or when the host wakes up.
    void onHost(const HostId& id, Incarnation incarnation, std::function<void(ClaimsNode&)> event);
    std::uint64_t random(std::uint64_t limit) { return m_random() % limit; }
    Duration randomDuration(std::int64_t fromMilliseconds, std::int64_t toMilliseconds);
    HostId randomHost();
    void violate(const std::string& what);
    void trace(const std::string& line);

    std::mt19937_64 m_random;
    Faults m_faults;
    Defect m_defect;
    Timing m_timing;
    TimePoint m_now {};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<HostId, Host> m_hosts;
    std::map<std::uint64_t, std::vector<EntryHost>> m_lists;
    std::uint64_t m_revision = 1;
    std::size_t m_nextHost = 1;
    std::set<HostId> m_cutOff;
    std::map<Key, std::vector<Run>> m_runs;
    std::map<Ticket, Submission> m_tickets;
    Ticket m_nextTicket = 1;
    std::size_t m_submitted = 0;
    std::size_t m_answered = 0;
    std::optional<std::string> m_violation;
    std::function<void(const std::string&)> m_trace;
};

}
