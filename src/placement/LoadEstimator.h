#pragma once

#include "common/Time.h"
#include "placement/SlotTable.h"
#include <deque>
#include <vector>

namespace eelgrassford::placement {

/// @brief Work of a request in decode-token equivalents.
///
/// A prompt token that is not cached costs a fraction of a generated one, because prefill is batched.
inline constexpr double prefillCostPerToken = 0.1;

/// Tokens that a request is expected to generate, or to have left to generate, if nothing else is known.
inline constexpr double defaultOutputTokens = 256;

/// @brief Work of a request.
/// @param uncachedPromptTokens prompt tokens that the engine must compute
/// @param outputTokens tokens expected to be generated
constexpr double workOf(double uncachedPromptTokens, double outputTokens)
{
    return prefillCostPerToken * uncachedPromptTokens + outputTokens;
}

/// @brief Estimates each runner's outstanding work from late reports and the dispatches known since.
class LoadEstimator {
public:
    /// @brief Starts to keep a runner; keeps its figures if it is known.
    void add(RunnerIndex runner, double weight);
    void remove(RunnerIndex runner);

    /// @brief Takes a runner's report.
    /// @param work outstanding work when the report was made
    /// @param sampledAt time at which it was made, on this daemon's clock
    void report(RunnerIndex runner, double work, TimePoint sampledAt);
    /// @brief Records work given to a runner (negative when finished), by this daemon or by a peer.
    void addWork(RunnerIndex runner, double work, TimePoint at);

    /// @brief Estimated outstanding work over the runner's weight.
    /// @complexity constant
    double load(RunnerIndex runner) const { return m_runners[runner].estimate() / m_runners[runner].weight; }
    /// @brief Mean load over the runners, weighted.
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
        double since = 0.0;
        TimePoint sampledAt {};
        std::deque<Delta> deltas;

        double estimate() const { return reported + since > 0.0 ? reported + since : 0.0; }
    };

    template <typename Change> void change(RunnerIndex runner, Change&& apply);

    std::vector<Runner> m_runners;
    double m_totalWork = 0.0;
    double m_totalWeight = 0.0;
};

}
