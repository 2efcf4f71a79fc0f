#include "admission/OrganisationShares.h"

#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace eelgrassford;
using namespace eelgrassford::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };

FlowKey flow(int organisation, std::uint32_t priority = 0)
{
    return flowKeyOf("organisation-" + std::to_string(organisation), priority);
}

/// What other daemons report: the flows with their work in slots, and the rest by priority.
ServiceDemand reported(const std::vector<std::pair<FlowKey, double>>& flows, std::array<double, 3> rest = {})
{
    ServiceDemand result;
    for (const auto& [key, slots] : flows) {
        result.flows.push_back({ key, static_cast<Work>(slots * workPerSlot) });
        result.byPriority[priorityOf(key)] += result.flows.back().work;
    }
    for (std::size_t i = 0; i < rest.size(); ++i)
        result.byPriority[i] += static_cast<Work>(rest[i] * workPerSlot);
    return result;
}

OrganisationShares sharesOf(const ServiceDemand& demand, double slots)
{
    OrganisationShares shares;
    shares.setOthers(&demand, start);
    shares.divide(slots, 1.0, start);
    return shares;
}

}

TEST_CASE("an organisation beyond its share keeps the level, and those within theirs keep everything")
{
    const auto shares = sharesOf(reported({ { flow(0), 60 }, { flow(1), 20 }, { flow(2), 10 } }), 70);
    CHECK(shares.shareOf(flow(0)) == doctest::Approx(40.0 / 60.0).epsilon(0.01));
    CHECK(shares.shareOf(flow(1)) == doctest::Approx(1.0));
    CHECK(shares.shareOf(flow(2)) == doctest::Approx(1.0));
    CHECK(shares.meanShare() == doctest::Approx(70.0 / 90.0).epsilon(0.01));
}

TEST_CASE("less urgent work is refused first, enough to serve the more urgent, and none starves")
{
    const auto demand = reported({ { flow(0, 0), 40 }, { flow(1, 1), 40 }, { flow(2, 2), 40 } });
    const auto slight = sharesOf(demand, 110);
    CHECK(slight.shareOf(flow(0, 0)) == doctest::Approx(1.0));
    CHECK(slight.shareOf(flow(1, 1)) == doctest::Approx(1.0));
    CHECK(slight.shareOf(flow(2, 2)) == doctest::Approx(0.75).epsilon(0.01));
    const auto heavy = sharesOf(demand, 30);
    CHECK(heavy.shareOf(flow(0, 0)) > heavy.shareOf(flow(1, 1)));
    CHECK(heavy.shareOf(flow(2, 2)) >= 0.25 * heavy.meanShare());
}

TEST_CASE("the admitted work equals the capacity for any demand, and no flow starves")
{
    std::mt19937_64 random(5);
    for (int round = 0; round < 200; ++round) {
        std::vector<std::pair<FlowKey, double>> flows;
        double sum = 0.0;
        const auto count = 1 + random() % 30;
        for (std::size_t i = 0; i < count; ++i) {
            flows.emplace_back(flow(static_cast<int>(i), random() % 4), 1.0 + static_cast<double>(random() % 100));
            sum += flows.back().second;
        }
        const auto capacity = sum * (0.05 + static_cast<double>(random() % 90) / 100.0);
        const auto shares = sharesOf(reported(flows), capacity);
        double admitted = 0.0;
        for (const auto& [key, work] : flows) {
            admitted += work * shares.shareOf(key);
            CHECK(shares.shareOf(key) >= 0.25 * capacity / sum);
        }
        CHECK(admitted == doctest::Approx(capacity).epsilon(0.02));
    }
}

TEST_CASE("of 2,200 organisations only the heaviest are known, and a heavy one is still found out")
{
    std::vector<std::pair<FlowKey, double>> heaviest { { flow(0), 500 } };
    for (int i = 1; i < 12; ++i)
        heaviest.emplace_back(flow(i), 4);
    const auto shares = sharesOf(reported(heaviest, { 456, 0, 0 }), 700);
    CHECK(shares.shareOf(flow(0)) == doctest::Approx(200.0 / 500.0).epsilon(0.02));
    CHECK(shares.shareOf(flow(1)) == doctest::Approx(1.0));
    CHECK(shares.shareOf(flow(2000)) == doctest::Approx(1.0));
    // If all of them send too much, those that are not known one by one don't escape.
    const auto surge = sharesOf(reported(heaviest, { 4000, 0, 0 }), 1000);
    CHECK(surge.shareOf(flow(2000)) < 0.4);
}

TEST_CASE("the last demand of the other daemons fades over 2 s, after which own measurements apply")
{
    OrganisationShares shares;
    for (auto now = start; now < start + seconds(4); now += milliseconds(100)) {
        shares.record(flow(0), 0.4, now);
        shares.record(flow(1), 0.1, now);
    }
    const auto demand = reported({ { flow(1), 90 } });
    auto now = start + seconds(4);
    shares.setOthers(&demand, now);
    shares.divide(50, 1.0, now);
    CHECK(shares.shareOf(flow(1)) < 0.6);
    // A flow of which only this daemon knows its own part is not taken for heavy, nor is its part taken for all of it.
    CHECK(shares.shareOf(flow(0)) > 0.5);
    shares.setOthers(nullptr, now);
    shares.divide(50, 1.0, now + seconds(1));
    CHECK(shares.demand() < 60);
    shares.divide(50, 0.5, now + seconds(3));
    CHECK(shares.demand() < 1);
    // Own callers send five slots; half of it is admitted, mostly at the cost of the heavier organisation.
    CHECK(shares.shareOf(flow(0)) < shares.shareOf(flow(1)));
    CHECK(shares.shareOf(flow(1)) == doctest::Approx(1.0));
}

TEST_CASE("the number of tracked organisations is bounded, and those without requests are removed")
{
    OrganisationShares::Options options;
    options.flowLimit = 50;
    OrganisationShares shares(options);
    for (int i = 0; i < 500; ++i)
        shares.record(flow(i, i % 3), 0.1, start);
    CHECK(shares.flowCount() == 50);
    CHECK(shares.ownDemand(12, start).flows.size() == 12);
    // The work of those that are not tracked still counts.
    CHECK(shares.ownDemand(12, start).total() == doctest::Approx(50.0 * workPerSlot).epsilon(0.01));
    shares.removeIdle(start + seconds(60));
    CHECK(shares.flowCount() == 0);
}

TEST_CASE("demands are summed by flow, a daemon's own part is taken from the sum, and the heaviest flows are kept")
{
    const auto own = reported({ { flow(0), 5 }, { flow(1), 1 } });
    DemandSum sum;
    for (int i = 0; i < 60; ++i)
        sum.add(std::vector { own });
    sum.add(std::vector { reported({ { flow(2), 70 } }) });
    sum.subtract(std::vector { own });
    const auto kept = sum.take(2);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].total() == static_cast<Work>((59 * 6 + 70) * workPerSlot));
    CHECK(kept[0].flows == std::vector<FlowDemand> { { flow(0), 29500 }, { flow(2), 7000 } });
    // A sum may be older than the part that is taken from it.
    DemandSum older;
    older.add(std::vector { reported({ { flow(1), 0.5 } }) });
    older.subtract(std::vector { own });
    CHECK(older.take(2)[0].total() == 0);
}
