#pragma once

#include "membership/View.h"
#include "placement/Strategy.h"
#include <map>
#include <string>

namespace eelgrassford::placement {

/// @brief Change of a runner's outstanding work since the last digest, in decode-token equivalents.
struct WorkDelta {
    membership::HostId runner;
    double work = 0.0;
};

/// @brief The runners that serve one model or plain service, with the state that placement keeps about them.
class RunnerPool {
public:
    struct Options {
        /// Largest load of a runner, as a multiple of the mean load.
        double loadBound = 1.25;
        /// Largest number of placement exceptions kept.
        std::size_t exceptionCapacity = 50000;
    };

    RunnerPool(const Options& options, std::unique_ptr<Strategy> strategy);

    void setLoadBound(double bound) { m_options.loadBound = bound; }
    /// @brief Sets the strategy by its name; the strategy in use keeps its state if the name is the same.
    /// @param name as for makeStrategy()
    /// @return false, with nothing changed, if the name is unknown
    bool setStrategy(std::string_view name, const RandomSource& random);

    /// @brief Replaces the set of runners by the hosts that serve the model or service now.
    /// @param view gives the eligibility of each host and its slow-start factor
    void update(std::span<const membership::Host> hosts, const membership::View& view, TimePoint now);
    /// @brief Chooses a runner for a request; adds no work to it.
    /// @param excluded runners that must not be chosen, such as those that failed this request
    Decision choose(const Request& request, std::span<const membership::HostId> excluded, TimePoint now);
    /// @brief Adds work that this daemon dispatched to a runner, and queues the change for the peers.
    /// @param work outstanding work added, in decode-token equivalents; negative when a request has finished
    void addWork(const membership::HostId& runner, double work, TimePoint now);
    /// @brief Adds work that a peer dispatched to a runner; negative when a request has finished.
    void addPeerWork(const membership::HostId& runner, double work, TimePoint now);
    /// @brief Applies a runner's report of its outstanding work.
    /// @param sampledAt time at which the report was made, on this daemon's clock
    void report(const membership::HostId& runner, double work, TimePoint sampledAt);
    /// @brief Removes the placement exceptions that point to a runner, whose prefix cache was lost in a restart.
    void handleRunnerRestart(const membership::HostId& runner);

    /// @brief Returns the queued changes of the runners' work and clears the queue.
    std::vector<WorkDelta> takeWorkDeltas();
    PlacementExceptionCache& exceptions() { return m_exceptions; }
    /// @brief Id of a runner; empty for noRunner.
    membership::HostId idOf(RunnerIndex runner) const
    {
        return runner == noRunner ? membership::HostId() : m_ids[runner];
    }
    /// @brief Index of a runner, or noRunner if it has never been listed.
    RunnerIndex indexOf(const membership::HostId& id) const;
    const LoadEstimator& loads() const { return m_loads; }
    std::span<const SlotTable::Member> members() const { return m_table.members(); }
    /// @brief Largest load of a runner divided by the mean load; 0 without load.
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
