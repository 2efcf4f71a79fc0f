#include "gateway/CallerBudget.h"

#include <doctest/doctest.h>
#include <vector>

using namespace eelgrassford;
using gateway::CallerBudget;
using gateway::CallerPhase;
using gateway::CallerRejection;

namespace {

constexpr std::size_t mebibyte = 1u << 20;
const TimePoint start = TimePoint {} + std::chrono::hours(1);

CallerBudget budgetOf(std::size_t bytes, std::size_t descriptors = 1000)
{
    CallerBudget budget;
    gateway::CallerBudgetOptions options;
    options.bytes = bytes;
    options.descriptors = descriptors;
    budget.setOptions(options);
    return budget;
}

CallerBudget::Key joinWith(CallerBudget& budget, std::size_t bytes, CallerPhase phase = CallerPhase::Reading,
    const char* address = "10.0.0.1", TimePoint now = start)
{
    const auto key = budget.join(address, now);
    budget.update(key, bytes, phase, now);
    return key;
}

}

TEST_CASE("the caller that holds much and makes no progress is rejected, not a small or a fast one")
{
    // Failure: small ordinary requests, or a fast upload, are refused because others hold the memory.
    auto budget = budgetOf(16 * mebibyte);
    const auto stalled = joinWith(budget, 4 * mebibyte);
    const auto fast = joinWith(budget, 4 * mebibyte);
    for (int i = 0; i < 100; ++i)
        joinWith(budget, 16384);
    CHECK_FALSE(budget.nextRejection(start));
    budget.recordProgress(fast, 4 * mebibyte, start);
    joinWith(budget, 7 * mebibyte, CallerPhase::Running);
    const auto decision = budget.nextRejection(start + std::chrono::seconds(1));
    REQUIRE(decision);
    CHECK(decision->key == stalled);
    CHECK(decision->reason == CallerRejection::Memory);
    // What a rejected caller holds is expected to be freed.
    CHECK_FALSE(budget.nextRejection(start + std::chrono::seconds(1)));
    CHECK(budget.rejections(CallerRejection::Memory) == 1);
}

TEST_CASE("a request that is being run is never rejected")
{
    // Failure: a response that a runner has produced is lost, or a request is refused as not run although it runs.
    auto budget = budgetOf(mebibyte);
    for (int i = 0; i < 4; ++i)
        joinWith(budget, 4 * mebibyte, CallerPhase::Running);
    // Nor are connections that hold next to nothing: they would all be closed without any effect.
    joinWith(budget, 2000);
    CHECK_FALSE(budget.nextRejection(start));
    const auto reading = joinWith(budget, 10000);
    CHECK(budget.nextRejection(start)->key == reading);
}

TEST_CASE("a caller that does not read its response is rejected after one that reads slowly")
{
    // Failure: the budget is held by responses that nobody takes.
    auto budget = budgetOf(4 * mebibyte);
    const auto unread = joinWith(budget, 2 * mebibyte, CallerPhase::Sending);
    const auto slow = joinWith(budget, 2 * mebibyte, CallerPhase::Sending);
    const auto now = start + std::chrono::seconds(2);
    budget.recordProgress(slow, 200000, now);
    CHECK(budget.nextRejection(now)->key == unread);
}

TEST_CASE("an address has an equal share only if there are several, and only while the budget is exceeded")
{
    // Failure: one address starves the others, or the only load balancer in front is limited to a part.
    auto budget = budgetOf(8 * mebibyte);
    for (int i = 0; i < 6; ++i)
        joinWith(budget, mebibyte, CallerPhase::Reading, "10.0.0.1");
    CHECK_FALSE(budget.nextRejection(start));
    const auto other = joinWith(budget, 3 * mebibyte, CallerPhase::Reading, "10.0.0.2");
    const auto decision = budget.nextRejection(start);
    REQUIRE(decision);
    CHECK(decision->key != other);
    auto single = budgetOf(4 * mebibyte);
    joinWith(single, mebibyte);
    const auto largest = joinWith(single, 3 * mebibyte);
    CHECK(single.nextRejection(start)->key == largest);
}

TEST_CASE("without descriptors the connection that was idle for the longest is closed first")
{
    // Failure: idle connections keep others from being accepted, or requests are refused while connections are idle.
    auto budget = budgetOf(1000 * mebibyte, 5);
    joinWith(budget, 0, CallerPhase::Reading, "10.0.0.1", start - std::chrono::seconds(9));
    const auto oldest = joinWith(budget, 0, CallerPhase::Idle, "10.0.0.1", start - std::chrono::seconds(5));
    joinWith(budget, 0, CallerPhase::Idle, "10.0.0.1", start - std::chrono::seconds(1));
    joinWith(budget, 0, CallerPhase::Running);
    CHECK_FALSE(budget.nextRejection(start));
    joinWith(budget, 0, CallerPhase::Idle);
    const auto decision = budget.nextRejection(start);
    REQUIRE(decision);
    CHECK(decision->key == oldest);
    CHECK(decision->reason == CallerRejection::Descriptors);
    CHECK_FALSE(budget.nextRejection(start));
}

TEST_CASE("the minimum rate applies to a whole window and not to a pause within the idle timeout")
{
    // Failure: a body that arrives byte by byte is kept for hours; or a caller on a slow link is refused.
    auto budget = budgetOf(mebibyte);
    const auto drip = joinWith(budget, 1000);
    const auto paused = joinWith(budget, 1000);
    const auto running = joinWith(budget, 1000, CallerPhase::Running);
    budget.recordProgress(paused, 3000, start + std::chrono::seconds(1));
    bool isDripSlow = false;
    for (int second = 1; second <= 31; ++second) {
        const auto now = start + std::chrono::seconds(second);
        budget.recordProgress(drip, 1, now);
        isDripSlow = isDripSlow || budget.isTooSlow(drip, now);
        CHECK((second < 30 || isDripSlow));
        CHECK_FALSE(budget.isTooSlow(paused, now));
        CHECK_FALSE(budget.isTooSlow(running, now));
    }
    CHECK(isDripSlow);
}
