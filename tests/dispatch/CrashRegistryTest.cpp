#include "dispatch/CrashRegistry.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::CrashRecord;
using dispatch::CrashRegistry;
using dispatch::CrashSuspect;

namespace {
constexpr TimePoint start { std::chrono::seconds(1000) };
constexpr dispatch::RequestDigest crashing = 7;
constexpr dispatch::RequestDigest innocent = 8;

void recordCrash(CrashRegistry& registry, dispatch::RequestDigest request, std::uint64_t runner)
{
    registry.recordCrash(std::vector<CrashSuspect> { { request } }, runner, start);
}

void recordServed(CrashRegistry& registry, dispatch::RequestDigest request)
{
    registry.recordServed(std::vector<CrashSuspect> { { request } }, start);
}

}

TEST_CASE("a request is quarantined on every daemon when three daemons have each observed one of its crashes")
{
    CrashRegistry daemons[3];
    for (std::uint64_t i = 0; i < 3; ++i)
        recordCrash(daemons[i], crashing, 100 + i);
    for (auto& daemon : daemons) {
        CHECK_FALSE(daemon.isQuarantined(crashing));
        for (const auto& other : daemons)
            daemon.merge(other.records(start), start);
    }
    for (const auto& daemon : daemons)
        CHECK(daemon.isQuarantined(crashing));
}

TEST_CASE("a crash that many daemons report counts once")
{
    CrashRegistry registry;
    for (int i = 0; i < 10; ++i)
        registry.merge(std::vector<CrashRecord> { { crashing, { 100 } } }, start);
    CHECK_FALSE(registry.isQuarantined(crashing));
}

TEST_CASE("an answer removes the record of a request that is not quarantined, but does not lift a quarantine")
{
    CrashRegistry registry;
    recordCrash(registry, innocent, 100);
    recordCrash(registry, innocent, 101);
    recordServed(registry, innocent);
    recordCrash(registry, innocent, 102);
    CHECK_FALSE(registry.isQuarantined(innocent));
    for (std::uint64_t runner : { 100, 101, 102 })
        recordCrash(registry, crashing, runner);
    recordServed(registry, crashing);
    CHECK(registry.isQuarantined(crashing));
}

TEST_CASE("crash records expire after their retention time")
{
    CrashRegistry registry;
    for (std::uint64_t runner : { 100, 101, 102 })
        recordCrash(registry, crashing, runner);
    registry.tick(start + std::chrono::minutes(11));
    CHECK_FALSE(registry.isQuarantined(crashing));
    CHECK(registry.size() == 0);
}

namespace {

/// A request with shared parts; equal names are equal parts.
std::vector<CrashSuspect> promptOf(dispatch::RequestDigest request, std::vector<dispatch::RequestDigest> parts)
{
    std::vector<CrashSuspect> result { { request } };
    for (std::uint32_t i = 0; i < parts.size(); ++i)
        result.push_back({ parts[i], i });
    return result;
}

constexpr dispatch::RequestDigest common = 50;
constexpr dispatch::RequestDigest guilty = 51;
constexpr dispatch::RequestDigest sound = 52;

TimePoint second(int count) { return start + std::chrono::seconds(count); }

}

TEST_CASE("a part that crashes runners is quarantined, but not the beginning that its prompts share with others")
{
    CrashRegistry registry;
    for (int i = 0; i < 3; ++i) {
        registry.tick(second(i));
        CHECK_FALSE(registry.isQuarantined(guilty));
        registry.recordCrash(promptOf(100 + i, { common, guilty }), 200 + i, second(i));
    }
    registry.tick(second(3));
    CHECK(registry.isQuarantined(guilty));
    CHECK_FALSE(registry.isQuarantined(common));
    CHECK(registry.findQuarantined(promptOf(110, { common, guilty }), second(3))->digest == guilty);
    CHECK_FALSE(registry.findQuarantined(promptOf(110, { common, sound }), second(3)));
}

TEST_CASE("the first part is quarantined if it crashes runners whatever follows it")
{
    CrashRegistry registry;
    for (int i = 0; i < 3; ++i)
        registry.recordCrash(promptOf(100 + i, { guilty, 300ULL + i }), 200 + i, second(i));
    registry.tick(second(3));
    CHECK(registry.isQuarantined(guilty));
    CHECK_FALSE(registry.isQuarantined(300));
}

TEST_CASE("an answer clears a part of the crashes before it, on every daemon")
{
    CrashRegistry first;
    CrashRegistry other;
    for (int i = 0; i < 2; ++i)
        first.recordCrash(promptOf(100 + i, { sound }), 200 + i, second(i));
    other.merge(first.records(second(2)), second(2));
    first.recordServed(promptOf(110, { sound }), second(2));
    other.merge(first.records(second(2)), second(2));
    for (auto* registry : { &first, &other }) {
        registry->recordCrash(promptOf(120, { sound }), 210, second(3));
        registry->recordCrash(promptOf(121, { sound }), 211, second(4));
        registry->tick(second(5));
        CHECK_FALSE(registry->isQuarantined(sound));
    }
}

TEST_CASE("runners that fail at the same time count as one crash against a part")
{
    CrashRegistry registry;
    for (int i = 0; i < 20; ++i)
        registry.recordCrash(promptOf(100 + i, { common }), 200 + i, start + std::chrono::milliseconds(i * 24));
    registry.tick(second(3));
    CHECK_FALSE(registry.isQuarantined(common));
}

TEST_CASE("five crashes are enough against a part even if some of them came together")
{
    CrashRegistry registry;
    for (int i = 0; i < 5; ++i)
        registry.recordCrash(promptOf(100 + i, { guilty }), 200 + i, start + std::chrono::milliseconds(i * 150));
    registry.tick(second(3));
    CHECK(registry.isQuarantined(guilty));
}

TEST_CASE("a part that was quarantined while no prompt was answered is tried again soon")
{
    CrashRegistry registry;
    const auto crash = [&] {
        for (int i = 0; i < 3; ++i)
            registry.recordCrash(promptOf(100 + i, { guilty }), 200 + i, second(i));
        registry.tick(second(3));
    };
    SUBCASE("no prompt was answered")
    {
        crash();
        CHECK(registry.isQuarantined(guilty));
        CHECK_FALSE(registry.records(second(3)).front().isQuarantined);
        registry.tick(second(23));
        CHECK_FALSE(registry.isQuarantined(guilty));
    }
    SUBCASE("another prompt was answered meanwhile")
    {
        registry.recordCrash(promptOf(100, { guilty }), 200, second(0));
        registry.recordServed(promptOf(110, { sound }), second(1));
        crash();
        registry.tick(second(23));
        CHECK(registry.isQuarantined(guilty));
    }
}

TEST_CASE("a daemon that starts learns of a quarantine before it is among the newest records")
{
    CrashRegistry registry;
    registry.recordCrash(promptOf(100, { guilty }), 200, second(0));
    registry.recordServed(promptOf(110, { sound }), second(0));
    for (int i = 1; i < 3; ++i)
        registry.recordCrash(promptOf(100 + i, { guilty }), 200 + i, second(i));
    for (int i = 0; i < 100; ++i)
        registry.recordCrash(promptOf(1000 + i, {}), 300 + i, second(3));
    registry.tick(second(4));
    CrashRegistry started;
    started.merge(registry.records(second(4)), second(4));
    CHECK(started.isQuarantined(guilty));
}

TEST_CASE("the number of records is bounded, and quarantined ones stay")
{
    CrashRegistry registry;
    for (std::uint64_t runner : { 100, 101, 102 })
        recordCrash(registry, crashing, runner);
    for (int i = 0; i < 5000; ++i)
        recordCrash(registry, 10000 + i, 200);
    CHECK(registry.size() == 2048);
    CHECK(registry.isQuarantined(crashing));
}
