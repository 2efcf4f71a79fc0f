#include "runners/Registry.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::Observation;
using runners::Registry;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

runners::RunnerEntry entry(const std::string& id, std::uint64_t startedAt = 1)
{
    return { id, "service", "127.0.0.1", 8000, "a", 8, false, startedAt, "v1" };
}

struct Fixture {
    Registry registry;
    std::vector<std::string> removed;

    Fixture() { apply({ entry("r-1"), entry("r-2"), entry("r-3"), entry("r-4") }); }
    void apply(const std::vector<runners::RunnerEntry>& entries)
    {
        registry.apply(entries, start, [this](const std::string& id) { removed.push_back(id); });
    }
    runners::Runner& runner(std::string_view id) { return *registry.find(id); }
    bool isUsable(std::string_view id, TimePoint now) { return registry.isUsable(runner(id), now); }
    void attempt(std::string_view id, Observation observation, TimePoint now = start)
    {
        registry.recordDispatch(runner(id), now);
        registry.recordCompletion(runner(id), observation, now);
    }
};

}

TEST_CASE("a runner that restarts under the same id is tracked as a new runner")
{
    Fixture fixture;
    fixture.registry.recordDispatch(fixture.runner("r-1"), start);
    const auto before = fixture.runner("r-1").identity;
    fixture.apply({ entry("r-1", 2), entry("r-2"), entry("r-3"), entry("r-4") });
    CHECK(fixture.removed == std::vector<std::string> { "r-1" });
    CHECK(fixture.runner("r-1").ownLoad == 0);
    CHECK(fixture.runner("r-1").identity != before);
}

TEST_CASE("a leaving runner gets no new requests and keeps its current ones")
{
    Fixture fixture;
    fixture.registry.recordDispatch(fixture.runner("r-1"), start);
    auto leaving = entry("r-1");
    leaving.isLeaving = true;
    fixture.apply({ leaving, entry("r-2"), entry("r-3"), entry("r-4") });
    CHECK_FALSE(fixture.isUsable("r-1", start));
    CHECK(fixture.runner("r-1").ownLoad == 1);
    CHECK(fixture.removed.empty());
}

TEST_CASE("a runner is suspended after two consecutive broken connections, not after one")
{
    Fixture fixture;
    fixture.attempt("r-1", Observation::ConnectionLost);
    CHECK(fixture.isUsable("r-1", start));
    fixture.attempt("r-1", Observation::Served);
    fixture.attempt("r-1", Observation::ConnectionLost);
    CHECK(fixture.isUsable("r-1", start));
    fixture.attempt("r-1", Observation::ConnectionLost);
    CHECK_FALSE(fixture.isUsable("r-1", start));
}

TEST_CASE("a runner gets one request at a time after its suspension")
{
    Fixture fixture;
    fixture.attempt("r-1", Observation::CannotConnect);
    CHECK_FALSE(fixture.isUsable("r-1", start + milliseconds(499)));
    const auto suspensionEnd = start + milliseconds(500);
    CHECK(fixture.isUsable("r-1", suspensionEnd));
    fixture.registry.recordDispatch(fixture.runner("r-1"), suspensionEnd);
    CHECK_FALSE(fixture.isUsable("r-1", suspensionEnd));
    SUBCASE("a success ends the probation")
    {
        fixture.registry.recordCompletion(fixture.runner("r-1"), Observation::Served, suspensionEnd);
        fixture.registry.recordDispatch(fixture.runner("r-1"), start);
        CHECK(fixture.isUsable("r-1", suspensionEnd));
    }
    SUBCASE("a failure suspends the runner for longer")
    {
        fixture.registry.recordCompletion(fixture.runner("r-1"), Observation::CannotConnect, suspensionEnd);
        CHECK_FALSE(fixture.isUsable("r-1", suspensionEnd + milliseconds(999)));
        CHECK(fixture.isUsable("r-1", suspensionEnd + milliseconds(1000)));
    }
}

TEST_CASE("a runner is suspended when it fails more often than the others, not when it fails as often")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char* id : { "r-1", "r-2", "r-3" })
            fixture.attempt(id, i % 7 == 0 ? Observation::Failed : Observation::Served);
        fixture.attempt("r-4", i % 2 == 0 ? Observation::Failed : Observation::Served);
    }
    CHECK(fixture.isUsable("r-1", start));
    CHECK(fixture.isUsable("r-2", start));
    CHECK(fixture.isUsable("r-3", start));
    CHECK_FALSE(fixture.isUsable("r-4", start));
}

TEST_CASE("failures reported by peers count towards a suspension, even if this daemon has few requests of its own")
{
    Fixture fixture;
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 5.0, 5.0, 0 });
    fixture.attempt("r-1", Observation::Failed);
    CHECK_FALSE(fixture.isUsable("r-1", start));
}

TEST_CASE("at most half of a service's runners are suspended")
{
    Fixture fixture;
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        fixture.attempt(id, Observation::CannotConnect);
    int usable = 0;
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        usable += fixture.isUsable(id, start) ? 1 : 0;
    CHECK(usable == 2);
}

TEST_CASE("a limit that a runner stated holds until the response to a later request no longer states it")
{
    Fixture fixture;
    auto& runner = fixture.runner("r-1");
    CHECK(fixture.registry.recordLimit(runner, 3.4, start, start + milliseconds(50)));
    CHECK_FALSE(fixture.registry.recordLimit(runner, 3.5, start, start + milliseconds(60)));
    CHECK_FALSE(fixture.registry.recordLimit(runner, {}, start + milliseconds(55), start + milliseconds(70)));
    CHECK(runner.limit.perSecond == 3.5);
    CHECK(fixture.registry.recordLimit(runner, {}, start + milliseconds(65), start + milliseconds(80)));
    CHECK_FALSE(runner.limit.perSecond);
}

TEST_CASE("a runner is avoided when two peers suspend it, not when one does")
{
    Fixture fixture;
    const auto later = start + std::chrono::seconds(1);
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 0.0, 0.0, 1 });
    CHECK(fixture.isUsable("r-1", later));
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 0.0, 0.0, 2 });
    CHECK_FALSE(fixture.isUsable("r-1", later));
    fixture.attempt("r-1", Observation::Served, later);
    CHECK(fixture.isUsable("r-1", later));
}

TEST_CASE("the load of a runner is the sum of the daemons' counts, or the runner's own report if that is higher")
{
    Fixture fixture;
    auto& runner = fixture.runner("r-1");
    fixture.registry.setPeerSummary(runner, { 3, 0.0, 0.0, 0 });
    fixture.registry.recordDispatch(runner, start);
    CHECK(fixture.registry.load(runner, start) == 4.0);
    fixture.registry.recordReportedLoad(runner, { 8, 2, 8 }, start);
    CHECK(fixture.registry.load(runner, start) == 10.0);
    fixture.registry.recordDispatch(runner, start);
    CHECK(fixture.registry.load(runner, start) == 11.0);
    CHECK(fixture.registry.load(runner, start + std::chrono::seconds(2)) == 5.0);
}

TEST_CASE("a silent runner is listed for one probe while it has requests in flight")
{
    // Guards against an incident in which runners fell silent and their requests waited until the callers left.
    Fixture fixture;
    const auto receive = [&](const char* id, int after) {
        fixture.registry.recordReceived(fixture.runner(id), start + milliseconds(after));
    };
    fixture.registry.recordDispatch(fixture.runner("r-1"), start);
    receive("r-2", 400);
    CHECK(fixture.registry.silentRunners().empty());
    receive("r-2", 401);
    const auto silent = fixture.registry.silentRunners();
    REQUIRE(silent.size() == 1);
    CHECK(silent[0]->entry.id == "r-1");
    silent[0]->isBeingProbed = true;
    CHECK(fixture.registry.silentRunners().empty());
    silent[0]->isBeingProbed = false;
    receive("r-1", 500);
    CHECK(fixture.registry.silentRunners().empty());
}

TEST_CASE("no runner is listed for a probe when all fall silent, as the host's own link is at fault")
{
    // Guards against a failure: a large configuration saturated a slow link, and healthy streams were cut because their
    // runners seemed silent.
    Fixture fixture;
    for (const char* id : { "r-1", "r-2", "r-3" }) {
        fixture.registry.recordDispatch(fixture.runner(id), start);
        fixture.registry.recordReceived(fixture.runner(id), start + milliseconds(10));
    }
    CHECK(fixture.registry.silentRunners().empty());
}

TEST_CASE("a runner is suspended when it is silent more often than the others, not when all are silent")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
            fixture.attempt(id, Observation::Silent);
    }
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        CHECK(fixture.isUsable(id, start));
    Fixture oneSilent;
    for (int i = 0; i < 20; ++i) {
        oneSilent.attempt("r-1", i % 2 == 0 ? Observation::Silent : Observation::Served);
        for (const char* id : { "r-2", "r-3", "r-4" })
            oneSilent.attempt(id, Observation::Served);
    }
    CHECK_FALSE(oneSilent.isUsable("r-1", start));
}
