#include "work/RemainingWork.h"

#include <algorithm>
#include <cmath>

namespace eelgrassford::work {

Amount& Amount::operator+=(const Amount& other)
{
    prefillTokens += other.prefillTokens;
    outputMs += other.outputMs;
    residentTokens += other.residentTokens;
    return *this;
}

Amount& Amount::operator-=(const Amount& other)
{
    // Differences of rounded sums may fall below zero.
    prefillTokens = std::max(0.0, prefillTokens - other.prefillTokens);
    outputMs = std::max(0.0, outputMs - other.outputMs);
    residentTokens = std::max(0.0, residentTokens - other.residentTokens);
    return *this;
}

RemainingWork::Dispatched RemainingWork::begin(RunnerKey runner, const Amount& amount, TimePoint now)
{
    auto& state = m_runners[runner];
    state.own += amount;
    state.usedAt = now;
    state.requests.add(1.0, m_options.rateWindow, now);
    return { runner, amount };
}

void RemainingWork::advance(Dispatched& dispatched, double outputMs)
{
    const Amount done { dispatched.left.prefillTokens, std::min(outputMs, dispatched.left.outputMs), 0.0 };
    dispatched.left -= done;
    if (const auto found = m_runners.find(dispatched.runner); found != m_runners.end())
        found->second.own -= done;
}

void RemainingWork::end(const Dispatched& dispatched)
{
    if (const auto found = m_runners.find(dispatched.runner); found != m_runners.end())
        found->second.own -= dispatched.left;
}

void RemainingWork::setPeers(const std::unordered_map<RunnerKey, Amount>& peers)
{
    for (auto& [key, state] : m_runners)
        state.peers = {};
    for (const auto& [key, amount] : peers)
        m_runners[key].peers = amount;
}

double RemainingWork::decay(const State& state, TimePoint now) const
{
    return std::exp(-toSeconds(now - state.decayedAt) / toSeconds(m_options.learningWindow));
}

double RemainingWork::learned(const State& state, TimePoint now) const
{
    if (state.observations == 0.0)
        return 1.0;
    const auto weight = decay(state, now);
    const auto mean = state.logRatios * weight / (state.observations * weight + m_options.priorObservations);
    return std::clamp(std::exp(mean), m_options.fastest, m_options.slowest);
}

double RemainingWork::currentFactor(const State& state, TimePoint now) const
{
    if (state.reported == 1.0)
        return 1.0;
    const auto weight = std::exp2(-toSeconds(now - state.reportedAt) / toSeconds(m_options.reportHalfLife));
    return 1.0 + (state.reported - 1.0) * state.trust * weight;
}

void RemainingWork::recordReport(RunnerKey runner, double slowdown, TimePoint now)
{
    auto& state = m_runners[runner];
    state.reported = slowdown;
    state.reportedAt = now;
    state.usedAt = now;
}

void RemainingWork::recordSpeed(RunnerKey runner, double ratio, TimePoint now)
{
    auto& state = m_runners[runner];
    const auto bounded = std::clamp(ratio, m_options.fastest, m_options.slowest);
    const auto weight = decay(state, now);
    // Only a recent report can be compared with what the responses show.
    if (now - state.reportedAt <= m_options.reportHalfLife) {
        const auto disagreement = std::abs(std::log(bounded / state.reported));
        if (disagreement > std::log(m_options.contradiction))
            state.trust *= 1.0 - m_options.trustLoss;
        else
            state.trust += (1.0 - state.trust) * m_options.trustGain;
    }
    state.logRatios = state.logRatios * weight + std::log(bounded);
    state.observations = state.observations * weight + 1.0;
    state.decayedAt = now;
    state.usedAt = now;
}

Amount RemainingWork::own(RunnerKey runner) const
{
    const auto found = m_runners.find(runner);
    return found == m_runners.end() ? Amount {} : found->second.own;
}

RemainingWork::View RemainingWork::view(RunnerKey runner, TimePoint now) const
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end())
        return {};
    const auto& state = found->second;
    View result { state.own, 1.0, state.requests.valueAt(m_options.rateWindow, now) / toSeconds(m_options.rateWindow) };
    result.left += state.peers;
    // The learned slowdown includes what a report states once the responses show it.
    const auto fromResponses = learned(state, now);
    const auto fromReport = currentFactor(state, now);
    result.slowdown = fromReport >= 1.0 ? std::max(fromResponses, fromReport) : fromResponses * fromReport;
    return result;
}

void RemainingWork::removeIdle(TimePoint now)
{
    std::erase_if(m_runners, [&](const auto& entry) {
        const auto& state = entry.second;
        return !state.own.isNoticeable() && !state.peers.isNoticeable() && now - state.usedAt > m_options.idleLifetime;
    });
}

}
