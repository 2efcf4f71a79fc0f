#include "runners/WorkPlacement.h"

#include "common/Hash.h"
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace eelgrassford;
using runners::PlacementReason;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Runners of 16 slots in three data centres, as one daemon of data centre "a" sees them.
struct Fleet {
    runners::Registry registry;
    work::RemainingWork remaining;
    runners::WorkPlacement placement;
    runners::PlacementRequest request;
    runners::RequestCost cost;
    runners::ServiceProfile profile;

    explicit Fleet(int count = 9)
    {
        std::vector<runners::RunnerEntry> entries;
        for (int i = 0; i < count; ++i)
            entries.push_back({ "r-" + std::to_string(i), "pool", "127.0.0.1", 8000, std::string(1, "abc"[i % 3]), 16,
                false, 1, "v1" });
        registry.apply(entries, start, [](const std::string&) {});
        request.service = "pool";
        request.dataCentre = "a";
        request.affinityKey = 5;
        cost = { 4000.0, 3000.0, 1000.0, 5000.0, true, std::chrono::seconds(1) };
        profile.keepsDataCentre = true;
    }
    runners::Placement place(TimePoint now = start)
    {
        request.tieBreaker = mix64(request.tieBreaker, 1);
        return placement.place(registry, remaining, request, cost, profile, now);
    }
    static work::RunnerKey key(const runners::Runner& runner) { return static_cast<work::RunnerKey>(runner.identity); }
    void setLoad(std::string_view dataCentre, std::uint32_t load)
    {
        for (auto* runner : registry.runnersOf("pool"))
            if (runner->entry.dataCentre == dataCentre)
                registry.setPeerSummary(*runner, { load, 0.0, 0.0, 0 });
    }
    void addPrefill(std::string_view dataCentre, double tokens)
    {
        for (auto* runner : registry.runnersOf("pool"))
            if (runner->entry.dataCentre == dataCentre)
                remaining.begin(key(*runner), { tokens, 0.0, 0.0 }, start);
    }
};

}

// Guards against prompts that are computed, and streams that are carried, across the links between data centres.
TEST_CASE("a request stays in its data centre, where each shared prefix has its own copy that is fetched once")
{
    std::set<std::string> firsts;
    int fetches = 0;
    for (std::uint64_t prefix = 1; prefix <= 60; ++prefix) {
        Fleet fleet;
        fleet.request.affinityKey = prefix;
        const auto first = fleet.place();
        CHECK(first.runner->entry.dataCentre == "a");
        CHECK(first.reason == PlacementReason::Warm);
        firsts.insert(first.runner->entry.id);
        if (first.prefixSource) {
            ++fetches;
            CHECK(first.prefixSource->entry.dataCentre != "a");
        }
        fleet.placement.recordSent(prefix, *first.runner, start);
        const auto second = fleet.place();
        CHECK(second.runner == first.runner);
        CHECK_FALSE(second.prefixSource);
    }
    CHECK(firsts.size() == 3);
    // Only the prefixes that come first in this data centre have nowhere to be fetched from.
    CHECK(fetches > 25);
}

TEST_CASE(
    "a request leaves its data centre only for a gain above an eighth of its objective, or if none is usable there")
{
    Fleet fleet;
    fleet.profile.rates.prefillMsPerToken = 0.05;
    fleet.addPrefill("a", 2000.0);
    CHECK(fleet.place().runner->entry.dataCentre == "a");
    fleet.addPrefill("a", 2000.0);
    const auto left = fleet.place();
    CHECK(left.reason == PlacementReason::OtherDataCentre);
    // After that a sixteenth is enough for a while, so that the decision does not flap.
    fleet.addPrefill("b", 2200.0);
    fleet.addPrefill("c", 2200.0);
    CHECK(fleet.place().reason == PlacementReason::OtherDataCentre);
    CHECK(fleet.place(start + std::chrono::seconds(3)).runner->entry.dataCentre == "a");
    Fleet gone;
    for (auto* runner : gone.registry.runnersOf("pool"))
        if (runner->entry.dataCentre == "a")
            runner->suspendedUntil = start + std::chrono::seconds(1);
    CHECK(gone.place().reason == PlacementReason::OtherDataCentre);
}

TEST_CASE("a local runner near its slots, its memory or the load bound is not chosen while others have room")
{
    Fleet bySlots;
    bySlots.setLoad("a", 15);
    bySlots.setLoad("b", 14);
    bySlots.setLoad("c", 14);
    CHECK(bySlots.place().runner->entry.dataCentre != "a");
    Fleet byBound;
    byBound.setLoad("a", 9);
    byBound.setLoad("b", 1);
    byBound.setLoad("c", 1);
    CHECK(byBound.place().runner->entry.dataCentre != "a");
    Fleet byMemory;
    byMemory.profile.kvCapacityTokens = 20000.0;
    for (auto* runner : byMemory.registry.runnersOf("pool"))
        if (runner->entry.dataCentre == "a")
            byMemory.remaining.begin(Fleet::key(*runner), { 0.0, 0.0, 14000.0 }, start);
    CHECK(byMemory.place().runner->entry.dataCentre != "a");
}

// Guards against runners beyond the bound when every one of them has its slots full.
TEST_CASE("no runner gets more than the load bound, also with all slots taken and wrong estimates of work")
{
    Fleet fleet;
    std::map<runners::Runner*, std::uint32_t> load;
    for (int i = 0; i < 300; ++i) {
        fleet.request.affinityKey = static_cast<std::uint64_t>(i % 3);
        fleet.request.dataCentre = i % 5 == 0 ? "b" : "a";
        const auto chosen = fleet.place();
        REQUIRE(chosen.runner);
        fleet.registry.recordDispatch(*chosen.runner, start);
        ++load[chosen.runner];
        CHECK(load[chosen.runner] <= 2.0 * (i + 1) / 9.0 + 3.0);
    }
}

TEST_CASE("a hot prefix gets a second warm runner, the same one from every daemon")
{
    std::set<std::string> seconds;
    for (std::uint64_t daemon = 0; daemon < 20; ++daemon) {
        Fleet fleet(30);
        fleet.request.tieBreaker = daemon;
        const auto* first = fleet.place().runner;
        fleet.remaining.begin(Fleet::key(*first), { 4000.0, 0.0, 0.0 }, start);
        const auto second = fleet.place();
        CHECK(second.runner != first);
        CHECK(second.runner->entry.dataCentre == "a");
        CHECK(second.prefixSource);
        seconds.insert(second.runner->entry.id);
    }
    CHECK(seconds.size() == 1);
}

// Guards against the herd: reports are older than the decisions of all daemons that read them.
TEST_CASE("daemons that read the same report do not all choose the same runner")
{
    std::map<std::string, int> counts;
    for (std::uint64_t daemon = 0; daemon < 112; ++daemon) {
        Fleet fleet(30);
        fleet.request.tieBreaker = mix64(daemon, 7);
        fleet.request.affinityKey = 0;
        fleet.cost.prefixTokens = 0.0;
        for (auto* runner : fleet.registry.runnersOf("pool"))
            fleet.registry.recordReportedLoad(*runner, { 8, 0, 16, {} }, start);
        fleet.registry.recordReportedLoad(*fleet.registry.find("r-0"), { 7, 0, 16, {} }, start);
        ++counts[fleet.place().runner->entry.id];
    }
    CHECK(counts.size() >= 5);
    for (const auto& [runner, count] : counts)
        CHECK(count <= 112 / 3);
}

TEST_CASE("a runner that works slowly now gets less than its share, and recovers when the report has decayed")
{
    Fleet fleet;
    const auto* first = fleet.place().runner;
    fleet.remaining.recordReport(Fleet::key(*first), 4.0, start);
    const auto avoided = fleet.place();
    CHECK(avoided.runner != first);
    CHECK(avoided.work->slowdown == 1.0);
    CHECK(fleet.place(start + std::chrono::seconds(3)).runner == first);
}
