#pragma once

#include "membership/View.h"
#include "placement/Strategy.h"
#include <map>
#include <string>

namespace eelgrassford::placement {

/// @brief Work given to a runner since the last digest.
struct WorkDelta {
    membership::HostId runner;
    double work = 0.0;
};

/// @brief The runners that serve one model or plain service, with everything that placement keeps for them.
class RunnerPool {
public:
    struct Options {
        double loadBound = 1.25;
        std::size_t exceptionCapacity = 50000;
    };

    RunnerPool(const Options& options, std::unique_ptr<Strategy> strategy);

    void setLoadBound(double bound) { m_options.loadBound = bound; }
    /// @brief Changes to a strategy by its name; the present one keeps what it has learned if the name is the same.
    /// @return false, with nothing changed, if the name is unknown
    bool setStrategy(std::string_view name, const RandomSource& random);

    /// @brief Takes the hosts that serve it now and their eligibility.
    void update(std::span<const membership::Host> hosts, const membership::View& view, TimePoint now);
    /// @brief Chooses a runner; records nothing.
    /// @param excluded runners that must not be chosen, such as those that failed this request
    Decision choose(const Request& request, std::span<const membership::HostId> excluded, TimePoint now);
    /// @brief Records work given to a runner, or taken from it when negative, and queues it for the peers.
    void addWork(const membership::HostId& runner, double work, TimePoint now);
    /// @brief Records work that a peer told of.
    void addPeerWork(const membership::HostId& runner, double work, TimePoint now);
    void report(const membership::HostId& runner, double work, TimePoint sampledAt);
    /// @brief A runner restarted: what it held is gone.
    void handleRunnerRestart(const membership::HostId& runner);

    std::vector<WorkDelta> takeWorkDeltas();
    PlacementExceptionCache& exceptions() { return m_exceptions; }
    /// @brief Name of a runner; empty for noRunner.
    membership::HostId idOf(RunnerIndex runner) const
    {
        return runner == noRunner ? membership::HostId() : m_ids[runner];
    }
    /// @brief Index of a runner, or noRunner.
    RunnerIndex indexOf(const membership::HostId& id) const;
    const LoadEstimator& loads() const { return m_loads; }
    std::span<const SlotTable::Member> members() const { return m_table.members(); }
    /// @brief Largest over mean load; 0 without load.
    double skew() const;
    bool isEmpty() const { return m_table.members().empty(); }

private:
    RunnerIndex assignIndex(const membership::HostId& id);

    Options m_options;
    std::unique_ptr<Strategy> m_strategy;
    std::string m_strategyName;
    SlotTable m_table;
    LoadEstimator m_loads;
    PlacementExceptionCache m_exceptions;
    std::vector<membership::HostId> m_ids;
    std::map<membership::HostId, RunnerIndex> m_indices;
    std::vector<std::uint8_t> m_eligible;
    std::map<RunnerIndex, double> m_deltas;
};

}
