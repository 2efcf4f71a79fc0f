#include "runners/Placement.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::Exclusion;
using runners::Observation;
using runners::Registry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(100) };

/// A daemon that started long ago, and two runners of a service with a cold start of 3 s.
struct Fixture {
    Registry registry;
    std::vector<runners::RunnerEntry> entries;
    TimePoint now = start;

    explicit Fixture(bool hasColdStart = true)
    {
        for (const char* id : { "r-1", "r-2" })
            entries.push_back({ id, "pool", "127.0.0.1", 8000, "a", 8, false, 1, "v1", Duration::zero() });
        if (hasColdStart)
            registry.setColdStarts({ { "pool", { seconds(3), 10.0 } } });
        apply();
        now += seconds(60);
    }
    void apply()
    {
        registry.apply(entries, now, [](const std::string&) {});
    }
    runners::Runner& runner(const std::string& id = "r-1") { return *registry.find(id); }
    /// Time for which the first runner stays cold.
    Duration coldTime() { return std::max(Duration::zero(), runner().coldUntil - now); }
};

}

TEST_CASE("a runner is cold until the latest of the times that its entries and responses state")
{
    Fixture fixture;
    CHECK_FALSE(fixture.runner().isCold(fixture.now));
    fixture.entries[0].coldRemaining = milliseconds(2000);
    fixture.entries[0].coldRevision = 7;
    fixture.apply();
    CHECK(fixture.coldTime() == seconds(2));
    // The same entry, which comes again with changes of others, states nothing new; written again, it does.
    fixture.now += seconds(1);
    fixture.apply();
    CHECK(fixture.coldTime() == seconds(1));
    fixture.entries[0].coldRevision = 8;
    fixture.apply();
    CHECK(fixture.coldTime() == seconds(2));
    fixture.registry.recordCold(fixture.runner(), milliseconds(500), fixture.now);
    CHECK(fixture.coldTime() == seconds(2));
    fixture.registry.recordCold(fixture.runner(), milliseconds(2600), fixture.now);
    CHECK(fixture.coldTime() == milliseconds(2600));
    CHECK(fixture.registry.isRecentlyAdded(fixture.runner(), fixture.now));
    CHECK_FALSE(fixture.registry.isRecentlyAdded(fixture.runner("r-2"), fixture.now));
    CHECK(fixture.registry.takeColdNews().size() == 1);
    fixture.now += milliseconds(2600);
    CHECK(fixture.registry.isUsable(fixture.runner(), fixture.now));
    CHECK_FALSE(fixture.runner().isCold(fixture.now));
}

// Guards against full load on a runner that restarted without having been seen to.
TEST_CASE("a runner that may have restarted counts as cold after its suspension")
{
    Fixture fixture;
    SUBCASE("no connection")
    {
        fixture.registry.recordObservation(fixture.runner(), Observation::CannotConnect, fixture.now);
        CHECK(fixture.coldTime() == milliseconds(3500));
    }
    SUBCASE("other daemons suspend it")
    {
        fixture.registry.recordSuspectedRestart(fixture.runner(), fixture.now);
        fixture.now += milliseconds(400);
        fixture.registry.recordSuspectedRestart(fixture.runner(), fixture.now);
        CHECK(fixture.coldTime() == seconds(3));
    }
    SUBCASE("its data centre returns")
    {
        fixture.registry.setEvacuated({ "a" }, fixture.now);
        fixture.registry.setEvacuated({}, fixture.now);
        CHECK(fixture.coldTime() == milliseconds(4500));
    }
    SUBCASE("its entry is new and does not state a time")
    {
        fixture.entries[0].startedAtMs = 2;
        fixture.entries[0].coldRemaining.reset();
        fixture.apply();
        CHECK(fixture.coldTime() == seconds(3));
    }
    CHECK(fixture.runner().isCold(fixture.now));
    CHECK_FALSE(fixture.runner("r-2").isCold(fixture.now + seconds(10)));
}

TEST_CASE("services without a cold start have no cold runners")
{
    Fixture fixture(false);
    fixture.entries[0].coldRemaining = seconds(2);
    fixture.apply();
    fixture.registry.recordCold(fixture.runner(), seconds(3), fixture.now);
    fixture.registry.recordObservation(fixture.runner(), Observation::CannotConnect, fixture.now);
    fixture.registry.recordSuspectedRestart(fixture.runner("r-2"), fixture.now);
    CHECK_FALSE(fixture.runner().isCold(fixture.now));
    CHECK_FALSE(fixture.runner("r-2").isCold(fixture.now));
    // What was stated holds once the service states its cold start.
    fixture.registry.setColdStarts({ { "pool", { seconds(3), 10.0 } } });
    CHECK(fixture.coldTime() == seconds(3));
}

TEST_CASE("a cold runner gets one request in an interval, also as a last resort, and states when it takes the next")
{
    Fixture fixture;
    for (auto& entry : fixture.entries) {
        entry.coldRemaining = seconds(2);
        entry.coldRevision = 1;
    }
    fixture.apply();
    runners::PlacementRequest request;
    request.service = "pool";
    const auto place = [&] { return runners::place(fixture.registry, request, {}, fixture.now); };
    // Without further settings a runner may get 10 a second, and one view of the fleet sends half of that.
    const auto interval = fromSeconds(1.1 / 5);
    for (int i = 0; i < 2; ++i) {
        const auto placement = place();
        REQUIRE(placement.runner);
        fixture.registry.recordDispatch(*placement.runner, fixture.now);
    }
    CHECK_FALSE(place().runner);
    CHECK(place().awaited == Exclusion::Cold);
    CHECK(place().availableAt == fixture.now + interval);
    // Permits that were not used do not add up.
    fixture.now += interval * 5;
    fixture.registry.recordDispatch(fixture.runner(), fixture.now);
    CHECK(fixture.registry.availability(fixture.runner(), fixture.now).exclusion == Exclusion::Cold);
}

TEST_CASE("a daemon that has just started sends nothing to cold runners, and the others that are not chosen neither")
{
    Fixture fixture;
    Registry young;
    young.setColdStarts({ { "pool", { seconds(3), 10.0 } } });
    fixture.entries[0].coldRemaining = seconds(9);
    young.apply(fixture.entries, start, [](const std::string&) {});
    CHECK_FALSE(young.isUsable(*young.find("r-1"), start + milliseconds(2900)));
    CHECK(young.isUsable(*young.find("r-1"), start + milliseconds(3000)));
    CHECK(young.isUsable(*young.find("r-2"), start));
    runners::FleetView fleet { 1, {} };
    std::size_t sending = 0;
    for (std::uint64_t daemon = 1; daemon <= 60; ++daemon) {
        fleet = { daemon, {} };
        for (std::uint64_t other = 1; other <= 60; ++other) {
            if (other != daemon)
                fleet.others.push_back(other);
        }
        sending += runners::coldInterval(10.0, 7, fleet, { 1.5, 5.0 }) ? 1 : 0;
    }
    CHECK(sending == 10);
    CHECK(runners::coldInterval(0.5, 7, { 1, {} }, { 2.0, 0.0 }) == fromSeconds(2.2));
    CHECK_FALSE(runners::coldInterval(0.0, 7, { 1, {} }, { 1.5, 5.0 }));
}
