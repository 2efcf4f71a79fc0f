#include "proxy/PlacementControl.h"

#include "common/Hash.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::PlacementControl;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Six runners in two data centres, and a request of data centre "a".
struct Fixture {
    runners::Registry registry;
    routing::Route route;
    routing::Service service { "pool", true, 16, 100000, 4 };
    proxy::RequestMetadata metadata;
    proxy::PromptAffinity affinity { 5, 6, 3000, 4000 };
    runners::PlacementRequest request;
    PlacementControl control;

    explicit Fixture(std::uint32_t losses)
        : control(registry, { {}, losses })
    {
        std::vector<runners::RunnerEntry> entries;
        for (int i = 0; i < 6; ++i)
            entries.push_back(
                { "r-" + std::to_string(i), "pool", "127.0.0.1", 8000, i % 2 == 0 ? "a" : "b", 16, false, 1, "v1" });
        registry.apply(entries, start, [](const std::string&) {});
        route.name = "r";
        route.kind = routing::RequestKind::Stream;
        metadata.expectedOutputTokens = 80;
        request.service = "pool";
        request.dataCentre = "a";
    }
    proxy::WorkRequest work() const { return { route, &service, service.name, "o", metadata, affinity }; }
    runners::Placement place(TimePoint now = start) { return control.place(request, work(), now); }
};

}

// Guards against other placements for services without the switch.
TEST_CASE("without tolerated losses and reported slowdowns, a service is placed exactly as by load")
{
    Fixture fixture(0);
    for (std::uint64_t i = 0; i < 300; ++i) {
        fixture.request.affinityKey = i % 40;
        fixture.request.tieBreaker = mix64(i, 1);
        const auto expected = runners::place(fixture.registry, fixture.request, {}, start);
        const auto placed = fixture.place();
        CHECK(placed.runner == expected.runner);
        CHECK(placed.prefixSource == expected.prefixSource);
        CHECK(placed.reason == expected.reason);
        CHECK_FALSE(placed.work);
        CHECK_FALSE(fixture.control.begin(fixture.request, fixture.work(), placed, start));
        fixture.registry.recordDispatch(*placed.runner, start);
    }
}

TEST_CASE("a service is placed by work while its runners report their slowdown, and others are not")
{
    Fixture fixture(0);
    const auto& runner = *fixture.registry.find("r-0");
    fixture.control.recordReport(runner, { 1, 0, 16, {} }, start);
    CHECK_FALSE(fixture.place().work);
    fixture.control.recordReport(runner, { 1, 0, 16, 1.0 }, start);
    CHECK(fixture.place().work);
    CHECK_FALSE(fixture.control.isByWork("other", start));
    CHECK_FALSE(fixture.place(start + std::chrono::minutes(2)).work);
}

TEST_CASE("the work of a request shrinks with its events and is gone when it ends")
{
    Fixture fixture(1);
    fixture.request.affinityKey = fixture.affinity.prefixHash;
    const auto placed = fixture.place();
    REQUIRE(placed.work);
    CHECK(placed.runner->entry.dataCentre == "a");
    auto attempt = fixture.control.begin(fixture.request, fixture.work(), placed, start);
    REQUIRE(attempt);
    const auto begun = fixture.control.remaining(*placed.runner);
    CHECK(begun.prefillTokens == 1000);
    CHECK(begun.residentTokens == 4080);
    fixture.control.recordEvents(attempt, fixture.work(), 2, start + std::chrono::milliseconds(200));
    const auto advanced = fixture.control.remaining(*placed.runner);
    CHECK(advanced.prefillTokens == 0);
    CHECK(advanced.outputMs < begun.outputMs);
    fixture.control.end(attempt, fixture.work(), runners::Observation::Served, start + std::chrono::milliseconds(300));
    CHECK(fixture.control.remaining(*placed.runner) == fleet::RemainingWork {});
    CHECK_FALSE(attempt);
}
