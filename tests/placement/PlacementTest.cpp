#include "common/Hash.h"
#include "placement/BoundedLoadStrategy.h"
#include "placement/RunnerPool.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassford;
using namespace eelgrassford::placement;

namespace {

std::vector<SlotTable::Member> makeMembers(std::size_t count)
{
    std::vector<SlotTable::Member> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back(
            { static_cast<RunnerIndex>(i), hash64("runner-" + std::to_string(i)), 1.0 + static_cast<double>(i % 3) });
    return members;
}

std::vector<membership::Host> makeHosts(std::size_t count)
{
    std::vector<membership::Host> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        membership::Host host;
        host.id = "runner-" + std::to_string(i);
        host.role = membership::HostRole::ModelRunner;
        host.address = "127.0.0.1:1";
        hosts.push_back(host);
    }
    return hosts;
}

}

TEST_CASE("a slot table")
{
    SUBCASE("depends only on the set of members, like a table built from that set at once")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t>& toggles) {
            const auto all = makeMembers(16);
            SlotTable table(1024);
            std::vector<SlotTable::Member> present;
            for (const auto toggle : toggles) {
                const auto& member = all[toggle % all.size()];
                const auto found = std::find(present.begin(), present.end(), member);
                if (found == present.end())
                    present.push_back(member);
                else
                    present.erase(found);
                table.update(present);
            }
            SlotTable rebuilt(1024);
            rebuilt.update(present);
            for (std::uint64_t slot = 0; slot < 1024; ++slot)
                RC_ASSERT(table.at(slot) == rebuilt.at(slot));
        }));
    }

    SUBCASE("moves only the slots of a member that is removed")
    {
        auto members = makeMembers(20);
        SlotTable before;
        before.update(members);
        SlotTable after;
        members.erase(members.begin() + 7);
        after.update(members);
        for (std::uint64_t slot = 0; slot < before.size(); ++slot) {
            if (before.at(slot) != 7)
                CHECK(after.at(slot) == before.at(slot));
        }
    }

    SUBCASE("assigns slots in proportion to weight")
    {
        SlotTable table;
        table.update(makeMembers(3));
        std::map<RunnerIndex, double> counts;
        for (std::uint64_t slot = 0; slot < table.size(); ++slot)
            counts[table.at(slot)] += 1.0;
        CHECK(counts[2] / counts[0] == doctest::Approx(3.0).epsilon(0.1));
    }
}

TEST_CASE("a load estimator")
{
    LoadEstimator loads;
    loads.add(0, 1.0);
    loads.add(1, 2.0);
    const auto second = [](int value) { return TimePoint(std::chrono::seconds(value)); };

    SUBCASE("adds the work dispatched after the last report was made")
    {
        loads.addWork(0, 100, second(1));
        loads.addWork(0, 50, second(3));
        loads.report(0, 80, second(2));
        CHECK(loads.load(0) == doctest::Approx(130));
        CHECK(loads.mean() == doctest::Approx(130.0 / 3.0));
    }

    SUBCASE("ignores a report that is older than the last one")
    {
        loads.report(0, 80, second(5));
        loads.report(0, 10, second(4));
        CHECK(loads.load(0) == doctest::Approx(80));
    }

    SUBCASE("never estimates a negative load")
    {
        loads.addWork(0, -500, second(1));
        CHECK(loads.load(0) == 0.0);
        CHECK(loads.mean() == 0.0);
    }

    SUBCASE("keeps its incremental mean equal to the mean computed from all loads")
    {
        CHECK(rc::check([&](const std::vector<std::tuple<bool, bool, std::uint16_t, std::uint8_t>>& events) {
            LoadEstimator checked;
            checked.add(0, 1.0);
            checked.add(1, 2.0);
            for (const auto& [isReport, isSecond, work, time] : events) {
                if (isReport)
                    checked.report(isSecond, work, second(time));
                else
                    checked.addWork(isSecond, work, second(time));
            }
            const double expected = (checked.load(0) + 2.0 * checked.load(1)) / 3.0;
            RC_ASSERT(std::abs(checked.mean() - expected) < 1e-6);
        }));
    }
}

TEST_CASE("bounded-load placement")
{
    membership::View view;
    membership::HostList list { 1, makeHosts(12) };
    view.apply(list, TimePoint {});
    RunnerPool runners({}, makeStrategy("bounded-load", {}));
    runners.update(list.hosts, view, TimePoint {});
    const auto now = TimePoint(std::chrono::seconds(1));

    SUBCASE("chooses the same runner for a returning chat on every daemon")
    {
        RunnerPool other({}, makeStrategy("bounded-load", {}));
        std::reverse(list.hosts.begin(), list.hosts.end());
        other.update(list.hosts, view, TimePoint {});
        for (std::uint64_t chat = 0; chat < 500; ++chat) {
            const Request request { mix64(chat, 0), 1000, 900, 100 };
            CHECK(runners.idOf(runners.choose(request, {}, now).runner)
                == other.idOf(other.choose(request, {}, now).runner));
        }
    }

    SUBCASE("keeps every runner within the load bound unless all choices of a chat exceed it")
    {
        CHECK(rc::check([&](const std::vector<std::uint16_t>& chats) {
            RunnerPool checked({}, makeStrategy("bounded-load", {}));
            checked.update(list.hosts, view, TimePoint {});
            for (const auto& host : list.hosts)
                checked.report(host.id, 10000, TimePoint {});
            for (const auto chat : chats) {
                // There are only four distinct chats, so that a few runners are chosen far more often than the others.
                const Request request { mix64(chat % 4, 0), 1000, 900, 100 };
                const auto decision = checked.choose(request, {}, now);
                const double work = isWarm(decision.reason) ? request.work() : workOf(1000, 100);
                checked.addWork(checked.idOf(decision.runner), work, now);
                if (decision.reason != Reason::LeastLoaded)
                    RC_ASSERT(checked.loads().load(decision.runner) <= 1.25 * checked.loads().mean() + work);
            }
            RC_ASSERT(checked.skew() <= 1.25 + 0.05);
        }));
    }

    SUBCASE("returns a spilled chat to the runner that served it last, and queues the exception for the peers")
    {
        const Request request { mix64(1, 0), 1000, 900, 100 };
        const auto home = runners.choose(request, {}, now);
        CHECK(home.reason == Reason::Home);
        for (const auto& host : list.hosts)
            runners.report(host.id, host.id == runners.idOf(home.runner) ? 5000 : 1000, now);
        const auto spilled = runners.choose(request, {}, now);
        CHECK(spilled.reason == Reason::Spilled);
        CHECK(spilled.runner != home.runner);
        const auto again = runners.choose(request, {}, now);
        CHECK(again.reason == Reason::Remembered);
        CHECK(again.runner == spilled.runner);
        const auto changes = runners.exceptions().takeChanges(10);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].runner == spilled.runner);
        CHECK(changes[0].previous == home.runner);
    }

    SUBCASE("chooses no runner that is leaving, failing or excluded")
    {
        list.revision = 2;
        list.hosts[0].state = membership::ListedState::Leaving;
        view.apply(list, now);
        for (int i = 0; i < 3; ++i)
            view.reportFailure("runner-1", now);
        runners.update(list.hosts, view, now);
        const std::vector<std::string> excluded { "runner-2" };
        for (std::uint64_t chat = 0; chat < 500; ++chat) {
            const auto id = runners.idOf(runners.choose({ mix64(chat, 0), 100, 0, 100 }, excluded, now).runner);
            CHECK(id != "runner-0");
            CHECK(id != "runner-1");
            CHECK(id != "runner-2");
        }
    }

    SUBCASE("keeps the state of its strategy when the same strategy is set again")
    {
        RunnerPool pool({}, nullptr);
        REQUIRE(pool.setStrategy("round-robin", {}));
        pool.update(list.hosts, view, now);
        const auto first = pool.choose({ 1, 100, 0, 100 }, {}, now).runner;
        REQUIRE(pool.setStrategy("round-robin", {}));
        CHECK(pool.choose({ 1, 100, 0, 100 }, {}, now).runner != first);
        CHECK_FALSE(pool.setStrategy("no-such-strategy", {}));
    }

    SUBCASE("removes the exceptions that point to a runner when it restarts")
    {
        runners.exceptions().record({ 1, 3, noRunner, 100 });
        runners.exceptions().record({ 2, 4, noRunner, 100 });
        runners.handleRunnerRestart("runner-3");
        CHECK(runners.exceptions().find(1) == nullptr);
        CHECK(runners.exceptions().find(2) != nullptr);
    }
}

TEST_CASE("the placement exception cache stays within its capacity and returns the changes with most tokens first")
{
    PlacementExceptionCache exceptions(10);
    for (std::uint64_t chat = 0; chat < 100; ++chat)
        exceptions.record({ chat, 1, noRunner, static_cast<std::uint32_t>(chat) });
    CHECK(exceptions.size() == 10);
    CHECK(exceptions.find(99) != nullptr);
    CHECK(exceptions.find(0) == nullptr);
    const auto changes = exceptions.takeChanges(3);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].tokens == 99);
    CHECK(changes[2].tokens == 97);
    CHECK(exceptions.takeChanges(3).empty());
}
