#pragma once

#include "admission/Demand.h"
#include "common/DecayingSum.h"
#include <optional>

namespace eelgrassford::admission {

/// @brief Divides the capacity of one service among organisations and priorities, by the work that callers request from
/// all daemons. Does no I/O.
///
/// Load pattern: a few organisations send many times their usual load, while a daemon sees one request in 60 to 100 and
/// cannot tell who they are.
///
/// The division is max-min fair, weighted by priority: of each flow, which is the work of one organisation and
/// priority, the service admits the lesser of the flow's demand and the level times the weight of its priority. The
/// level is such that the admitted work equals the capacity. The weights fall by a constant factor with each priority,
/// so that less urgent work is refused first, but an organisation that sends too much urgent work does not take the
/// place of the less urgent work of the others. No flow gets less than a part of the mean share.
///
/// Known are the heaviest flows of each daemon and the demand by priority. What remains is taken to come from flows as
/// heavy as the lightest of the twelve heaviest.
class OrganisationShares {
public:
    struct Options {
        /// Window of the decaying sums. The mean age of what they hold equals that of a plain sum over 2 s.
        Duration window = std::chrono::seconds(1);
        /// Weight of a priority over that of the next less urgent one. In the replay, with 3 the most urgent kind was
        /// served to 0.84 at 1.9 times the load, with 5 to 0.87, with 16 to 0.92; but with 16 an organisation at 7.5
        /// times its load took more than a twentieth of what the others send.
        double weightStep = 5.0;
        /// Part of the mean share that every flow keeps. The requirement is a quarter.
        double minimumShare = 0.3;
        /// Time over which the last known demand of the other daemons fades when none is received any more.
        Duration fadeTime = std::chrono::seconds(2);
        /// Flows that count as heavy; aggregators pass on as many of a service.
        std::size_t heavyFlows = 12;
        /// Own flows that are tracked, about 60 bytes each; the others count only towards their priority.
        std::size_t flowLimit = 4096;
    };

    OrganisationShares() = default;
    explicit OrganisationShares(const Options& options)
        : m_options(options)
    {
    }

    /// @brief Records that a caller of this daemon requested work, in slot-seconds.
    void record(FlowKey flow, double work, TimePoint now);
    /// @brief Sets what the other daemons report; null if none of them reports this service.
    void setOthers(const ServiceDemand* others, TimePoint now);
    /// @brief Work that the callers of this daemon request, with the heaviest flows.
    ServiceDemand ownDemand(std::size_t flowCount, TimePoint now) const;
    /// @brief Removes flows without requests for a while.
    void removeIdle(TimePoint now);

    /// @brief Divides a capacity; the shares hold until the next call.
    /// @param slots work per second that may be admitted
    /// @param largestShare upper limit of the share of all work that may be admitted
    /// @complexity proportional to the known flows: at most 12 of each daemon, or 12 in a large fleet
    void divide(double slots, double largestShare, TimePoint now);
    /// @brief Sets all shares to 1 until the next division.
    void admitAll();
    /// @brief Share of a flow's work that is admitted.
    double shareOf(FlowKey flow) const;
    /// @brief Share of the work of a priority's flows that are not among the heaviest ones.
    double shareOfLightFlows(std::size_t priority) const { return m_shareOfLightFlows[priority]; }
    /// @brief Admitted work over the demand of all flows.
    double meanShare() const { return m_meanShare; }
    /// @brief Smallest share of a known flow.
    double lowestShare() const;
    /// @brief Demand of all daemons in slots, as of the last division.
    double demand() const { return m_demand; }
    std::size_t flowCount() const { return m_ownFlows.size(); }

private:
    struct Part {
        double demand = 0.0;
        /// Weight of its priority, times the number of equal flows of which it consists.
        double weight = 1.0;
    };

    double weightOf(std::size_t priority) const;
    double rateOf(const DecayingSum& sum, TimePoint now) const;
    /// What remains of the last reported demand of the other daemons.
    double othersFactor(TimePoint now) const;
    /// Highest level at which the admitted work fits into a capacity.
    double levelFor(const std::vector<Part>& parts, double capacity) const;
    /// Share of a part that is admitted at a level.
    double shareAt(double level, const Part& part) const;
    /// Demand of the flows that are known one by one.
    std::unordered_map<FlowKey, double> knownFlows(TimePoint now) const;
    /// Demand of the lightest heavy flow by priority, or of the lightest of all for priorities without one.
    std::array<double, priorityCount> lightestHeavy(const std::unordered_map<FlowKey, double>& flows) const;

    Options m_options;
    std::array<DecayingSum, priorityCount> m_ownByPriority;
    std::unordered_map<FlowKey, DecayingSum> m_ownFlows;
    ServiceDemand m_others;
    std::optional<TimePoint> m_fadesSince;
    std::unordered_map<FlowKey, double> m_shares;
    std::array<double, priorityCount> m_shareOfLightFlows { 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0 };
    double m_meanShare = 1.0;
    double m_demand = 0.0;
};

}
