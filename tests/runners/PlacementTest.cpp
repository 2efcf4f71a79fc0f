#include "runners/Placement.h"

#include "common/Hash.h"
#include <doctest/doctest.h>
#include <map>

using namespace eelgrassford;
using runners::Placement;
using runners::PlacementReason;
using runners::Registry;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

struct Fleet {
    Registry registry;
    std::vector<runners::RunnerEntry> entries;

    explicit Fleet(int count)
    {
        for (int i = 0; i < count; ++i)
            entries.push_back(
                { "r-" + std::to_string(i), "pool", "127.0.0.1", 8000, i % 2 == 0 ? "a" : "b", 64, false, 1, "v1" });
        apply();
    }
    void apply()
    {
        registry.apply(entries, start, [](const std::string&) {});
    }
    Placement place(
        std::uint64_t affinityKey, std::span<const std::string> excluded = {}, std::string_view previous = {})
    {
        runners::PlacementRequest request;
        request.service = "pool";
        request.affinityKey = affinityKey;
        request.previousRunner = previous;
        request.dataCentre = "a";
        request.excluded = excluded;
        return runners::place(registry, request, {}, start);
    }
};

}

TEST_CASE("a shared prefix has the same first choice on every daemon")
{
    Fleet one(18);
    Fleet other(18);
    for (std::uint64_t prefix = 1; prefix < 200; ++prefix) {
        const auto placement = one.place(prefix);
        CHECK(placement.reason == PlacementReason::Warm);
        CHECK(placement.runner->entry.id == other.place(prefix).runner->entry.id);
    }
}

TEST_CASE("an added or removed runner moves only its own share of the prefixes")
{
    Fleet before(18);
    Fleet after(19);
    int moved = 0;
    for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
        const auto* runner = after.place(prefix).runner;
        if (runner->entry.id == before.place(prefix).runner->entry.id)
            continue;
        CHECK(runner->entry.id == "r-18");
        ++moved;
    }
    CHECK(moved > 20);
    CHECK(moved < 90);
}

TEST_CASE("requests for a hot prefix spread over the next runners in its order, within the load bound")
{
    Fleet fleet(18);
    std::map<std::string, int> counts;
    for (int i = 0; i < 180; ++i) {
        const auto placement = fleet.place(42);
        fleet.registry.recordDispatch(*placement.runner, start);
        ++counts[placement.runner->entry.id];
        CHECK(placement.firstChoice != nullptr);
    }
    for (const auto& [id, count] : counts)
        CHECK(count <= 1.5 * 10 + 3);
    CHECK(counts.size() >= 10);
    CHECK(counts.size() < 18);
}

TEST_CASE("a runner that failed the request is not chosen again")
{
    Fleet fleet(3);
    const std::vector<std::string> excluded { fleet.place(7).runner->entry.id };
    CHECK(fleet.place(7, excluded).runner->entry.id != excluded.front());
    const std::vector<std::string> all { "r-0", "r-1", "r-2" };
    CHECK(fleet.place(7, all).runner == nullptr);
}

TEST_CASE("the runner whose suspension ends first is chosen when every runner is suspended or excluded")
{
    // Guards against a refusal seen under high load: one runner of three had failed the request, and the two others
    // were suspended.
    Fleet fleet(3);
    const std::vector<std::string> excluded { "r-0" };
    fleet.registry.find("r-1")->suspendedUntil = start + std::chrono::seconds(3);
    fleet.registry.find("r-2")->suspendedUntil = start + std::chrono::seconds(1);
    const auto placement = fleet.place(0, excluded);
    CHECK(placement.reason == PlacementReason::LastResort);
    CHECK(placement.runner->entry.id == "r-2");
}

TEST_CASE("a spilled request fetches its prefix from the first choice, also right after the daemon started")
{
    Fleet fleet(18);
    CHECK(fleet.place(5).prefixSource == nullptr);
    for (int i = 0; i < 3; ++i)
        fleet.registry.recordDispatch(*fleet.place(5).firstChoice, start);
    const auto spilled = fleet.place(5);
    CHECK(spilled.reason == PlacementReason::Spilled);
    CHECK(spilled.prefixSource == spilled.firstChoice);
}

TEST_CASE("a newly chosen runner fetches a prefix from the runner that had it cached, even if that one is leaving")
{
    const auto later = start + std::chrono::seconds(60);
    Fleet fleet(18);
    const auto* before = fleet.place(5).runner;
    const auto id = before->entry.id;
    for (auto& entry : fleet.entries)
        entry.isLeaving = entry.id == id;
    fleet.registry.apply(fleet.entries, later, [](const std::string&) {});
    runners::PlacementRequest request;
    request.service = "pool";
    request.affinityKey = 5;
    const auto moved = runners::place(fleet.registry, request, {}, later);
    CHECK(moved.runner->entry.id != id);
    REQUIRE(moved.prefixSource);
    CHECK(moved.prefixSource->entry.id == id);
    for (auto& entry : fleet.entries)
        entry.isLeaving = false;
    for (int i = 100; i < 160; ++i)
        fleet.entries.push_back({ "r-" + std::to_string(i), "pool", "127.0.0.1", 8000, "a", 64, false, 1, "v1" });
    fleet.registry.apply(fleet.entries, later, [](const std::string&) {});
    const auto young = runners::place(fleet.registry, request, {}, later);
    REQUIRE(young.runner->listedSince == later);
    REQUIRE(young.prefixSource);
    CHECK(young.prefixSource->entry.id == id);
}

// Guards against requests to a data centre that is out of service, lost caches there, and a second wave of prefills.
TEST_CASE("runners of an evacuated data centre get nothing but give their cached prefixes, and fetch them afterwards")
{
    Fleet fleet(18);
    std::uint64_t prefix = 1;
    while (fleet.place(prefix).runner->entry.dataCentre != "b")
        ++prefix;
    auto* warm = fleet.place(prefix).runner;
    REQUIRE(fleet.registry.setEvacuated({ "b" }, start).front().runners.size() == 9);
    const auto moved = fleet.place(prefix, {}, warm->entry.id);
    CHECK(moved.runner->entry.dataCentre == "a");
    CHECK(moved.prefixSource == warm);
    // A runner that is listed meanwhile is evacuated too, and the evacuation outlasts a new listing.
    fleet.entries.push_back({ "r-b", "pool", "127.0.0.1", 8000, "b", 64, false, 1, "v1" });
    fleet.apply();
    CHECK_FALSE(fleet.registry.isUsable(*fleet.registry.find("r-b"), start));
    CHECK(fleet.registry.availability(*warm, start).exclusion == runners::Exclusion::Evacuated);
    // If only they could serve a request, nobody does, also not as a last resort.
    std::vector<std::string> others;
    for (const auto& entry : fleet.entries) {
        if (entry.dataCentre == "a")
            others.push_back(entry.id);
    }
    const auto none = fleet.place(prefix, others);
    CHECK(none.runner == nullptr);
    CHECK_FALSE(none.availableAt);
    CHECK_FALSE(fleet.registry.setEvacuated({}, start).front().isEvacuated);
    const auto returned = fleet.place(prefix);
    CHECK(returned.runner == warm);
    REQUIRE(returned.prefixSource);
    CHECK(returned.prefixSource->entry.dataCentre == "a");
}

TEST_CASE("a session returns to the runner that served it last")
{
    Fleet fleet(18);
    const auto placement = fleet.place(9, {}, "r-4");
    CHECK(placement.runner->entry.id == "r-4");
    CHECK(placement.reason == PlacementReason::Returning);
}

TEST_CASE("requests without a shared prefix go to the least loaded runner, preferably of the same data centre")
{
    Fleet fleet(4);
    CHECK(fleet.place(0).runner->entry.dataCentre == "a");
    fleet.registry.recordDispatch(*fleet.registry.find("r-0"), start);
    fleet.registry.recordDispatch(*fleet.registry.find("r-2"), start);
    CHECK(fleet.place(0).runner->entry.dataCentre == "b");
}

TEST_CASE("daemons that know each other's load do not herd to the runner that a stale report shows as idle")
{
    // Load pattern: twenty daemons see the same stale report of one idle runner, and each places requests without a
    // shared prefix.
    constexpr int daemons = 20;
    std::map<std::string, std::uint32_t> counts;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        Fleet fleet(10);
        runners::PlacementRequest request;
        request.service = "pool";
        request.dataCentre = "c";
        for (int i = 0; i < 5; ++i) {
            request.tieBreaker = hash64(std::to_string(daemon * 100 + i));
            for (auto& [id, count] : counts)
                fleet.registry.setPeerSummary(
                    *fleet.registry.find(id), { count - fleet.registry.find(id)->ownLoad, 0.0, 0.0, 0 });
            auto* runner = runners::place(fleet.registry, request, {}, start).runner;
            fleet.registry.recordDispatch(*runner, start);
            ++counts[runner->entry.id];
        }
    }
    for (const auto& [id, count] : counts)
        CHECK(count == 10);
}

TEST_CASE("a request that continues a stream is only placed at the software that began it, also as a last resort")
{
    Fleet fleet(6);
    for (int i = 0; i < 6; ++i)
        fleet.entries[static_cast<std::size_t>(i)].version = i < 2 ? "v2" : "v1";
    fleet.apply();
    runners::PlacementRequest request;
    request.service = "pool";
    request.affinityKey = 7;
    request.software = fleet.registry.find("r-0")->software;
    const auto place = [&](TimePoint now) { return runners::place(fleet.registry, request, {}, now).runner; };
    REQUIRE(place(start));
    CHECK(place(start)->entry.version == "v2");
    fleet.registry.recordObservation(*fleet.registry.find("r-0"), runners::Observation::CannotConnect, start);
    REQUIRE(place(start));
    CHECK(place(start)->entry.id == "r-1");
    // A runner that refused a connection may have restarted with other software.
    fleet.registry.recordObservation(*fleet.registry.find("r-1"), runners::Observation::CannotConnect, start);
    CHECK_FALSE(place(start));
    CHECK(place(start + std::chrono::seconds(4)));
    request.software = runners::unknownSoftware;
    CHECK_FALSE(place(start));
}
