#include "fleet/ByteBudget.h"

#include <doctest/doctest.h>

using namespace eelgrassford;

TEST_CASE("deltas served to other daemons stay within the byte rate when many ask at once")
{
    // Twenty-four daemons request a large delta from one reader at the same moment, and repeat the request until it is
    // served.
    const TimePoint start { std::chrono::seconds(100) };
    // An eighth of a link of 10 Mbit/s.
    constexpr double bytesPerSecond = 156250.0;
    constexpr std::size_t deltaBytes = 50000;
    fleet::ByteBudget budget(bytesPerSecond, start);
    int served = 0;
    for (int step = 0; step < 100; ++step) {
        const auto now = start + std::chrono::milliseconds(100) * step;
        for (int daemon = served; daemon < 24; ++daemon)
            served += budget.tryTake(deltaBytes, now) ? 1 : 0;
        const auto allowed = bytesPerSecond * (1.0 + 0.1 * step) + deltaBytes;
        CHECK(static_cast<double>(served * deltaBytes) <= allowed);
    }
    CHECK(served == 24);
}
