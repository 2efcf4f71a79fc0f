#include "dispatch/RelayPlan.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::AttemptFailure;
using dispatch::RelayPlan;
using dispatch::RelayStep;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

RelayPlan planFor(bool isRepeatable, bool isResumable, std::uint32_t maxAttempts)
{
    RelayPlan::Options options;
    options.isRepeatable = isRepeatable;
    options.isResumable = isResumable;
    options.maxAttempts = maxAttempts;
    options.deadline = start + std::chrono::seconds(1);
    return RelayPlan(options);
}

const RelayPlan::Budget plenty = [] { return true; };
const RelayPlan::Budget none = [] { return false; };

}

TEST_CASE("a request that may run once is never sent again after a byte of it left")
{
    auto plan = planFor(false, false, 3);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Broken, false, start, plenty) == RelayStep::FailUnknown);
    CHECK(plan.mayHaveRun());
    CHECK_FALSE(plan.tryAbandonAttempt(false, start, plenty));
}

TEST_CASE("a request that no upstream ran goes to another one, and is refused as not run in the end")
{
    auto plan = planFor(false, false, 1);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, start, none) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, plenty) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, plenty) == RelayStep::RefuseNotRun);
    CHECK_FALSE(plan.mayHaveRun());
}

TEST_CASE("a refusal by an upstream draws on the budget, an upstream that was not reached does not")
{
    auto plan = planFor(true, false, 3);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Declined, false, start, none) == RelayStep::RefuseNotRun);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, start, none) == RelayStep::SendAgain);
}

TEST_CASE("a repeatable request runs on no more upstreams than its route allows")
{
    auto plan = planFor(true, false, 2);
    plan.beginAttempt();
    CHECK(plan.fail(AttemptFailure::Broken, false, start, plenty) == RelayStep::SendAgain);
    plan.beginAttempt();
    CHECK_FALSE(plan.tryAbandonAttempt(false, start, plenty));
    CHECK(plan.fail(AttemptFailure::Broken, false, start, plenty) == RelayStep::FailUnknown);
}

TEST_CASE("a stream that has begun goes on elsewhere only if it can be resumed")
{
    auto resumable = planFor(true, true, 2);
    resumable.beginAttempt();
    CHECK(resumable.fail(AttemptFailure::Broken, true, start, plenty) == RelayStep::SendRest);
    auto other = planFor(true, false, 2);
    other.beginAttempt();
    CHECK(other.fail(AttemptFailure::Broken, true, start, plenty) == RelayStep::Abort);
}

TEST_CASE("after the deadline nothing is sent")
{
    auto plan = planFor(true, true, 5);
    plan.beginAttempt();
    const auto late = plan.deadline();
    CHECK(plan.fail(AttemptFailure::NeverConnected, false, late, plenty) == RelayStep::RefuseNotRun);
    CHECK_FALSE(plan.tryAbandonAttempt(false, late, plenty));
}
