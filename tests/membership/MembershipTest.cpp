#include "membership/Neighbours.h"
#include "membership/View.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassford;
using namespace eelgrassford::membership;

namespace {

TimePoint at(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

HostList makeList(std::uint64_t revision, std::size_t runners)
{
    HostList list { revision, {} };
    for (std::size_t i = 0; i < runners; ++i) {
        Host host;
        host.id = "runner-" + std::to_string(i);
        host.role = HostRole::ModelRunner;
        host.address = "127.0.0.1:1";
        list.hosts.push_back(host);
    }
    return list;
}

HostList makeFleet(std::size_t regions, std::size_t dataCentresPerRegion, std::size_t hostsPerDataCentre)
{
    HostList list { 1, {} };
    for (std::size_t i = 0; i < regions * dataCentresPerRegion * hostsPerDataCentre; ++i) {
        Host host;
        host.id = "entry-" + std::to_string(i);
        host.address = "127.0.0.1:1";
        host.region = "region-" + std::to_string(i % regions);
        host.dataCentre = host.region + "-dc-" + std::to_string(i / regions % dataCentresPerRegion);
        list.hosts.push_back(host);
    }
    return list;
}

void reportThreeFailures(View& view, const HostId& id, TimePoint now)
{
    for (int i = 0; i < 3; ++i)
        view.reportFailure(id, now);
}

}

TEST_CASE("the membership view")
{
    View view;
    view.apply(makeList(1, 6), at(0));
    view.tick(at(0));

    SUBCASE("ignores an empty list and an older one")
    {
        CHECK_FALSE(view.apply({ 9, {} }, at(1)));
        CHECK_FALSE(view.apply(makeList(1, 2), at(1)));
        CHECK(view.members().size() == 6);
        CHECK(view.ignoredEmptyLists() == 1);
    }

    SUBCASE("makes a leaving host ineligible at once")
    {
        auto list = makeList(2, 6);
        list.hosts[0].state = ListedState::Leaving;
        CHECK(view.apply(list, at(1)));
        CHECK_FALSE(view.isEligible("runner-0"));
        CHECK(view.isEligible("runner-1"));
    }

    SUBCASE("suspects a host after consecutive failures and then raises its share gradually")
    {
        view.reportFailure("runner-0", at(1));
        view.reportSuccess("runner-0", at(1));
        view.reportFailure("runner-0", at(1));
        view.reportFailure("runner-0", at(1));
        CHECK(view.isEligible("runner-0"));
        view.reportFailure("runner-0", at(1));
        CHECK_FALSE(view.isEligible("runner-0"));
        view.tick(at(2));
        CHECK(view.isEligible("runner-0"));
        CHECK(view.slowStartFactor("runner-0", at(2)) == doctest::Approx(0.1));
        CHECK(view.slowStartFactor("runner-0", at(17)) == doctest::Approx(0.55));
        CHECK(view.slowStartFactor("runner-0", at(40)) == 1.0);
    }

    SUBCASE("suspects a flapping host for longer each time")
    {
        int now = 1;
        int lastSuspicion = 0;
        for (int flap = 0; flap < 5; ++flap) {
            reportThreeFailures(view, "runner-0", at(now));
            const int begin = now;
            while (!view.isEligible("runner-0"))
                view.tick(at(++now));
            CHECK(now - begin > lastSuspicion);
            lastSuspicion = now - begin;
        }
    }

    SUBCASE("never suspects more than a third of the hosts of a role")
    {
        const auto members = view.members();
        for (const auto& [id, member] : members)
            reportThreeFailures(view, id, at(1));
        std::size_t eligible = 0;
        for (const auto& [id, member] : view.members())
            eligible += view.isEligible(id) ? 1 : 0;
        CHECK(eligible == 4);
    }

    SUBCASE("ends all suspicions after the process itself was paused")
    {
        reportThreeFailures(view, "runner-0", at(1));
        reportThreeFailures(view, "runner-0", at(1));
        view.tick(at(61));
        CHECK(view.isEligible("runner-0"));
    }

    SUBCASE("converges on the greatest revision regardless of the order in which lists arrive")
    {
        CHECK(rc::check([](std::vector<std::uint8_t> revisions) {
            View checked;
            std::uint64_t greatest = 0;
            for (const auto revision : revisions) {
                checked.apply(makeList(revision, 1 + revision % 5), at(1));
                greatest = std::max<std::uint64_t>(greatest, revision);
                RC_ASSERT(checked.revision() == greatest);
                RC_ASSERT(checked.members().size() == (greatest > 0 ? 1 + greatest % 5 : 0));
            }
        }));
    }
}

TEST_CASE("an invalid host list is rejected with a reason")
{
    for (const auto* text : { "", "[]", "{}", R"({"revision":1})", R"({"revision":1,"hosts":[{}]})",
             R"({"revision":1,"hosts":[{"id":"a","address":"b","weight":-1}]})",
             R"({"revision":1,"hosts":[{"id":"a","address":"b"},{"id":"a","address":"b"}]})" }) {
        const auto list = parseHostList(text);
        REQUIRE_FALSE(list);
        CHECK(list.error().message().starts_with("[membership.201] host list: "));
    }
    const auto list = makeFleet(2, 2, 2);
    CHECK(*parseHostList(serialize(list)) == list);
}

TEST_CASE("neighbours")
{
    SUBCASE("are all other entry hosts in a small fleet")
    {
        const auto list = makeFleet(1, 3, 2);
        CHECK(chooseNeighbours(list, "entry-0").size() == 5);
    }

    SUBCASE("are symmetric, few and connected in a large fleet")
    {
        const auto list = makeFleet(9, 4, 20);
        std::map<HostId, std::set<HostId>> neighbours;
        for (const auto& host : list.hosts)
            neighbours[host.id] = chooseNeighbours(list, host.id);
        for (const auto& [id, others] : neighbours) {
            CHECK(others.size() < 60);
            for (const auto& other : others)
                CHECK(neighbours[other].contains(id));
        }
        std::set<HostId> reached { "entry-0" };
        std::vector<HostId> frontier { "entry-0" };
        while (!frontier.empty()) {
            const auto id = frontier.back();
            frontier.pop_back();
            for (const auto& other : neighbours[id]) {
                if (reached.insert(other).second)
                    frontier.push_back(other);
            }
        }
        CHECK(reached.size() == list.hosts.size());
    }

    SUBCASE("include two configuration readers in each data centre")
    {
        const auto list = makeFleet(9, 4, 20);
        std::size_t readers = 0;
        for (const auto& host : list.hosts)
            readers += isConfigurationReader(list, host.id) ? 1 : 0;
        CHECK(readers == 72);
    }
}
