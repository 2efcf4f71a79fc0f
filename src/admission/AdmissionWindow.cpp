#include "admission/AdmissionWindow.h"

#include <algorithm>

namespace eelgrassford::admission {

namespace {

    /// 2^64 over the golden ratio.
    constexpr std::uint64_t goldenSection = 0x9e3779b97f4a7c15ULL;
    /// Epochs that are searched; the callers of the platform wait for less than these 38 s.
    constexpr std::uint64_t maxEpochs = 128;
    /// Shortest Retry-After, for callers with hardly any time left.
    constexpr Duration minimumRetryAfter = std::chrono::milliseconds(20);

}

double AdmissionWindow::positionOf(std::uint64_t hash, std::uint64_t epoch)
{
    // The largest hash must stay below 1, so that a share of 1 refuses nothing.
    return static_cast<double>((hash + epoch * goldenSection) >> 11) * 0x1.0p-53;
}

Duration AdmissionWindow::retryAfter(
    std::uint64_t hash, double share, Duration fleetTime, Duration latest, double draw) const
{
    const auto current = epochAt(fleetTime);
    const auto seconds = toSeconds(m_options.epoch);
    const auto inEpoch = fromSeconds(seconds * (m_options.margin + (1.0 - 2.0 * m_options.margin) * draw));
    // Callers with less time than until the next epoch do not all return at the same moment.
    auto best = fromSeconds(toSeconds(latest) * (1.0 + draw) / 2.0);
    double bestPosition = 1.0;
    for (std::uint64_t step = 1; step <= maxEpochs; ++step) {
        const auto epoch = current + step;
        const auto begin = m_options.epoch * static_cast<std::int64_t>(epoch) - fleetTime;
        if (begin + inEpoch > latest)
            break;
        const auto position = positionOf(hash, epoch);
        if (position < bestPosition) {
            bestPosition = position;
            best = begin + inEpoch;
        }
        if (position < share * m_options.innerPart)
            break;
    }
    return std::max(best, minimumRetryAfter);
}

}
