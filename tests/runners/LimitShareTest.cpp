#include "runners/LimitShare.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::FleetView;
using runners::shareOfLimit;

namespace {

/// Shares of all daemons of a fleet in the limit of one runner.
std::vector<double> sharesOf(std::size_t daemons, double limit, std::uint64_t runner)
{
    std::vector<double> result;
    for (std::size_t self = 0; self < daemons; ++self) {
        FleetView fleet { 1000 + self, {} };
        for (std::size_t other = 0; other < daemons; ++other) {
            if (other != self)
                fleet.others.push_back(1000 + other);
        }
        result.push_back(shareOfLimit(limit, runner, fleet));
    }
    return result;
}

}

TEST_CASE("the shares of all daemons of a fleet add up to less than the limit of the runner")
{
    for (const std::size_t daemons : { 1u, 7u, 74u, 295u }) {
        for (const double limit : { 0.5, 3.4, 20.0, 300.0 }) {
            CAPTURE(daemons);
            CAPTURE(limit);
            const auto shares = sharesOf(daemons, limit, 42);
            double sum = 0.0;
            for (const auto share : shares)
                sum += share;
            CHECK(sum == doctest::Approx(0.9 * limit));
            // What all may save up, and what they get in four seconds: one and a half times the limit, and 5 requests.
            const auto sharing = std::count_if(shares.begin(), shares.end(), [](double share) { return share > 0.0; });
            CHECK(static_cast<double>(sharing) + 4.0 * sum < 6.0 * limit + 5.0);
        }
    }
}

TEST_CASE("a limit of zero leaves the fleet a request now and then, by which the end of the limit is noticed")
{
    double sum = 0.0;
    for (const auto share : sharesOf(7, 0.0, 42))
        sum += share;
    CHECK(sum > 0.0);
    CHECK(4.0 * sum <= 5.0);
}

TEST_CASE("different daemons share the limits of different runners, so that each has some of them")
{
    std::vector<int> runnersOfDaemon(74, 0);
    for (std::uint64_t runner = 0; runner < 140; ++runner) {
        const auto shares = sharesOf(74, 3.4, runner * 7919);
        for (std::size_t daemon = 0; daemon < shares.size(); ++daemon)
            runnersOfDaemon[daemon] += shares[daemon] > 0.0 ? 1 : 0;
    }
    CHECK(*std::min_element(runnersOfDaemon.begin(), runnersOfDaemon.end()) > 0);
}

TEST_CASE("a limit beyond every integer is shared by all daemons")
{
    const auto shares = sharesOf(7, 1e300, 42);
    CHECK(std::all_of(shares.begin(), shares.end(), [](double share) { return share > 1e298; }));
}
