#include "dispatch/CrashRegistry.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::CrashRegistry;

namespace {
constexpr TimePoint start { std::chrono::seconds(1000) };
constexpr dispatch::RequestDigest crashing = 7;
constexpr dispatch::RequestDigest innocent = 8;
}

TEST_CASE("a request is quarantined on every daemon when three daemons have each observed one of its crashes")
{
    CrashRegistry daemons[3];
    for (std::uint64_t i = 0; i < 3; ++i)
        daemons[i].recordCrash(crashing, 100 + i, start);
    for (auto& daemon : daemons) {
        CHECK_FALSE(daemon.isQuarantined(crashing));
        for (const auto& other : daemons) {
            for (const auto& record : other.records())
                daemon.merge(record, start);
        }
    }
    for (const auto& daemon : daemons)
        CHECK(daemon.isQuarantined(crashing));
}

TEST_CASE("a crash that many daemons report counts once")
{
    CrashRegistry registry;
    for (int i = 0; i < 10; ++i)
        registry.merge({ crashing, { 100 } }, start);
    CHECK_FALSE(registry.isQuarantined(crashing));
}

TEST_CASE("an answer removes the record of a request that is not quarantined, but does not lift a quarantine")
{
    CrashRegistry registry;
    registry.recordCrash(innocent, 100, start);
    registry.recordCrash(innocent, 101, start);
    registry.recordServed(innocent);
    registry.recordCrash(innocent, 102, start);
    CHECK_FALSE(registry.isQuarantined(innocent));
    for (std::uint64_t runner : { 100, 101, 102 })
        registry.recordCrash(crashing, runner, start);
    registry.recordServed(crashing);
    CHECK(registry.isQuarantined(crashing));
}

TEST_CASE("crash records expire after their retention time")
{
    CrashRegistry registry;
    for (std::uint64_t runner : { 100, 101, 102 })
        registry.recordCrash(crashing, runner, start);
    registry.tick(start + std::chrono::minutes(11));
    CHECK_FALSE(registry.isQuarantined(crashing));
    CHECK(registry.size() == 0);
}
