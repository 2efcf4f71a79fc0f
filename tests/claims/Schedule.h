#pragma once

#include "claims/ClaimsNode.h"
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace eelgrassford::claims::test {

/// @brief Kinds of faults that a schedule injects.
struct Faults {
    /// Messages are lost, duplicated and delayed.
    bool hasLoss = false;
    bool hasCrashes = false;
    bool hasPauses = false;
    bool hasPartitions = false;
    /// Hosts are replaced by new ones in the host list.
    bool hasViewChanges = false;
};

/// @brief Deliberate defects, which the checks must detect.
enum class Defect {
    None,
    /// About half of the claim requests get a forged grant, so that a quorum may lack a real one.
    ForgedGrants,
    /// A restarted daemon starts as if the fleet started for the first time.
    NoAbstention,
    /// The sender ignores the dispatch deadline after a pause.
    NoDeadlineCheck,
    /// Witnesses reply to sync requests without their grants.
    EmptySync,
    /// Keys are released although their request was sent.
    ReleaseAfterDispatch,
    /// Every unknown outcome is reported as not run.
    AlwaysNotRun,
};

/// @brief Simulates the claims of a small fleet under random faults and checks that each key runs at most once.
///
/// Simulated time and a seed make each run reproducible.
class Schedule {
public:
    Schedule(std::uint64_t seed, const Faults& faults, Defect defect, std::size_t hosts);

    /// @brief Runs the simulation to its end.
    /// @return the first violation of the guarantees, or nothing
    std::optional<std::string> run();

    std::size_t submitted() const { return m_submitted; }
    std::size_t answered() const { return m_answered; }
    /// @brief Sets a function that receives one line for each event.
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
    void applyHostList(const HostId& id, std::uint64_t revision);
    /// Runs the event now, or at the end of the host's pause; drops it if this incarnation of the host is gone.
    void runOnHost(const HostId& id, Incarnation incarnation, std::function<void(ClaimsNode&)> event);
    std::uint64_t random(std::uint64_t limit) { return m_random() % limit; }
    Duration randomDuration(std::int64_t fromMilliseconds, std::int64_t toMilliseconds);
    HostId randomHost();
    void recordViolation(const std::string& what);
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
    /// Hosts on one side of the partition.
    std::set<HostId> m_partitionedHosts;
    std::map<Key, std::vector<Run>> m_runs;
    std::map<Ticket, Submission> m_tickets;
    Ticket m_nextTicket = 1;
    std::size_t m_submitted = 0;
    std::size_t m_answered = 0;
    std::optional<std::string> m_violation;
    std::function<void(const std::string&)> m_trace;
};

}
