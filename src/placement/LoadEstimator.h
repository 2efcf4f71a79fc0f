#pragma once

#include "common/Time.h"
#include "placement/SlotTable.h"
#include <deque>
#include <vector>

namespace eelgrassford::placement {

/// @brief Work to compute an uncached prompt token, in decode-token equivalents (1 is the work to generate a token).
///
/// It is a fraction of 1 because prefill is batched.
inline constexpr double prefillCostPerToken = 0.1;

/// Tokens that a request is expected to generate, or to have left to generate, when no estimate is given.
inline constexpr double defaultOutputTokens = 256;

/// @brief Work of a request, in decode-token equivalents.
/// @param uncachedPromptTokens prompt tokens that the engine must compute
/// @param outputTokens tokens that the engine is expected to generate
constexpr double workOf(double uncachedPromptTokens, double outputTokens)
{
    return prefillCostPerToken * uncachedPromptTokens + outputTokens;
}

/// @brief Estimates each runner's outstanding work from its last report and the work dispatched after that report.
///
/// Work is in decode-token equivalents. A function for a runner that has not been added changes nothing.
class LoadEstimator {
public:
    /// @brief Adds a runner, or changes the weight of a known runner and keeps its outstanding work.
    /// @param weight capacity of the runner relative to the others
    void add(RunnerIndex runner, double weight);
    void remove(RunnerIndex runner);

    /// @brief Applies a runner's report; ignores it if a newer one has been applied.
    /// @param work outstanding work when the report was made
    /// @param sampledAt time at which the report was made, on this daemon's clock
    void report(RunnerIndex runner, double work, TimePoint sampledAt);
    /// @brief Adds work that this daemon or a peer dispatched to a runner.
    /// @param work outstanding work added; negative when a request has finished
    /// @param at time of the change on this daemon's clock; ignored if the last report already includes it
    void addWork(RunnerIndex runner, double work, TimePoint at);

    /// @brief Estimated outstanding work divided by the runner's weight.
    /// @pre the runner has been added
    /// @complexity constant
    double load(RunnerIndex runner) const { return m_runners[runner].estimate() / m_runners[runner].weight; }
    /// @brief Mean load of all runners, weighted by their weights; 0 without runners.
    /// @complexity constant
    double mean() const { return m_totalWeight > 0.0 ? m_totalWork / m_totalWeight : 0.0; }
    double weight(RunnerIndex runner) const { return m_runners[runner].weight; }
    bool isKnown(RunnerIndex runner) const { return runner < m_runners.size() && m_runners[runner].isActive; }

private:
    struct Delta {
        TimePoint at;
        double work;
    };
    struct Runner {
        bool isActive = false;
        double weight = 1.0;
        double reported = 0.0;
        /// Sum of the deltas, which are newer than the report.
        double sinceReport = 0.0;
        TimePoint sampledAt {};
        std::deque<Delta> deltas;

        double estimate() const { return reported + sinceReport > 0.0 ? reported + sinceReport : 0.0; }
    };

    /// Applies a change to a runner's entry and updates the total of the work.
    template <typename Change> void change(RunnerIndex runner, Change&& apply);

    std::vector<Runner> m_runners;
    double m_totalWork = 0.0;
    double m_totalWeight = 0.0;
};

}
