#include "dispatch/WindowedRetryBudget.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace eelgrassford;
using dispatch::WindowedRetryBudget;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start { std::chrono::seconds(1000) };
constexpr Duration window = std::chrono::seconds(10);

WindowedRetryBudget::Options options(double ratio, double allowance) { return { ratio, allowance, window }; }

std::size_t countSince(const std::deque<TimePoint>& times, TimePoint since)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](TimePoint time) { return time > since; }));
}

}

TEST_CASE("a daemon has no part of the fixed allowance during its first window")
{
    WindowedRetryBudget budget(options(0.2, 5.0), start);
    CHECK_FALSE(budget.tryTake(start));
    CHECK_FALSE(budget.tryTake(start + window - milliseconds(1)));
    CHECK(budget.tryTake(start + window));
}

namespace {

/// Replays a fleet whose daemons get bursts and quiet periods of requests, and restart now and then. Each takes every
/// retry that its budget allows at once. Checks each sliding window.
void replayRetries(std::size_t daemons, double allowance, int steps, Duration stepTime)
{
    constexpr double ratio = 0.2;
    const auto share = WindowedRetryBudget::shareOfAllowance(allowance, daemons);
    std::mt19937_64 random(20261204);
    std::vector<WindowedRetryBudget> budgets;
    for (std::size_t i = 0; i < daemons; ++i)
        budgets.emplace_back(options(ratio, share), start);
    std::deque<TimePoint> firstAttempts;
    std::deque<TimePoint> retries;
    for (int step = 0; step < steps; ++step) {
        const auto now = start + stepTime * step;
        const bool isBurst = (step / 700) % 3 == 0;
        const auto daemon = random() % daemons;
        if (random() % 1000 == 0)
            budgets[daemon] = WindowedRetryBudget(options(ratio, share), now);
        if (isBurst || random() % 10 == 0) {
            budgets[daemon].recordFirstAttempt(now);
            firstAttempts.push_back(now);
        }
        while (budgets[daemon].tryTake(now))
            retries.push_back(now);
        const auto since = now - window;
        const auto allowed = ratio * static_cast<double>(countSince(firstAttempts, since)) + allowance;
        REQUIRE(static_cast<double>(countSince(retries, since)) <= allowed);
        while (!firstAttempts.empty() && firstAttempts.front() <= since)
            firstAttempts.pop_front();
        while (!retries.empty() && retries.front() <= since)
            retries.pop_front();
    }
}

}

TEST_CASE("retries of all daemons stay within the budget in every sliding window while daemons restart")
{
    replayRetries(8, 54.0, 12000, milliseconds(10));
}

TEST_CASE("retries of a fleet of any size stay within the budget in every sliding window")
{
    for (const auto& [daemons, allowance] : { std::pair { 74u, 160.0 }, { 295u, 630.0 } }) {
        CAPTURE(daemons);
        replayRetries(daemons, allowance, 14000, milliseconds(2));
    }
    for (const std::size_t daemons : { 1u, 7u, 16u, 74u, 295u, 710u }) {
        CAPTURE(daemons);
        CHECK(static_cast<double>(daemons) * WindowedRetryBudget::shareOfAllowance(630.0, daemons) <= 630.0 * 1.0001);
    }
}
