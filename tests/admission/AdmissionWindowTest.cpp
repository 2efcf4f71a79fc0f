#include "admission/AdmissionWindow.h"

#include "common/Hash.h"
#include "fleet/FleetClock.h"
#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace eelgrassford;
using admission::AdmissionWindow;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr Duration fleetTime = hours(700) + milliseconds(123);
constexpr std::uint64_t requests = 2000;

std::uint64_t hashOf(std::uint64_t request) { return mix64(request, 77); }

}

TEST_CASE("in each epoch the window holds its share of the requests, and a share of 1 holds them all")
{
    const AdmissionWindow window;
    for (const double share : { 0.03, 0.3, 0.9 }) {
        std::size_t held = 0;
        for (std::uint64_t i = 0; i < requests; ++i)
            held += AdmissionWindow::positionOf(hashOf(i), window.epochAt(fleetTime)) < share;
        // Three standard deviations of a random choice.
        CHECK(std::abs(static_cast<double>(held) - share * requests)
            <= 3.0 * std::sqrt(requests * share * (1.0 - share)));
    }
    CHECK(AdmissionWindow::positionOf(~std::uint64_t { 0 }, 0) < 1.0);
}

TEST_CASE("a request that returns as told is admitted, also if the share has fallen by a quarter by then")
{
    const AdmissionWindow window;
    for (const double share : { 0.05, 0.2, 0.6 }) {
        std::set<std::uint64_t> epochs;
        for (std::uint64_t i = 0; i < requests; ++i) {
            const auto hash = hashOf(i);
            if (AdmissionWindow::positionOf(hash, window.epochAt(fleetTime)) < share)
                continue;
            const auto wait = window.retryAfter(hash, share, fleetTime, hours(1), static_cast<double>(i) / requests);
            const auto epoch = window.epochAt(fleetTime + wait);
            epochs.insert(epoch);
            REQUIRE(AdmissionWindow::positionOf(hash, epoch) < 0.75 * share);
            // The distances of a golden section's returns are less than three times their mean.
            REQUIRE(toSeconds(wait) < 3.0 * 0.3 / (0.7 * share) + 0.3);
        }
        // The returns are spread over the time within which the window goes around.
        CHECK(static_cast<double>(epochs.size()) >= 1.0 / share - 1.0);
    }
}

TEST_CASE("no caller is asked to wait for longer than it can")
{
    const AdmissionWindow window;
    std::set<Duration> waits;
    for (std::uint64_t i = 0; i < requests; ++i) {
        for (const auto latest : { milliseconds(30), milliseconds(250), milliseconds(1000) }) {
            const auto wait = window.retryAfter(hashOf(i), 0.05, fleetTime, latest, static_cast<double>(i) / requests);
            CHECK(wait > Duration::zero());
            CHECK(wait <= latest);
            waits.insert(wait);
        }
    }
    // Callers that can't wait for the next epoch don't return at one moment.
    CHECK(waits.size() > requests);
}

TEST_CASE("daemons agree on the time of the fleet, which never goes back and ignores implausible clocks")
{
    const auto now = TimePoint {} + hours(2);
    fleet::FleetClock clock;
    CHECK(clock.timeAt(now) == hours(2));
    clock.receive(hours(50), now);
    CHECK(clock.timeAt(now + milliseconds(400)) == hours(50) + milliseconds(400));
    // A delayed message, a slower clock, and clocks that are wrong.
    for (const Duration stated : { Duration(hours(50) - milliseconds(5)), Duration(hours(1)), Duration(hours(-3)),
             Duration::max(), Duration(hours(24 * 365 * 200)) }) {
        clock.receive(stated, now);
        CHECK(clock.lead() == hours(48));
    }
}
