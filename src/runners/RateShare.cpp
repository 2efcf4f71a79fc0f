#include "runners/RateShare.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::runners {

namespace {

    /// Requests that a daemon may save up.
    constexpr double maxTokens = 1.0;
    /// Covers the rounding of times to nanoseconds.
    constexpr double tokenTolerance = 1e-6;

}

double shareOfLimit(double limit, std::uint64_t runner, const FleetView& fleet, const RateShareOptions& options)
{
    const auto used = std::max(limit * options.usedPart, options.minPerSecond);
    const auto wanted = static_cast<std::size_t>(limit * options.daemonsPerRequest) + options.extraDaemons;
    const auto chosen = std::min(wanted, fleet.others.size() + 1);
    const auto own = mix64(fleet.self, runner);
    const auto before = static_cast<std::size_t>(std::count_if(fleet.others.begin(), fleet.others.end(),
        [own, runner](std::uint64_t other) { return mix64(other, runner) > own; }));
    return before < chosen ? used / static_cast<double>(chosen) : 0.0;
}

RateShare::RateShare(double perSecond, double tokens, TimePoint now)
    : m_perSecond(perSecond)
    , m_tokens(perSecond > 0.0 ? tokens : 0.0)
    , m_updatedAt(now)
{
}

double RateShare::tokensAt(TimePoint now) const
{
    return std::min(maxTokens, m_tokens + m_perSecond * toSeconds(std::max(now - m_updatedAt, Duration::zero())));
}

void RateShare::setRate(double perSecond, TimePoint now)
{
    m_tokens = perSecond > 0.0 ? tokensAt(now) : 0.0;
    m_updatedAt = now;
    m_perSecond = perSecond;
}

bool RateShare::isAvailable(TimePoint now) const { return tokensAt(now) >= 1.0 - tokenTolerance; }

std::optional<TimePoint> RateShare::availableAt() const
{
    if (m_perSecond <= 0.0)
        return std::nullopt;
    return m_updatedAt + fromSeconds(std::max(0.0, 1.0 - m_tokens) / m_perSecond);
}

void RateShare::take(TimePoint now)
{
    m_tokens = tokensAt(now) - 1.0;
    m_updatedAt = now;
}

}
