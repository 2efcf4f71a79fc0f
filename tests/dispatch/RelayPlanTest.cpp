#include "dispatch/RelayPlan.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::AttemptFailure;
using dispatch::RelayPlan;
using dispatch::RelayStep;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

RelayPlan makePlan(bool isRepeatable, bool isResumable, std::uint32_t maxAttempts)
{
    RelayPlan::Options options;
    options.isRepeatable = isRepeatable;
    options.isResumable = isResumable;
    options.maxAttempts = maxAttempts;
    options.deadline = start + std::chrono::seconds(1);
    return RelayPlan(options);
}

const RelayPlan::Budget fullBudget = [] { return true; };
const RelayPlan::Budget emptyBudget = [] { return false; };
const auto hasAlternative = [] { return true; };

}

TEST_CASE("a request that may run only once is not sent again after an attempt that may have run it")
{
    auto plan = makePlan(false, false, 3);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Broken, false, start, fullBudget) == RelayStep::FailUnknown);
    CHECK(plan.mayHaveRun());
    CHECK_FALSE(plan.tryAbandonAttempt(false, hasAlternative, start, fullBudget));
}

TEST_CASE("a request that no upstream ran is sent to another one, and is refused as not run after the last attempt")
{
    auto plan = makePlan(false, false, 1);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, start, emptyBudget) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, fullBudget) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, fullBudget) == RelayStep::RefuseNotRun);
    CHECK_FALSE(plan.mayHaveRun());
}

TEST_CASE("a retry after a declined attempt uses the budget, a retry after a failed connection does not")
{
    auto plan = makePlan(true, false, 3);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, emptyBudget) == RelayStep::RefuseNotRun);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, start, emptyBudget) == RelayStep::SendAgain);
}

TEST_CASE("a repeatable request runs in no more attempts than its route allows")
{
    auto plan = makePlan(true, false, 2);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Broken, false, start, fullBudget) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK_FALSE(plan.tryAbandonAttempt(false, hasAlternative, start, fullBudget));
    CHECK(plan.fail(AttemptFailure::Broken, false, start, fullBudget) == RelayStep::FailUnknown);
}

TEST_CASE("a stream that has begun continues at another upstream only if it is resumable")
{
    auto resumable = makePlan(true, true, 2);
    resumable.beginAttempt();
    CHECK(resumable.fail(AttemptFailure::Broken, true, start, fullBudget) == RelayStep::SendRest);
    auto notResumable = makePlan(true, false, 2);
    notResumable.beginAttempt();
    CHECK(notResumable.fail(AttemptFailure::Broken, true, start, fullBudget) == RelayStep::Abort);
}

TEST_CASE("nothing is sent after the deadline")
{
    auto plan = makePlan(true, true, 5);
    plan.beginAttempt();
    const auto late = plan.deadline();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, late, fullBudget) == RelayStep::RefuseNotRun);
    CHECK_FALSE(plan.tryAbandonAttempt(false, hasAlternative, late, fullBudget));
}

// Guards against attempts that are given up though nobody else can go on.
TEST_CASE("an attempt is not abandoned without another upstream, and then takes nothing from the budget")
{
    auto plan = makePlan(true, true, 3);
    plan.beginAttempt();
    bool isCharged = false;
    const auto budget = [&] { return isCharged = true; };
    for (const bool hasAnswerBegun : { false, true })
        CHECK_FALSE(plan.tryAbandonAttempt(
            hasAnswerBegun, [] { return false; }, start, budget));
    CHECK_FALSE(isCharged);
    CHECK(plan.tryAbandonAttempt(true, hasAlternative, start, budget));
}
