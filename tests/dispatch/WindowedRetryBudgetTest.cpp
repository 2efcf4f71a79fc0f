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
    return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](TimePoint t) { return t > since; }));
}

}

TEST_CASE("a daemon that has just started has no part of the fixed allowance")
{
    WindowedRetryBudget budget(options(0.2, 5.0), start);
    CHECK_FALSE(budget.tryTake(start));
    CHECK_FALSE(budget.tryTake(start + window - milliseconds(1)));
    CHECK(budget.tryTake(start + window));
}

TEST_CASE("repeats never exceed their share of first attempts in any sliding window, over daemons that restart")
{
    // Load: bursts and quiet seconds on eight daemons; every failed chance to repeat is taken at once.
    constexpr double ratio = 0.2;
    constexpr double allowance = 54.0;
    constexpr std::size_t daemons = 8;
    std::mt19937_64 random(20261204);
    std::vector<WindowedRetryBudget> budgets;
    for (std::size_t i = 0; i < daemons; ++i)
        budgets.emplace_back(options(ratio, allowance / 16.0), start);
    std::deque<TimePoint> first;
    std::deque<TimePoint> repeats;
    for (int step = 0; step < 12000; ++step) {
        const auto now = start + milliseconds(10) * step;
        const bool isBurst = (step / 700) % 3 == 0;
        const auto daemon = random() % daemons;
        if (random() % 1000 == 0)
            budgets[daemon] = WindowedRetryBudget(options(ratio, allowance / 16.0), now);
        if (isBurst || random() % 10 == 0) {
            budgets[daemon].recordFirstAttempt(now);
            first.push_back(now);
        }
        while (budgets[daemon].tryTake(now))
            repeats.push_back(now);
        const auto since = now - window;
        const auto allowed = ratio * static_cast<double>(countSince(first, since)) + allowance;
        REQUIRE(static_cast<double>(countSince(repeats, since)) <= allowed);
        while (!first.empty() && first.front() <= since)
            first.pop_front();
        while (!repeats.empty() && repeats.front() <= since)
            repeats.pop_front();
    }
}
