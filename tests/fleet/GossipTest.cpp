#include "fleet/Gossip.h"

#include "fleet/FleetModel.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassford;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::FleetModel;

namespace {

constexpr fleet::RunnerKey runner = 7;
/// Time in which a fleet that has just started, or was disturbed, knows the load of all its daemons.
constexpr Duration settleTime = seconds(10);
/// The same after half of the aggregators were lost: a daemon may try several of them, one after the other.
constexpr Duration halfLostSettleTime = seconds(20);

/// Options with which a fleet of 60 daemons has ten aggregators.
fleet::Gossip::Options smallGroups()
{
    fleet::Gossip::Options options;
    options.aggregation.startSize = 24;
    options.aggregation.endSize = 20;
    options.aggregation.daemonsPerAggregator = 6;
    return options;
}

/// Gives each daemon a part of the load of 160 runners, and @a runner one request of each daemon.
void setUsualLoad(FleetModel& model)
{
    for (std::size_t i = 0; i < model.daemons().size(); ++i) {
        for (fleet::RunnerKey other = 0; other < 8; ++other)
            model.setLoad(i, 1000 + static_cast<fleet::RunnerKey>(i * 13 + other * 20) % 160, 1);
        model.setLoad(i, runner, 1);
    }
}

std::size_t indexOf(const FleetModel& model, const std::string& ip)
{
    for (std::size_t i = 0; i < model.daemons().size(); ++i) {
        if (model.daemons()[i].ip == ip)
            return i;
    }
    FAIL("no daemon has this address");
    return 0;
}

/// A daemon that reports to another one.
std::size_t findReporter(const FleetModel& model)
{
    for (std::size_t i = 0; i < model.daemons().size(); ++i) {
        if (!model.daemons()[i].gossip->aggregation().isOwnAggregator())
            return i;
    }
    FAIL("every daemon is an aggregator");
    return 0;
}

}

TEST_CASE(
    "a daemon of any fleet knows the load of all others, each counted once, for messages that do not grow with it")
{
    // The control budget of a daemon: 15 KB a second.
    constexpr double bytesPerSecond = 15000.0;
    constexpr int measuredSeconds = 4;
    for (const std::size_t size : { 7u, 100u, 300u }) {
        CAPTURE(size);
        FleetModel model(size, 20261204);
        setUsualLoad(model);
        // Three services with four organisations each.
        for (std::size_t i = 0; i < size; ++i) {
            for (std::uint32_t service = 0; service < 3; ++service) {
                auto& demand = model.daemons()[i].state.demands.emplace_back();
                demand = { 1'000'000'000 + service, { 3000, 2000, 900 }, {} };
                for (std::size_t flow = 0; flow < 4; ++flow)
                    demand.flows.push_back(
                        { static_cast<admission::FlowKey>(3'000'000'000 + 8 * (i + flow) % 240), 250 });
            }
        }
        model.run(settleTime);
        CHECK(model.countExact(runner) == size);
        model.resetCounts();
        model.run(seconds(measuredSeconds));
        double sent = 0.0;
        for (const auto& daemon : model.daemons())
            sent += static_cast<double>(daemon.sentBytes) / measuredSeconds;
        CHECK(sent / static_cast<double>(size) < bytesPerSecond);
        CHECK(model.countExact(runner) == size);
    }
}

TEST_CASE("the load of a fleet is known again after an aggregator dies, and never counted twice meanwhile")
{
    FleetModel model(60, 2, smallGroups());
    setUsualLoad(model);
    model.run(settleTime);
    const auto dead = indexOf(model, model.daemons()[findReporter(model)].gossip->aggregation().aggregator());
    model.stop(dead);
    for (int i = 0; i < 120; ++i) {
        model.step();
        for (const std::size_t index : { findReporter(model), std::size_t { 5 }, std::size_t { 59 } }) {
            // The dead daemon's own request is known until its group's last summary expires.
            if (index != dead)
                CHECK(model.believedLoad(index, runner) <= model.trueLoad(index, runner) + 1);
        }
    }
    CHECK(model.countExact(runner) == 59);
}

TEST_CASE("a daemon that leaves is no longer counted, and its group finds another aggregator at once")
{
    FleetModel model(60, 3, smallGroups());
    setUsualLoad(model);
    model.run(settleTime);
    const auto leaving = indexOf(model, model.daemons()[findReporter(model)].gossip->aggregation().aggregator());
    auto& daemon = model.daemons()[leaving];
    for (const auto& outgoing : daemon.gossip->leave(daemon.state, model.now())) {
        const auto decoded = fleet::decode(outgoing.bytes);
        REQUIRE(decoded);
        auto& receiver = model.daemons()[indexOf(model, outgoing.ip)];
        if (const auto* digest = std::get_if<fleet::Digest>(&*decoded))
            receiver.gossip->receive(*digest, model.now());
        else
            receiver.gossip->receive(std::get<fleet::Summary>(*decoded), model.now());
    }
    model.stop(leaving);
    model.run(milliseconds(1500));
    CHECK(model.countExact(runner) == 59);
}

TEST_CASE("the halves of a partitioned fleet know their own load, and the whole fleet's after the partition")
{
    FleetModel model(60, 4, smallGroups());
    setUsualLoad(model);
    model.run(settleTime);
    SUBCASE("after some seconds") { }
    SUBCASE("after more than the forget timeout")
    {
        model.setPartition(30);
        model.run(seconds(90));
    }
    model.setPartition(30);
    model.run(halfLostSettleTime);
    CHECK(model.believedLoad(10, runner) == 29);
    CHECK(model.believedLoad(50, runner) == 29);
    model.setPartition(std::nullopt);
    model.run(seconds(45));
    CHECK(model.countExact(runner) == 60);
}

TEST_CASE("a fleet of which every daemon restarts at once finds itself again, and so does a single one that restarts")
{
    FleetModel model(60, 5, smallGroups());
    setUsualLoad(model);
    model.run(settleTime);
    for (std::size_t i = 0; i < 60; ++i)
        model.start(i);
    model.run(settleTime);
    CHECK(model.countExact(runner) == 60);
    model.start(17);
    model.run(seconds(3));
    CHECK(model.believedLoad(17, runner) == 59);
}

TEST_CASE("a fleet that grows and shrinks across the size for aggregation keeps to the true load")
{
    FleetModel model(40, 6, smallGroups());
    setUsualLoad(model);
    for (std::size_t i = 18; i < 40; ++i)
        model.stop(i);
    model.run(settleTime);
    CHECK(model.countExact(runner) == 18);
    for (std::size_t i = 18; i < 40; ++i)
        model.start(i);
    model.run(settleTime);
    CHECK(model.countExact(runner) == 40);
    for (std::size_t i = 15; i < 40; ++i)
        model.stop(i);
    model.run(seconds(150));
    CHECK(model.countExact(runner) == 15);
    CHECK_FALSE(model.daemons()[0].gossip->aggregation().isActive());
}

TEST_CASE("load is known within a tenth under losses, delays and repeated messages")
{
    FleetModel model(60, 7, smallGroups());
    setUsualLoad(model);
    model.setLoss(0.05);
    model.setDelays(0.05);
    model.setDuplication(0.05);
    model.run(settleTime);
    int outside = 0;
    for (int i = 0; i < 40; ++i) {
        model.step();
        for (std::size_t index = 0; index < 60; index += 2) {
            const auto believed = model.believedLoad(index, runner);
            outside += believed < 54 || believed > 66 ? 1 : 0;
        }
    }
    CHECK(outside <= 12);
}

TEST_CASE("a change that one daemon learns of is announced to the whole fleet within a second")
{
    FleetModel model(60, 8, smallGroups());
    model.run(settleTime);
    auto& reader = model.daemons()[findReporter(model)];
    reader.state.changeRevision = 42;
    reader.gossip->expedite(model.now());
    model.run(seconds(1));
    for (const auto& daemon : model.daemons())
        CHECK(daemon.state.changeRevision == 42);
}

namespace {

/// Work of the most urgent kind that a daemon believes the others to be asked for.
admission::Work believedDemand(const FleetModel& model, std::size_t index)
{
    const auto demands = model.daemons()[index].gossip->demandOfOthers(model.now());
    return demands.empty() ? 0 : demands[0].byPriority[0];
}

}

TEST_CASE("the demand of all daemons, the heaviest organisations and one clock are known in any fleet, until one ends")
{
    for (const std::size_t size : { 7u, 60u }) {
        CAPTURE(size);
        FleetModel model(size, 14, smallGroups());
        for (std::size_t i = 0; i < size; ++i) {
            // One heavy organisation at all daemons, and others at one daemon each.
            const auto light = static_cast<admission::FlowKey>(8 * (i + 2));
            model.daemons()[i].state.demands = { { 4, { 110, 5 }, { { 8, 100 }, { light, 10 } } } };
        }
        model.run(settleTime);
        for (std::size_t i = 0; i < size; ++i) {
            CAPTURE(i);
            CHECK(believedDemand(model, i) == 110 * (size - 1));
            const auto demands = model.daemons()[i].gossip->demandOfOthers(model.now());
            REQUIRE(demands.size() == 1);
            CHECK(demands[0].byPriority[1] == 5 * (size - 1));
            CHECK(demands[0].flows[0] == admission::FlowDemand { 8, 100 * (size - 1) });
        }
        const auto ended = size == 7 ? 1 : findReporter(model);
        model.stop(ended);
        model.run(seconds(5));
        for (std::size_t i = 0; i < size; ++i)
            CHECK((i == ended || believedDemand(model, i) == 110 * (size - 2)));
    }
}

TEST_CASE("a daemon whose clock is ahead leads the clock of the fleet, also through aggregators")
{
    for (const std::size_t size : { 7u, 60u }) {
        FleetModel model(size, 15, smallGroups());
        model.run(settleTime);
        fleet::Digest ahead;
        ahead.incarnation = 999;
        ahead.sequence = 1;
        ahead.ip = "10.9.9.8";
        ahead.region = "region";
        ahead.fleetTime = model.now().time_since_epoch() + std::chrono::hours(5);
        model.daemons()[2].gossip->receive(ahead, model.now());
        model.run(seconds(2));
        for (const auto& daemon : model.daemons()) {
            // Messages of the model take at least one step; each hop is behind by that.
            CHECK(daemon.gossip->fleetClockLead() <= std::chrono::hours(5));
            CHECK(daemon.gossip->fleetClockLead() >= std::chrono::hours(5) - 3 * FleetModel::stepTime);
        }
    }
}

TEST_CASE("a limit that a runner states to one daemon reaches every daemon of any fleet within a second")
{
    for (const std::size_t size : { 7u, 60u }) {
        FleetModel model(size, 10, smallGroups());
        model.run(settleTime);
        const auto teller = size == 7 ? 0 : findReporter(model);
        model.daemons()[teller].state.statements = { { runner, 3.4, milliseconds(100) } };
        model.run(seconds(1));
        for (std::size_t i = 0; i < size; ++i) {
            CAPTURE(i);
            const auto& received = model.daemons()[i].receivedLimits;
            CHECK((i == teller || !received.empty()));
            for (const auto& limit : received) {
                CHECK(limit.runner == runner);
                CHECK(limit.perSecond == 3.4);
                CHECK(limit.age == milliseconds(100));
            }
        }
    }
}

TEST_CASE("a runner that says to one daemon that it leaves is known to every daemon of any fleet within a second")
{
    for (const std::size_t size : { 7u, 60u }) {
        FleetModel model(size, 12, smallGroups());
        model.run(settleTime);
        const auto teller = size == 7 ? 0 : findReporter(model);
        model.daemons()[teller].state.statements = { { runner, {}, milliseconds(100), true, true } };
        model.run(seconds(1));
        for (std::size_t i = 0; i < size; ++i) {
            CAPTURE(i);
            const auto& received = model.daemons()[i].receivedLimits;
            CHECK((i == teller || !received.empty()));
            CHECK(std::all_of(received.begin(), received.end(),
                [](const auto& statement) { return statement.runner == runner && statement.isLeaving; }));
        }
    }
}

TEST_CASE("a proof that passes through aggregators is never newer than the original, however messages are delayed")
{
    FleetModel model(60, 9, smallGroups());
    model.run(settleTime);
    model.setDelays(0.4);
    model.setLoss(0.1);
    model.setDuplication(0.2);
    // Every aggregator was proven current at this time, and never again.
    const auto provenAt = model.now();
    for (auto& daemon : model.daemons()) {
        if (daemon.gossip->aggregation().isOwnAggregator())
            daemon.state.provenAt = provenAt;
    }
    model.run(seconds(5));
    std::size_t proven = 0;
    for (const auto& daemon : model.daemons()) {
        if (!daemon.provenAt)
            continue;
        ++proven;
        CHECK(*daemon.provenAt <= provenAt);
    }
    CHECK(proven > 40);
}

TEST_CASE("summaries are decoded as they were encoded, and a digest of an earlier release has no aggregator")
{
    fleet::Summary summary;
    summary.scope = fleet::Summary::Scope::Fleet;
    summary.incarnation = 1;
    summary.sequence = 2;
    summary.ip = "10.0.0.1";
    summary.region = "r";
    summary.acknowledged = 3;
    summary.proofAgeMs = 4;
    summary.changeRevision = 5;
    summary.daemons = 6;
    summary.members = { "10.0.0.2" };
    summary.runners = { { 7, 8, 9, 10, 11 }, { 12, 13, 14, 15, 16 } };
    summary.crashes = { { 17, { 18, 19 } } };
    summary.isLeaving = true;
    const auto decoded = fleet::decode(fleet::encode(summary));
    REQUIRE(decoded);
    const auto& copy = std::get<fleet::Summary>(*decoded);
    CHECK(copy.scope == summary.scope);
    CHECK(copy.incarnation == 1);
    CHECK(copy.sequence == 2);
    CHECK(copy.ip == summary.ip);
    CHECK(copy.region == "r");
    CHECK(copy.acknowledged == 3);
    CHECK(copy.proofAgeMs == 4);
    CHECK(copy.changeRevision == 5);
    CHECK(copy.daemons == 6);
    CHECK(copy.members == summary.members);
    CHECK(copy.runners == summary.runners);
    REQUIRE(copy.crashes.size() == 1);
    CHECK(copy.crashes[0].runners == std::vector<std::uint64_t> { 18, 19 });
    CHECK(copy.isLeaving);
    using nlohmann::json;
    std::string earlier;
    json::to_cbor(json { 0, { 1, 2, "i", "r", 3, json::array(), json::array(), json::array(), false } }, earlier);
    const auto digest = fleet::decode(earlier);
    REQUIRE(digest);
    CHECK(std::get<fleet::Digest>(*digest).aggregator.empty());
    CHECK_FALSE(fleet::decode(std::string("\x82\x03\x82\x00\x40", 5)));
    CHECK_FALSE(fleet::decode(std::string("\x82\x03\x00", 3)));
}
