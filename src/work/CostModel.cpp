#include "work/CostModel.h"

#include "common/Hash.h"
#include <algorithm>
#include <cmath>

namespace eelgrassford::work {

namespace {

    /// Weight of the initial rates of a service, in observations.
    constexpr double priorObservations = 3.0;
    /// Limits of the learned time of a prompt token, in milliseconds. A request that waits for other reasons must not
    /// make prompts look endless.
    constexpr double fastestPrefill = 0.002;
    constexpr double slowestPrefill = 2.0;

    std::uint64_t keyOf(std::string_view route, std::string_view organisation)
    {
        return hash64(organisation, hash64(route));
    }

}

void CostModel::Mean::add(double value, double count, Duration window, TimePoint now)
{
    const auto factor = std::exp(-toSeconds(now - decayedAt) / toSeconds(window));
    sum = sum * factor + value;
    weight = weight * factor + count;
    decayedAt = now;
}

double CostModel::Mean::value(double prior, double priorWeight, Duration window, TimePoint now) const
{
    const auto factor = std::exp(-toSeconds(now - decayedAt) / toSeconds(window));
    return (sum * factor + prior * priorWeight) / (weight * factor + priorWeight);
}

double CostModel::meanOf(const Sums& sums, double prior) const
{
    return (sums.amounts + prior * m_options.priorRequests) / (sums.completions + m_options.priorRequests);
}

CostModel::Estimate CostModel::estimate(
    std::string_view route, std::string_view organisation, std::optional<double> hint, double unknown) const
{
    const auto ofRoute = m_routes.find(keyOf(route, {}));
    const auto ofPair = m_pairs.find(keyOf(route, organisation));
    const auto prior = ofRoute == m_routes.end() ? hint.value_or(unknown) : meanOf(ofRoute->second, unknown);
    const auto mean = ofPair == m_pairs.end() ? prior : meanOf(ofPair->second, prior);
    const auto completions = ofPair == m_pairs.end() ? 0.0 : ofPair->second.completions;
    const auto uncertainty = mean / std::sqrt(completions + 1.0);
    if (!hint || ofRoute == m_routes.end())
        return { mean, uncertainty };
    // The more accurate of the two counts more, by the inverse of its squared error.
    const auto hintError = ofRoute->second.hintErrors + 1.0;
    const auto meanError = ofRoute->second.meanErrors + 1.0;
    const auto weight = meanError * meanError / (meanError * meanError + hintError * hintError);
    return { weight * *hint + (1.0 - weight) * mean, uncertainty };
}

void CostModel::add(Sums& sums, std::optional<double> hint, const Observed& observed) const
{
    const auto kept = 1.0 - 1.0 / m_options.memory;
    const auto before = meanOf(sums, observed.amount);
    sums.amounts = sums.amounts * kept + observed.amount;
    sums.completions = sums.completions * kept + (observed.isComplete ? 1.0 : 0.0);
    if (!hint || !observed.isComplete)
        return;
    sums.hintErrors = sums.hintErrors * kept + std::abs(observed.amount - *hint);
    sums.meanErrors = sums.meanErrors * kept + std::abs(observed.amount - before);
}

void CostModel::record(
    std::string_view route, std::string_view organisation, std::optional<double> hint, const Observed& observed)
{
    const auto routeKey = keyOf(route, {});
    if (m_routes.contains(routeKey) || m_routes.size() < m_options.routeLimit)
        add(m_routes[routeKey], hint, observed);
    const auto pairKey = keyOf(route, organisation);
    if (!m_pairs.contains(pairKey) && m_pairs.size() >= m_options.pairLimit)
        m_pairs.erase(m_pairs.begin());
    add(m_pairs[pairKey], hint, observed);
}

void CostModel::recordFirstEvent(
    const std::string& service, double tokens, double pendingTokens, double milliseconds, TimePoint now)
{
    auto& rates = m_services[service];
    rates.tokens.add(tokens, 1.0, m_options.rateWindow, now);
    // Short prompts spend their time elsewhere and would say little about the time of a token.
    constexpr double minTokens = 256.0;
    if (tokens + pendingTokens >= minTokens)
        rates.prefill.add(milliseconds, tokens + pendingTokens, m_options.rateWindow, now);
}

void CostModel::recordEventGap(const std::string& service, double milliseconds, TimePoint now)
{
    m_services[service].eventGap.add(milliseconds, 1.0, m_options.rateWindow, now);
}

void CostModel::recordRequest(const std::string& service, double milliseconds, TimePoint now)
{
    m_services[service].request.add(milliseconds, 1.0, m_options.rateWindow, now);
}

Rates CostModel::rates(const std::string& service, TimePoint now) const
{
    Rates result;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    const auto& [name, rates] = *found;
    const auto window = m_options.rateWindow;
    constexpr double priorTokens = 1000.0;
    result.prefillMsPerToken = std::clamp(
        rates.prefill.value(result.prefillMsPerToken, priorTokens, window, now), fastestPrefill, slowestPrefill);
    result.eventMs = rates.eventGap.value(result.eventMs, priorObservations, window, now);
    result.requestMs = rates.request.value(result.requestMs, priorObservations, window, now);
    result.prefillTokens = rates.tokens.value(result.prefillTokens, priorObservations, window, now);
    return result;
}

}
