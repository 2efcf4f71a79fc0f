#include "dispatch/CrashRegistry.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::CrashRegistry;

namespace {
constexpr TimePoint start { std::chrono::seconds(1000) };
constexpr dispatch::RequestDigest poison = 7;
constexpr dispatch::RequestDigest innocent = 8;
}

TEST_CASE("a request that crashed three runners through three daemons is refused by all of them")
{
    CrashRegistry daemons[3];
    for (std::uint64_t i = 0; i < 3; ++i)
        daemons[i].recordCrash(poison, 100 + i, start);
    for (auto& daemon : daemons) {
        CHECK_FALSE(daemon.isQuarantined(poison));
        for (const auto& other : daemons) {
            for (const auto& record : other.records())
                daemon.merge(record, start);
        }
    }
    for (const auto& daemon : daemons)
        CHECK(daemon.isQuarantined(poison));
}

TEST_CASE("the same crash told by many daemons counts once")
{
    CrashRegistry registry;
    for (int i = 0; i < 10; ++i)
        registry.merge({ poison, { 100 } }, start);
    CHECK_FALSE(registry.isQuarantined(poison));
}

TEST_CASE("an answer clears a bystander, but opens no way for a request that is refused")
{
    CrashRegistry registry;
    registry.recordCrash(innocent, 100, start);
    registry.recordCrash(innocent, 101, start);
    registry.recordServed(innocent);
    registry.recordCrash(innocent, 102, start);
    CHECK_FALSE(registry.isQuarantined(innocent));
    for (std::uint64_t runner : { 100, 101, 102 })
        registry.recordCrash(poison, runner, start);
    registry.recordServed(poison);
    CHECK(registry.isQuarantined(poison));
}

TEST_CASE("crashes are forgotten in the end")
{
    CrashRegistry registry;
    for (std::uint64_t runner : { 100, 101, 102 })
        registry.recordCrash(poison, runner, start);
    registry.tick(start + std::chrono::minutes(11));
    CHECK_FALSE(registry.isQuarantined(poison));
    CHECK(registry.size() == 0);
}
