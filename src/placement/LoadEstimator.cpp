#include "placement/LoadEstimator.h"

namespace eelgrassford::placement {

void LoadEstimator::add(RunnerIndex runner, double weight)
{
    if (runner >= m_runners.size())
        m_runners.resize(runner + 1);
    auto& entry = m_runners[runner];
    if (entry.isActive) {
        m_totalWeight += weight - entry.weight;
        entry.weight = weight;
        return;
    }
    entry = {};
    entry.isActive = true;
    entry.weight = weight;
    m_totalWeight += weight;
}

void LoadEstimator::remove(RunnerIndex runner)
{
    if (!isKnown(runner))
        return;
    m_totalWork -= m_runners[runner].estimate();
    m_totalWeight -= m_runners[runner].weight;
    m_runners[runner] = {};
}

template <typename Change> void LoadEstimator::change(RunnerIndex runner, Change&& apply)
{
    if (!isKnown(runner))
        return;
    auto& entry = m_runners[runner];
    m_totalWork -= entry.estimate();
    apply(entry);
    m_totalWork += entry.estimate();
}

void LoadEstimator::report(RunnerIndex runner, double work, TimePoint sampledAt)
{
    change(runner, [&](Runner& entry) {
        if (sampledAt < entry.sampledAt)
            return;
        entry.sampledAt = sampledAt;
        entry.reported = work;
        while (!entry.deltas.empty() && entry.deltas.front().at <= sampledAt) {
            entry.sinceReport -= entry.deltas.front().work;
            entry.deltas.pop_front();
        }
        if (entry.deltas.empty())
            entry.sinceReport = 0.0;
    });
}

void LoadEstimator::addWork(RunnerIndex runner, double work, TimePoint at)
{
    change(runner, [&](Runner& entry) {
        if (at <= entry.sampledAt)
            return;
        entry.deltas.push_back({ at, work });
        entry.sinceReport += work;
    });
}

}
