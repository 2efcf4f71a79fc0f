#include "proxy/OverloadControl.h"

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
