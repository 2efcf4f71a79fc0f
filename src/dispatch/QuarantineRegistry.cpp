#include "dispatch/QuarantineRegistry.h"

#include <algorithm>

namespace eelgrassford::dispatch {

namespace {

    constexpr std::uint32_t strikesForSingleSuspect = 2;
    constexpr std::uint32_t strikesForSeveralSuspects = 3;

}

QuarantineRegistry::QuarantineRegistry(const Options& options)
    : m_options(options)
{
}

QuarantineRegistry::QuarantineRegistry()
    : QuarantineRegistry(Options {})
{
}

std::vector<RequestDigest> QuarantineRegistry::recordUpstreamDeath(
    std::span<const RequestDigest> running, TimePoint now)
{
    std::vector<RequestDigest> suspects;
    std::copy_if(running.begin(), running.end(), std::back_inserter(suspects),
        [&](RequestDigest digest) { return m_strikes.contains(digest); });
    const bool isFirstCrash = suspects.empty();
    if (isFirstCrash)
        suspects.assign(running.begin(), running.end());
    const auto requiredStrikes = suspects.size() == 1 ? strikesForSingleSuspect : strikesForSeveralSuspects;
    std::vector<RequestDigest> quarantined;
    for (const auto digest : suspects) {
        auto& strikes = m_strikes[digest];
        ++strikes.count;
        strikes.lastAt = now;
        if (isFirstCrash || strikes.count < requiredStrikes)
            continue;
        quarantine(digest, now);
        quarantined.push_back(digest);
    }
    return quarantined;
}

void QuarantineRegistry::quarantine(RequestDigest digest, TimePoint now)
{
    m_quarantinedUntil[digest] = now + m_options.quarantineDuration;
}

bool QuarantineRegistry::isQuarantined(RequestDigest digest, TimePoint now) const
{
    return remaining(digest, now) > Duration::zero();
}

Duration QuarantineRegistry::remaining(RequestDigest digest, TimePoint now) const
{
    const auto found = m_quarantinedUntil.find(digest);
    return found == m_quarantinedUntil.end() ? Duration::zero() : std::max(Duration::zero(), found->second - now);
}

void QuarantineRegistry::tick(TimePoint now)
{
    std::erase_if(m_quarantinedUntil, [&](const auto& item) { return now >= item.second; });
    std::erase_if(m_strikes, [&](const auto& item) { return now - item.second.lastAt >= m_options.strikeRetention; });
}

}
