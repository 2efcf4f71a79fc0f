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
    return { id, "service", "127.0.0.1", 8000, "a", 8, false, startedAt };
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
    void end(std::string_view id, Observation observation, TimePoint now = start)
    {
        registry.recordDispatch(runner(id), now);
        registry.recordCompletion(runner(id), observation, now);
    }
};

}

TEST_CASE("a runner that starts again under its id is another runner")
{
    Fixture fixture;
    fixture.registry.recordDispatch(fixture.runner("r-1"), start);
    const auto before = fixture.runner("r-1").identity;
    fixture.apply({ entry("r-1", 2), entry("r-2"), entry("r-3"), entry("r-4") });
    CHECK(fixture.removed == std::vector<std::string> { "r-1" });
    CHECK(fixture.runner("r-1").ownLoad == 0);
    CHECK(fixture.runner("r-1").identity != before);
}

TEST_CASE("a leaving runner gets nothing new and keeps what it has")
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

TEST_CASE("one broken connection is not held against a runner, two in a row are")
{
    Fixture fixture;
    fixture.end("r-1", Observation::ConnectionLost);
    CHECK(fixture.isUsable("r-1", start));
    fixture.end("r-1", Observation::Served);
    fixture.end("r-1", Observation::ConnectionLost);
    CHECK(fixture.isUsable("r-1", start));
    fixture.end("r-1", Observation::ConnectionLost);
    CHECK_FALSE(fixture.isUsable("r-1", start));
}

TEST_CASE("a suspended runner comes back with one request at a time")
{
    Fixture fixture;
    fixture.end("r-1", Observation::CannotConnect);
    CHECK_FALSE(fixture.isUsable("r-1", start + milliseconds(499)));
    const auto back = start + milliseconds(500);
    CHECK(fixture.isUsable("r-1", back));
    fixture.registry.recordDispatch(fixture.runner("r-1"), back);
    CHECK_FALSE(fixture.isUsable("r-1", back));
    SUBCASE("success ends the trial")
    {
        fixture.registry.recordCompletion(fixture.runner("r-1"), Observation::Served, back);
        fixture.registry.recordDispatch(fixture.runner("r-1"), start);
        CHECK(fixture.isUsable("r-1", back));
    }
    SUBCASE("failure suspends it for longer")
    {
        fixture.registry.recordCompletion(fixture.runner("r-1"), Observation::CannotConnect, back);
        CHECK_FALSE(fixture.isUsable("r-1", back + milliseconds(999)));
        CHECK(fixture.isUsable("r-1", back + milliseconds(1000)));
    }
}

TEST_CASE("a runner that fails part of its requests is suspended, one that fails as often as the others is not")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char* id : { "r-1", "r-2", "r-3" })
            fixture.end(id, i % 7 == 0 ? Observation::Failed : Observation::Served);
        fixture.end("r-4", i % 2 == 0 ? Observation::Failed : Observation::Served);
    }
    CHECK(fixture.isUsable("r-1", start));
    CHECK(fixture.isUsable("r-2", start));
    CHECK(fixture.isUsable("r-3", start));
    CHECK_FALSE(fixture.isUsable("r-4", start));
}

TEST_CASE("failures that other daemons saw count, so that a rare caller learns as fast as a busy one")
{
    Fixture fixture;
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 5.0, 5.0, 0 });
    fixture.end("r-1", Observation::Failed);
    CHECK_FALSE(fixture.isUsable("r-1", start));
}

TEST_CASE("never more than half of a service is suspended")
{
    Fixture fixture;
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        fixture.end(id, Observation::CannotConnect);
    int usable = 0;
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        usable += fixture.isUsable(id, start) ? 1 : 0;
    CHECK(usable == 2);
}

TEST_CASE("the word of one daemon is not enough to avoid a runner, that of two is")
{
    Fixture fixture;
    const auto later = start + std::chrono::seconds(1);
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 0.0, 0.0, 1 });
    CHECK(fixture.isUsable("r-1", later));
    fixture.registry.setPeerSummary(fixture.runner("r-1"), { 0, 0.0, 0.0, 2 });
    CHECK_FALSE(fixture.isUsable("r-1", later));
    fixture.end("r-1", Observation::Served, later);
    CHECK(fixture.isUsable("r-1", later));
}

TEST_CASE("load is what daemons know of each other, or the runner's own word where that is more")
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

TEST_CASE("a runner with requests that says nothing is to be probed once, one without requests is not")
{
    // As in an incident of the drum works: runners went dark, and their requests waited until callers left.
    Fixture fixture;
    const auto hear = [&](const char* id, int after) {
        fixture.registry.recordReceived(fixture.runner(id), start + milliseconds(after));
    };
    fixture.registry.recordDispatch(fixture.runner("r-1"), start);
    hear("r-2", 400);
    CHECK(fixture.registry.silentRunners().empty());
    hear("r-2", 401);
    const auto silent = fixture.registry.silentRunners();
    REQUIRE(silent.size() == 1);
    CHECK(silent[0]->entry.id == "r-1");
    silent[0]->isBeingProbed = true;
    CHECK(fixture.registry.silentRunners().empty());
    silent[0]->isBeingProbed = false;
    hear("r-1", 500);
    CHECK(fixture.registry.silentRunners().empty());
}

TEST_CASE("where no runner is heard, the host's own link is held up and none is suspected")
{
    // As on a hunted day of the grown works: a large configuration filled a thin link, and sound streams were cut.
    Fixture fixture;
    for (const char* id : { "r-1", "r-2", "r-3" }) {
        fixture.registry.recordDispatch(fixture.runner(id), start);
        fixture.registry.recordReceived(fixture.runner(id), start + milliseconds(10));
    }
    CHECK(fixture.registry.silentRunners().empty());
}

TEST_CASE("silence counts against a runner that is silent more often than the others, not under overload")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
            fixture.end(id, Observation::Silent);
    }
    for (const char* id : { "r-1", "r-2", "r-3", "r-4" })
        CHECK(fixture.isUsable(id, start));
    Fixture other;
    for (int i = 0; i < 20; ++i) {
        other.end("r-1", i % 2 == 0 ? Observation::Silent : Observation::Served);
        for (const char* id : { "r-2", "r-3", "r-4" })
            other.end(id, Observation::Served);
    }
    CHECK_FALSE(other.isUsable("r-1", start));
}
