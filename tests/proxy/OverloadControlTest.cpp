#include "proxy/OverloadControl.h"

#include "common/Hash.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// A service of which all runners but one limit their request rates.
struct LimitedService {
    static constexpr std::uint32_t slots = 64;
    runners::Registry registry;
    proxy::OverloadControl overload { registry };

    LimitedService()
    {
        std::vector<runners::RunnerEntry> entries;
        for (int i = 0; i < 18; ++i)
            entries.push_back({ "r-" + std::to_string(i), "service", "10.0.0.1", 1, "a", slots, false, 1, "v1" });
        registry.apply(entries, start, [](const std::string&) {});
        for (int i = 1; i < 18; ++i)
            registry.recordLimit(runner(i), 3.0, start, start);
        overload.recordServiceTime("service", "route", std::chrono::seconds(2), start);
    }

    runners::Runner& runner(int index) { return *registry.find("r-" + std::to_string(index)); }

    /// Uses up this daemon's shares of all limits.
    void useUpLimits(TimePoint now)
    {
        for (int i = 1; i < 18; ++i)
            registry.recordDispatch(runner(i), now);
    }

    bool isRefused(TimePoint now)
    {
        admission::AdmissionRequest request;
        request.organisation = "works";
        request.route = "route";
        request.latencyObjective = milliseconds(800);
        request.timeLeft = std::chrono::seconds(15);
        request.admissionDraw = 0.5;
        return overload.refuseIfOverloaded("service", "id", request, now).has_value();
    }
};

}

TEST_CASE("a request is refused when the only runner without a limit is full and the limits are used up")
{
    LimitedService service;
    // The usual rate of the organisation, so that it does not count as surging.
    for (auto now = start; now < start + std::chrono::seconds(4); now += milliseconds(100))
        CHECK_FALSE(service.isRefused(now));
    const auto full = start + std::chrono::seconds(4);
    service.useUpLimits(full);
    for (std::uint32_t i = 0; i < 2 * LimitedService::slots; ++i)
        service.registry.recordDispatch(service.runner(0), full);
    CHECK(service.isRefused(full + milliseconds(50)));
    // The shares allow further requests after a while.
    CHECK_FALSE(service.isRefused(full + std::chrono::seconds(1)));
}

namespace {

/// A service of 100 slots that takes 1 s for each request, and 100 organisations of which one sends most.
struct CompetedService {
    runners::Registry registry;
    proxy::OverloadControl overload { registry };

    CompetedService()
    {
        const std::vector<runners::RunnerEntry> entries { { "r", "service", "10.0.0.1", 1, "a", 100, false, 1, "v1" } };
        registry.apply(entries, start, [](const std::string&) {});
        overload.recordServiceTime("service", "route", std::chrono::seconds(1), start);
    }

    void setLoad(std::uint32_t requests, TimePoint now)
    {
        while (registry.find("r")->ownLoad < requests)
            registry.recordDispatch(*registry.find("r"), now);
    }

    /// Share of the requests of an organisation that is refused.
    double refusedShare(const std::string& organisation, std::uint32_t priority, TimePoint now)
    {
        constexpr int count = 400;
        int refused = 0;
        for (int i = 0; i < count; ++i)
            refused += isRefused(organisation, priority, mix64(static_cast<std::uint64_t>(i), 1), now);
        return static_cast<double>(refused) / count;
    }

    bool isRefused(const std::string& organisation, std::uint32_t priority, std::uint64_t hash, TimePoint now)
    {
        admission::AdmissionRequest request;
        request.organisation = organisation;
        request.route = "route";
        request.priority = priority;
        request.latencyObjective = milliseconds(800);
        request.timeLeft = std::chrono::seconds(15);
        request.admissionDraw = 0.5;
        request.hash = hash;
        return overload.refuseIfOverloaded("service", "id", request, now).has_value();
    }

    /// Demand of the other daemons: 400 slots of one organisation and 50 of the others together.
    void setPeerDemand(TimePoint now)
    {
        const admission::ServiceDemand demand { admission::serviceKeyOf("service"), { 45000 },
            { { admission::flowKeyOf("heavy", 0), 40000 }, { admission::flowKeyOf("light", 0), 1000 } } };
        overload.setPeerDemand(std::vector { demand }, Duration::zero(), now);
    }
};

}

TEST_CASE("a service that is switched to admission by work refuses the organisation that other daemons report as heavy")
{
    CompetedService service;
    auto now = start + milliseconds(30);
    service.isRefused("light", 0, 1, now);
    SUBCASE("switched for the service") { service.overload.setWorkAware("service", true); }
    SUBCASE("switched for all services") { service.overload.setWorkAware(true); }
    CHECK(service.overload.isWorkAware("service"));
    service.setPeerDemand(now);
    // Nothing is refused below half of the slots.
    now += milliseconds(100);
    service.setLoad(49, now);
    CHECK(service.refusedShare("heavy", 0, now) == 0.0);
    now += milliseconds(100);
    service.setLoad(105, now);
    CHECK(service.refusedShare("heavy", 0, now) > 0.6);
    CHECK(service.refusedShare("light", 0, now) < 0.1);
    // Equal requests get equal decisions within an epoch.
    for (std::uint64_t hash = 1; hash < 50; ++hash)
        CHECK(service.isRefused("heavy", 0, mix64(hash, 1), now) == service.isRefused("heavy", 0, mix64(hash, 1), now));
    const auto demand = service.overload.demand(now);
    REQUIRE(demand.size() == 1);
    CHECK(demand[0].service == admission::serviceKeyOf("service"));
    CHECK(demand[0].flows[0].flow == admission::flowKeyOf("heavy", 0));
}

TEST_CASE("a service that is not switched to admission by work decides as without any demand, and reports none")
{
    CompetedService service;
    CompetedService unaware;
    service.overload.setWorkAware("other-service", true);
    CHECK_FALSE(service.overload.isWorkAware("service"));
    std::size_t refused = 0;
    auto now = start + milliseconds(30);
    for (std::uint32_t load = 40; load < 200; load += 20, now += milliseconds(500)) {
        service.setLoad(load, now);
        unaware.setLoad(load, now);
        for (int i = 0; i < 20; ++i) {
            service.setPeerDemand(now);
            const auto hash = mix64(static_cast<std::uint64_t>(i), 1);
            const bool isRefused = service.isRefused("heavy", 0, hash, now);
            CHECK(isRefused == unaware.isRefused("heavy", 0, hash, now));
            refused += isRefused;
        }
    }
    CHECK(refused > 0);
    CHECK(service.overload.demand(now).empty());
}
