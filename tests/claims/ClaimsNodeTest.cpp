#include "Schedule.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace eelgrassford;
using namespace eelgrassford::claims;
using std::chrono::milliseconds;

namespace {

/// A witness of a view with the members a, b and c.
Witness makeWitness(const HostId& self, bool isFirstStart, TimePoint now = {})
{
    Witness witness(self, 0, Timing {}, isFirstStart, now);
    witness.setView({ 1, { "a", "b", "c" } }, now);
    return witness;
}

SyncReply makeSyncReply(bool isReady, std::vector<Grant> grants = {})
{
    const WitnessView view { 1, { "a", "b", "c" } };
    return { 0, view, isReady ? std::optional(view) : std::nullopt, false, std::move(grants) };
}

ClaimRequest makeClaimRequest(std::uint64_t key, const HostId& claimant)
{
    return { { key, key }, { claimant, 1, 1 }, WitnessView { 1, { "a", "b", "c" } }.digest() };
}

}

TEST_CASE("a witness")
{
    SUBCASE("grants a key to one claim only")
    {
        auto witness = makeWitness("a", true);
        for (const auto* peer : { "b", "c" }) {
            auto reply = makeSyncReply(false);
            reply.isFirstStart = true;
            witness.handle(peer, reply, TimePoint {});
        }
        REQUIRE(witness.isReady());
        CHECK(witness.handle(makeClaimRequest(1, "b"), TimePoint {}).verdict == Verdict::Granted);
        CHECK(witness.handle(makeClaimRequest(1, "b"), TimePoint {}).verdict == Verdict::Granted);
        const auto held = witness.handle(makeClaimRequest(1, "c"), TimePoint {});
        CHECK(held.verdict == Verdict::Held);
        CHECK(held.holder.claimant == "b");

        SUBCASE("until the claim is released")
        {
            witness.handle(ClaimRelease { { 1, 1 }, { "b", 1, 1 } }, TimePoint {});
            CHECK(witness.handle(makeClaimRequest(1, "b"), TimePoint {}).verdict == Verdict::Refused);
            CHECK(witness.handle(makeClaimRequest(1, "c"), TimePoint {}).verdict == Verdict::Granted);
        }

        SUBCASE("until the retention is over")
        {
            CHECK(witness.handle(makeClaimRequest(1, "c"), TimePoint(std::chrono::minutes(16))).verdict
                == Verdict::Granted);
        }

        SUBCASE("and refuses claims under a view with other members")
        {
            auto request = makeClaimRequest(2, "b");
            request.view = WitnessView { 1, { "a", "b", "d" } }.digest();
            CHECK(witness.handle(request, TimePoint {}).verdict == Verdict::Refused);
        }
    }

    SUBCASE("abstains after a restart until the abstention period is over and enough peers have sent their grants")
    {
        auto witness = makeWitness("a", false);
        witness.handle("b", makeSyncReply(true), TimePoint(milliseconds(100)));
        witness.handle("c", makeSyncReply(true, { { { 1, 1 }, { "x", 1, 1 }, milliseconds(50), false } }),
            TimePoint(milliseconds(100)));
        CHECK_FALSE(witness.isReady());
        std::vector<Envelope> out;
        witness.tick(TimePoint(milliseconds(5100)), out);
        CHECK(witness.isReady());
        CHECK(witness.handle(makeClaimRequest(1, "b"), TimePoint(milliseconds(5100))).verdict == Verdict::Held);
    }

    SUBCASE("abstains while too few peers are ready, until all grants it lost have expired and the view is confirmed")
    {
        auto witness = makeWitness("a", false);
        std::vector<Envelope> out;
        witness.handle("b", makeSyncReply(false), TimePoint(milliseconds(6000)));
        witness.tick(TimePoint(std::chrono::minutes(14)), out);
        CHECK_FALSE(witness.isReady());
        witness.tick(TimePoint(std::chrono::minutes(16)), out);
        CHECK_FALSE(witness.isReady());
        witness.confirmView(TimePoint(std::chrono::minutes(16)));
        witness.tick(TimePoint(std::chrono::minutes(16)), out);
        CHECK(witness.isReady());
    }

    SUBCASE("grants a key to no claim after peers reported different holders")
    {
        auto witness = makeWitness("a", false);
        witness.handle(
            "b", makeSyncReply(true, { { { 1, 1 }, { "x", 1, 1 }, {}, false } }), TimePoint(milliseconds(6000)));
        witness.handle(
            "c", makeSyncReply(true, { { { 1, 1 }, { "y", 1, 1 }, {}, false } }), TimePoint(milliseconds(6000)));
        // Another witness learns both holders from the same peer before it becomes ready.
        auto otherWitness = makeWitness("a", false);
        otherWitness.handle(
            "b", makeSyncReply(false, { { { 1, 1 }, { "x", 1, 1 }, {}, false } }), TimePoint(milliseconds(100)));
        otherWitness.handle(
            "b", makeSyncReply(true, { { { 1, 1 }, { "y", 1, 1 }, {}, false } }), TimePoint(milliseconds(200)));
        otherWitness.handle("c", makeSyncReply(true), TimePoint(milliseconds(6000)));
        REQUIRE(otherWitness.isReady());
        CHECK(otherWitness.handle(makeClaimRequest(1, "x"), TimePoint(milliseconds(6000))).verdict == Verdict::Held);
        CHECK(otherWitness.handle(makeClaimRequest(1, "y"), TimePoint(milliseconds(6000))).verdict == Verdict::Held);
    }
}

TEST_CASE("witnesses of a large fleet are spread over data centres and rarely change when a host leaves")
{
    std::vector<EntryHost> hosts;
    for (std::size_t i = 0; i < 710; ++i)
        hosts.push_back({ "entry-" + std::to_string(i), "dc-" + std::to_string(i % 32) });
    std::size_t changedGroups = 0;
    auto fewer = hosts;
    fewer.erase(fewer.begin() + 100);
    for (std::uint32_t group = 0; group < 256; ++group) {
        const auto before = chooseWitnesses(hosts, group, 7);
        CHECK(before.size() == 7);
        std::set<std::string> dataCentres;
        for (const auto& id : before)
            dataCentres.insert("dc-" + std::to_string(std::stoul(id.substr(6)) % 32));
        CHECK(dataCentres.size() == 7);
        changedGroups += before == chooseWitnesses(fewer, group, 7) ? 0 : 1;
    }
    CHECK(changedGroups <= 16);
}

TEST_CASE("a simulated session of claims matches its recorded trace")
{
    claims::test::Schedule schedule(4711, { true, true, true, true, true }, claims::test::Defect::None, 3);
    std::ostringstream trace;
    schedule.setTrace([&](const std::string& line) { trace << line << "\n"; });
    CHECK_FALSE(schedule.run());
    const std::string path = EELGRASSFORD_TEST_DATA "/golden/claims-session.txt";
    if (std::getenv("EELGRASSFORD_RECORD_GOLDEN"))
        std::ofstream(path) << trace.str();
    std::ostringstream golden;
    golden << std::ifstream(path).rdbuf();
    CHECK(trace.str() == golden.str());
}
