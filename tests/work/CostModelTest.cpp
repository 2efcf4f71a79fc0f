#include "work/CostModel.h"

#include "common/Hash.h"
#include <cmath>
#include <doctest/doctest.h>

using namespace eelgrassford;
using work::CostModel;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// The nth of a sequence of amounts that are spread exponentially around a mean.
double amount(double mean, std::uint64_t n) { return -mean * std::log(toUnitInterval(mix64(n, 17))); }

}

// Guards against an estimate that leaves out the slow requests because they are cut off at their deadlines.
TEST_CASE("requests that were cut off count as at least the amount that was observed")
{
    CostModel model;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        const auto needed = amount(100.0, i);
        model.record("r", "o", {}, { std::min(needed, 80.0), needed <= 80.0 });
    }
    const auto mean = model.estimate("r", "o", {}, 1.0).mean;
    CHECK(mean > 80.0);
    CHECK(mean < 125.0);
}

TEST_CASE("a new organisation on a known route gets the estimate of the route, with more uncertainty")
{
    CostModel model;
    for (int i = 0; i < 1000; ++i)
        model.record("r", "o", {}, { 50.0, true });
    const auto known = model.estimate("r", "o", {}, 1.0);
    const auto other = model.estimate("r", "other", {}, 1.0);
    CHECK(known.mean == doctest::Approx(50.0).epsilon(0.05));
    CHECK(other.mean == doctest::Approx(50.0).epsilon(0.05));
    CHECK(other.uncertainty > known.uncertainty);
    CHECK(model.estimate("unknown", "o", 7.0, 1.0).mean == 7.0);
    CHECK(model.estimate("unknown", "o", {}, 1.0).mean == 1.0);
}

TEST_CASE("the caller's hint counts as far as it was accurate")
{
    CostModel model;
    for (std::uint64_t i = 0; i < 300; ++i) {
        const auto needed = 20.0 + amount(100.0, i);
        model.record("good", "o", needed, { needed, true });
        model.record("bad", "o", needed * 20.0, { 50.0, true });
    }
    CHECK(model.estimate("good", "o", 400.0, 1.0).mean > 350.0);
    CHECK(model.estimate("bad", "o", 4000.0, 1.0).mean < 100.0);
}

TEST_CASE("memory is bounded, whatever routes and organisations appear")
{
    CostModel model;
    for (int i = 0; i < 20000; ++i)
        model.record("r-" + std::to_string(i), std::to_string(i), {}, { 1.0, true });
    CHECK(model.size() <= 8192 + 4096);
}

TEST_CASE("the rates of a service follow its engines, and are forgotten")
{
    CostModel model;
    for (int i = 0; i < 100; ++i) {
        model.recordFirstEvent("s", 2000.0, 2000.0, 400.0, start);
        model.recordEventGap("s", 60.0, start);
    }
    const auto rates = model.rates("s", start);
    CHECK(rates.prefillMsPerToken == doctest::Approx(0.1).epsilon(0.05));
    CHECK(rates.eventMs == doctest::Approx(60.0).epsilon(0.05));
    CHECK(model.rates("s", start + std::chrono::hours(1)).eventMs == model.rates("other", start).eventMs);
}
