#include "runners/TokenBucket.h"

#include <algorithm>

namespace eelgrassford::runners {

namespace {

    /// Requests that may be saved up.
    constexpr double maxTokens = 1.0;
    /// Covers the rounding of times to nanoseconds.
    constexpr double tokenTolerance = 1e-6;

}

TokenBucket::TokenBucket(double perSecond, double tokens, TimePoint now)
    : m_perSecond(perSecond)
    , m_tokens(perSecond > 0.0 ? tokens : 0.0)
    , m_updatedAt(now)
{
}

double TokenBucket::tokensAt(TimePoint now) const
{
    return std::min(maxTokens, m_tokens + m_perSecond * toSeconds(std::max(now - m_updatedAt, Duration::zero())));
}

void TokenBucket::setRate(double perSecond, TimePoint now)
{
    m_tokens = perSecond > 0.0 ? tokensAt(now) : 0.0;
    m_updatedAt = now;
    m_perSecond = perSecond;
}

bool TokenBucket::isAvailable(TimePoint now) const { return tokensAt(now) >= 1.0 - tokenTolerance; }

std::optional<TimePoint> TokenBucket::availableAt() const
{
    if (m_perSecond <= 0.0)
        return std::nullopt;
    return m_updatedAt + fromSeconds(std::max(0.0, 1.0 - m_tokens) / m_perSecond);
}

void TokenBucket::take(TimePoint now)
{
    m_tokens = tokensAt(now) - 1.0;
    m_updatedAt = now;
}

}
