#include "runners/VersionHistory.h"
#include "common/Hash.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::VersionHistory;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };

struct Fixture {
    VersionHistory history;
    TimePoint now = start;
    std::vector<runners::RunnerEntry> entries;

    Fixture() { list({ "v1", "v1" }); }

    void list(const std::vector<std::string>& versions)
    {
        entries.clear();
        for (const auto& version : versions)
            entries.push_back(
                { "r-" + std::to_string(entries.size()), "pool", "10.0.0.1", 1, "a", 8, false, 1, version });
        history.recordListing(entries, now);
    }
    /// Lets time pass, in which the listing is proven to be current every second.
    void pass(Duration time)
    {
        for (const auto end = now + time; now < end; now += seconds(1))
            history.recordProof(now);
        history.recordProof(now);
    }
    std::uint64_t software() const { return runners::softwareOf(entries.front()); }
};

}

TEST_CASE("one version is the only one that can have begun a stream once it was alone for the whole window")
{
    Fixture fixture;
    fixture.pass(seconds(59));
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.pass(seconds(1));
    CHECK(fixture.history.soleVersion("pool", fixture.now) == fixture.software());
    CHECK_FALSE(fixture.history.soleVersion("other", fixture.now));
}

TEST_CASE("a version that left counts until no stream of it can be continued any more")
{
    Fixture fixture;
    fixture.pass(seconds(60));
    fixture.list({ "v1", "v2" });
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.pass(seconds(10));
    fixture.list({ "v2" });
    fixture.pass(seconds(60));
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.pass(seconds(1));
    CHECK(fixture.history.soleVersion("pool", fixture.now) == fixture.software());
    fixture.list({});
    fixture.pass(seconds(30));
    CHECK(fixture.history.soleVersion("pool", fixture.now).has_value());
}

TEST_CASE("a time in which the listing was not proven to be current may have hidden a version")
{
    Fixture fixture;
    fixture.pass(seconds(60));
    fixture.now += seconds(6);
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.pass(seconds(59));
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.pass(seconds(1));
    CHECK(fixture.history.soleVersion("pool", fixture.now).has_value());
}

TEST_CASE("runners that do not state their version rule out a sole one")
{
    Fixture fixture;
    fixture.list({ "v1", "" });
    fixture.pass(seconds(70));
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    Fixture unknown;
    unknown.list({ "" });
    unknown.pass(seconds(130));
    CHECK_FALSE(unknown.history.soleVersion("pool", unknown.now));
}

TEST_CASE("a daemon that just started takes the history of another one that agrees with what it saw itself")
{
    Fixture fixture;
    fixture.pass(seconds(1));
    const auto pool = hash64("pool");
    fixture.history.adopt({ pool, fixture.software() + 1, seconds(90) }, fixture.now);
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
    fixture.history.adopt({ pool, fixture.software(), seconds(90) }, fixture.now);
    CHECK(fixture.history.soleVersion("pool", fixture.now) == fixture.software());
    const auto told = fixture.history.soleVersions(fixture.now);
    REQUIRE(told.size() == 1);
    CHECK(told.front().service == pool);
    CHECK(told.front().age == seconds(90));
    fixture.list({ "v1", "v2" });
    fixture.history.adopt({ pool, fixture.software(), seconds(90) }, fixture.now);
    CHECK_FALSE(fixture.history.soleVersion("pool", fixture.now));
}
