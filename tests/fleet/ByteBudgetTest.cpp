#include "fleet/ByteBudget.h"

#include <doctest/doctest.h>

using namespace eelgrassford;

TEST_CASE("changes for other daemons take no more than their share of a thin link")
{
    // Load: twenty-four daemons ask one reader for a large configuration at the same moment, and ask again until
    // served.
    const TimePoint start { std::chrono::seconds(100) };
    constexpr double rate = 156250.0;
    constexpr std::size_t delta = 50000;
    fleet::ByteBudget budget(rate, start);
    int served = 0;
    for (int step = 0; step < 100; ++step) {
        const auto now = start + std::chrono::milliseconds(100) * step;
        for (int daemon = served; daemon < 24; ++daemon)
            served += budget.tryTake(delta, now) ? 1 : 0;
        const auto allowed = rate * (1.0 + 0.1 * step) + delta;
        CHECK(static_cast<double>(served * delta) <= allowed);
    }
    CHECK(served == 24);
}
