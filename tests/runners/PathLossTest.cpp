#include "runners/PathLoss.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::Observation;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

struct Fixture {
    runners::Registry registry;

    Fixture()
    {
        std::vector<runners::RunnerEntry> entries;
        for (int i = 0; i < 6; ++i)
            entries.push_back({ "r-" + std::to_string(i), "pool", "10.0.0.1", 1, "a", 8, false, 1, "v1" });
        registry.apply(entries, start, [](const std::string&) {});
        for (int i = 0; i < 6; ++i)
            registry.setPeerSummary(runner(i), { 1, 5.0, 0.0, 0 });
        registry.recordReceived(runner(0), start);
    }
    runners::Runner& runner(int index) { return *registry.find("r-" + std::to_string(index)); }
    void refuse(int index, TimePoint at) { registry.recordObservation(runner(index), Observation::CannotConnect, at); }
    bool isLost(TimePoint now) const { return runners::pathState(registry, now).isLost; }
};

}

TEST_CASE("a daemon is cut off if several runners are unreachable, none is heard and they serve other daemons")
{
    Fixture fixture;
    CHECK_FALSE(fixture.isLost(start));
    fixture.refuse(1, start + milliseconds(10));
    fixture.refuse(2, start + milliseconds(20));
    CHECK_FALSE(fixture.isLost(start + milliseconds(30)));
    fixture.refuse(3, start + milliseconds(30));
    CHECK(fixture.isLost(start + milliseconds(30)));
    fixture.registry.recordReceived(fixture.runner(0), start + milliseconds(40));
    CHECK_FALSE(fixture.isLost(start + milliseconds(50)));
}

TEST_CASE("runners that serve nobody are dead, rather than the daemon cut off")
{
    Fixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.registry.setPeerSummary(fixture.runner(i), {});
        fixture.refuse(i, start + milliseconds(10));
    }
    CHECK_FALSE(fixture.isLost(start + milliseconds(10)));
}

TEST_CASE("a silent runner for a while is no loss of the path")
{
    Fixture fixture;
    fixture.registry.recordObservation(fixture.runner(1), Observation::Silent, start + milliseconds(900));
    CHECK_FALSE(fixture.isLost(start + milliseconds(1000)));
}
