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

TEST_CASE("the slot table")
{
    SUBCASE("depends on the set of members only, as a naive one made from nothing")
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
            SlotTable naive(1024);
            naive.update(present);
            for (std::uint64_t slot = 0; slot < 1024; ++slot)
                RC_ASSERT(table.at(slot) == naive.at(slot));
        }));
    }

    SUBCASE("moves only the slots of the member that goes")
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

    SUBCASE("gives slots by weight")
    {
        SlotTable table;
        table.update(makeMembers(3));
        std::map<RunnerIndex, double> counts;
        for (std::uint64_t slot = 0; slot < table.size(); ++slot)
            counts[table.at(slot)] += 1.0;
        CHECK(counts[2] / counts[0] == doctest::Approx(3.0).epsilon(0.1));
    }
}

TEST_CASE("the load book")
{
    LoadEstimator book;
    book.add(0, 1.0);
    book.add(1, 2.0);
    const auto second = [](int value) { return TimePoint(std::chrono::seconds(value)); };

    SUBCASE("adds what was dispatched after the report was made")
    {
        book.addWork(0, 100, second(1));
        book.addWork(0, 50, second(3));
        book.report(0, 80, second(2));
        CHECK(book.load(0) == doctest::Approx(130));
        CHECK(book.mean() == doctest::Approx(130.0 / 3.0));
    }

    SUBCASE("ignores a report that is older than one it has")
    {
        book.report(0, 80, second(5));
        book.report(0, 10, second(4));
        CHECK(book.load(0) == doctest::Approx(80));
    }

    SUBCASE("never falls below nothing")
    {
        book.addWork(0, -500, second(1));
        CHECK(book.load(0) == 0.0);
        CHECK(book.mean() == 0.0);
    }

    SUBCASE("keeps its mean equal to the sum made anew")
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
    RunnerPool fleet({}, makeStrategy("bounded-load", {}));
    fleet.update(list.hosts, view, TimePoint {});
    const auto now = TimePoint(std::chrono::seconds(1));

    SUBCASE("gives a returning chat the same runner on every daemon")
    {
        RunnerPool other({}, makeStrategy("bounded-load", {}));
        std::reverse(list.hosts.begin(), list.hosts.end());
        other.update(list.hosts, view, TimePoint {});
        for (std::uint64_t chat = 0; chat < 500; ++chat) {
            const Request request { mix64(chat, 0), 1000, 900, 100 };
            CHECK(
                fleet.idOf(fleet.choose(request, {}, now).runner) == other.idOf(other.choose(request, {}, now).runner));
        }
    }

    SUBCASE("gives no runner more than the bound while there is a choice")
    {
        CHECK(rc::check([&](const std::vector<std::uint16_t>& chats) {
            RunnerPool checked({}, makeStrategy("bounded-load", {}));
            checked.update(list.hosts, view, TimePoint {});
            for (const auto& host : list.hosts)
                checked.report(host.id, 10000, TimePoint {});
            for (const auto chat : chats) {
                // Every chat hashes to few distinct values, so that single runners are asked for too often.
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

    SUBCASE("sends a spilled chat back to the runner that took it, and tells its peers")
    {
        const Request request { mix64(1, 0), 1000, 900, 100 };
        const auto home = fleet.choose(request, {}, now);
        CHECK(home.reason == Reason::Home);
        for (const auto& host : list.hosts)
            fleet.report(host.id, host.id == fleet.idOf(home.runner) ? 5000 : 1000, now);
        const auto spilled = fleet.choose(request, {}, now);
        CHECK(spilled.reason == Reason::Spilled);
        CHECK(spilled.runner != home.runner);
        const auto again = fleet.choose(request, {}, now);
        CHECK(again.reason == Reason::Remembered);
        CHECK(again.runner == spilled.runner);
        const auto changes = fleet.exceptions().takeChanges(10);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].runner == spilled.runner);
        CHECK(changes[0].previous == home.runner);
    }

    SUBCASE("gives nothing to runners that leave, fail or are excluded")
    {
        list.revision = 2;
        list.hosts[0].state = membership::ListedState::Leaving;
        view.apply(list, now);
        for (int i = 0; i < 3; ++i)
            view.reportFailure("runner-1", now);
        fleet.update(list.hosts, view, now);
        const std::vector<std::string> excluded { "runner-2" };
        for (std::uint64_t chat = 0; chat < 500; ++chat) {
            const auto id = fleet.idOf(fleet.choose({ mix64(chat, 0), 100, 0, 100 }, excluded, now).runner);
            CHECK(id != "runner-0");
            CHECK(id != "runner-1");
            CHECK(id != "runner-2");
        }
    }

    SUBCASE("keeps what its strategy has learned when the same one is named again")
    {
        RunnerPool turns({}, nullptr);
        REQUIRE(turns.setStrategy("round-robin", {}));
        turns.update(list.hosts, view, now);
        const auto first = turns.choose({ 1, 100, 0, 100 }, {}, now).runner;
        REQUIRE(turns.setStrategy("round-robin", {}));
        CHECK(turns.choose({ 1, 100, 0, 100 }, {}, now).runner != first);
        CHECK_FALSE(turns.setStrategy("no-such-strategy", {}));
    }

    SUBCASE("forgets exceptions that point to a runner that restarted")
    {
        fleet.exceptions().record({ 1, 3, noRunner, 100 });
        fleet.exceptions().record({ 2, 4, noRunner, 100 });
        fleet.handleRunnerRestart("runner-3");
        CHECK(fleet.exceptions().find(1) == nullptr);
        CHECK(fleet.exceptions().find(2) != nullptr);
    }
}

TEST_CASE("the placement memory keeps to its capacity and sends what costs most first")
{
    PlacementExceptionCache memory(10);
    for (std::uint64_t chat = 0; chat < 100; ++chat)
        memory.record({ chat, 1, noRunner, static_cast<std::uint32_t>(chat) });
    CHECK(memory.size() == 10);
    CHECK(memory.find(99) != nullptr);
    CHECK(memory.find(0) == nullptr);
    const auto changes = memory.takeChanges(3);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].tokens == 99);
    CHECK(changes[2].tokens == 97);
    CHECK(memory.takeChanges(3).empty());
}
