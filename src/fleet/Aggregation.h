#pragma once

#include "common/Time.h"
#include "fleet/Digest.h"
#include "fleet/Members.h"
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::fleet {

/// @brief Size of the groups, intervals and timeouts of aggregation.
struct AggregationOptions {
    /// Present daemons, this one included, from which aggregation is used, and below which it ends.
    std::size_t startSize = 96;
    std::size_t endSize = 80;
    /// Daemons for each aggregator.
    std::size_t daemonsPerAggregator = 24;
    /// Time between the reports of a daemon, and between the summaries of an aggregator.
    Duration interval = std::chrono::milliseconds(250);
    /// Age at which a summary expires.
    Duration summaryLifetime = std::chrono::milliseconds(1250);
    /// Time without a summary after which an aggregator is suspected to be unreachable. It exceeds the lifetime of
    /// summaries, so that the group's last sum has expired before its daemons are counted in other groups.
    Duration responseTimeout = std::chrono::milliseconds(1750);
    /// The same for an aggregator that has not answered since it was chosen, and therefore counts nothing yet.
    Duration firstResponseTimeout = std::chrono::milliseconds(750);
    /// Time for which a suspected aggregator is not chosen. A dead one is no longer known as present by then.
    Duration suspicionTime = std::chrono::seconds(40);
    /// Reports that wait for their acknowledgement; older ones are dropped.
    std::size_t maxPendingReports = 16;
};

/// @brief Sums the load of a large fleet in two levels, so that the messages of a daemon do not grow with the fleet.
/// No I/O.
///
/// Load pattern: several hundred daemons that each have a few requests at a few of the runners. Digests from each to
/// each would cost more than the requests.
///
/// Some daemons are aggregators: the first ones in the order of a hash of their addresses, on which daemons that know
/// the same members agree. Every daemon reports its digest to one of them, chosen by rendezvous hashing. An aggregator
/// sums up the digests that name it, exchanges the sums of the groups with the other aggregators, and returns the sum
/// of the fleet. A daemon subtracts its own part from it: the summary states the newest report that it contains.
///
/// Views may differ for a while. Each digest names a single aggregator and only that one counts it, so that no load is
/// counted twice; an aggregator that does not answer is replaced by each of its daemons on its own.
class Aggregation {
public:
    explicit Aggregation(std::string ownIp, const AggregationOptions& options = {});

    /// @brief Repeats the choice of the aggregators, and suspects those that do not answer.
    /// @param presentIps addresses of the other daemons that showed a sign of life lately
    /// @param hasReporters whether other daemons report to this one, which makes it an aggregator in any case
    void update(std::span<const std::string> presentIps, bool hasReporters, TimePoint now);
    /// @brief Whether the fleet is large enough for aggregation.
    bool isActive() const { return m_isActive; }
    /// @brief The aggregator of this daemon, which may be itself; empty if aggregation is not active.
    const std::string& aggregator() const { return m_aggregator; }
    /// @brief The aggregator before the last change, once after that change, which must stop to count this daemon.
    std::optional<std::string> takePreviousAggregator();
    bool isOwnAggregator() const { return m_isActive && m_aggregator == m_ownIp; }
    /// @brief Addresses to which an aggregator sends the sum of its group: the other aggregators that this daemon
    /// chose, and those that send it theirs.
    std::vector<std::string> otherAggregators(TimePoint now) const;
    /// @brief Whether an address is not chosen as an aggregator now.
    bool isSuspected(const std::string& ip, TimePoint now) const;
    /// @brief Suspects a daemon that said that it is leaving.
    void recordLeaving(const std::string& ip, TimePoint now);

    /// @brief Records a digest that is being sent to the aggregator.
    void recordReport(const Digest& digest, TimePoint now);
    /// @brief Stores a summary; ignores a repeated or older one of the same sender.
    /// @return whether the summary was stored
    bool receive(const Summary& summary, TimePoint now);
    /// @brief Time at which the report was sent that a summary acknowledges; empty if it is not known any more.
    std::optional<TimePoint> reportedAt(std::uint64_t sequence) const;

    /// @brief Sum of the other groups, for the summaries of an aggregator.
    std::vector<RunnerTotal> otherGroups(TimePoint now) const;
    /// @brief Daemons in the other groups.
    std::uint32_t otherGroupsSize(TimePoint now) const;
    /// @brief State of the fleet without this daemon, by its aggregator's newest summary; empty if that has expired.
    std::vector<RunnerTotal> fleetWithoutSelf(TimePoint now) const;
    /// @brief Adds the demands of the other groups.
    void addOtherGroupDemands(TimePoint now, admission::DemandSum& sum) const;
    /// @brief Adds the demands of the fleet without this daemon, by its aggregator's newest summary.
    void addFleetDemandsWithoutSelf(TimePoint now, admission::DemandSum& sum) const;
    /// @brief Daemons of the fleet by that summary, this one included; 0 if it has expired.
    std::uint32_t fleetSize(TimePoint now) const;

private:
    struct Report {
        std::uint64_t sequence = 0;
        TimePoint sentAt {};
        std::vector<RunnerState> runners;
        std::vector<admission::ServiceDemand> demands;
    };
    struct Received {
        Summary summary;
        TimePoint at {};
    };

    bool isFresh(const Received& received, TimePoint now) const;
    /// The report that the newest summary of the fleet contains; null if it is not known any more.
    const Report* acknowledgedReport() const;
    void suspectSilentAggregators(TimePoint now);
    void chooseAggregators(std::span<const std::string> presentIps, bool hasReporters, TimePoint now);

    std::string m_ownIp;
    AggregationOptions m_options;
    bool m_isActive = false;
    std::string m_aggregator;
    TimePoint m_aggregatorSince {};
    std::optional<std::string> m_previousAggregator;
    std::vector<std::string> m_peers;
    /// Time since which a peer is listed without interruption.
    std::map<std::string, TimePoint> m_peerSince;
    std::map<std::string, TimePoint> m_suspectedUntil;
    std::map<std::string, Received> m_groups;
    std::optional<Received> m_fleet;
    std::deque<Report> m_reports;
};

}
