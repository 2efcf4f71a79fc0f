#include "dispatch/ChatRequest.h"
#include "dispatch/QuarantineRegistry.h"
#include "dispatch/RequestLifecycle.h"
#include <doctest/doctest.h>
#include <type_traits>

using namespace eelgrassford;
using namespace eelgrassford::dispatch;

// "Not run" cannot be made without consuming a request of which nothing was sent.
static_assert(!std::is_default_constructible_v<NotRun>);
static_assert(!std::is_constructible_v<NotRun, Refusal>);
static_assert(!std::is_copy_constructible_v<UnsentRequest>);
static_assert(!std::is_default_constructible_v<SentRequest>);

namespace {

const RequestLifecycle::RandomSource noJitter = [] { return 1.0; };

TimePoint at(int milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

RequestLifecycle makeLifecycle(bool isIdempotent, std::uint32_t retries)
{
    RequestLifecycle::Options options;
    options.isIdempotent = isIdempotent;
    options.maxRetries = retries;
    options.deadline = at(10000);
    return RequestLifecycle(options);
}

}

TEST_CASE("a non-idempotent request")
{
    auto lifecycle = makeLifecycle(false, 2);
    RetryBudget budget;
    REQUIRE(lifecycle.beginAttempt(at(0)));

    SUBCASE("is not sent again once it may have run")
    {
        for (const auto failure :
            { AttemptFailure::Broken, AttemptFailure::TimedOut, AttemptFailure::MismatchedAnswer }) {
            auto each = makeLifecycle(false, 2);
            REQUIRE(each.beginAttempt(at(0)));
            CHECK(std::holds_alternative<FinishUnknown>(each.fail(failure, at(1), budget, noJitter)));
        }
    }

    SUBCASE("is tried elsewhere while nothing has left, and is refused truly at last")
    {
        for (int attempt = 0; attempt < 2; ++attempt) {
            REQUIRE(std::holds_alternative<SendAt>(
                lifecycle.fail(AttemptFailure::NeverConnected, at(1), budget, noJitter)));
            REQUIRE(lifecycle.beginAttempt(at(2)));
        }
        CHECK(std::holds_alternative<FinishNotRun>(
            lifecycle.fail(AttemptFailure::NeverConnected, at(3), budget, noJitter)));
    }

    SUBCASE("stays unknown when a later attempt never connects")
    {
        REQUIRE(std::holds_alternative<SendAt>(lifecycle.fail(AttemptFailure::Declined, at(1), budget, noJitter)));
        REQUIRE(lifecycle.beginAttempt(at(2)));
        CHECK(std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(3), budget, noJitter)));
        CHECK(lifecycle.mayHaveRun());
    }
}

TEST_CASE("an idempotent request")
{
    RetryBudget budget;

    SUBCASE("is retried with growing backoff until its retries are used up")
    {
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(0), budget, noJitter)).at == at(50));
        REQUIRE(lifecycle.beginAttempt(at(50)));
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(50), budget, noJitter)).at == at(150));
        REQUIRE(lifecycle.beginAttempt(at(150)));
        CHECK(std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(150), budget, noJitter)));
    }

    SUBCASE("resumes a broken stream at its offset before it starts elsewhere")
    {
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        lifecycle.recordRelayedEvent();
        lifecycle.recordRelayedEvent();
        for (int resume = 0; resume < 3; ++resume)
            CHECK(std::get<Resume>(lifecycle.fail(AttemptFailure::Broken, at(1), budget, noJitter)).offset == 2);
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(1), budget, noJitter)).offset == 2);
    }

    SUBCASE("is not retried when the service's budget is empty")
    {
        RetryBudget empty({ 0.1, 0.0 });
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        CHECK(std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(1), empty, noJitter)));
    }

    SUBCASE("is settled at once when no time is left for another attempt")
    {
        auto lifecycle = makeLifecycle(true, 5);
        REQUIRE(lifecycle.beginAttempt(at(9990)));
        CHECK(
            std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(9990), budget, noJitter)));
        CHECK_FALSE(lifecycle.beginAttempt(at(10000)));
    }
}

TEST_CASE("the quarantine")
{
    QuarantineRegistry registry;
    using Digests = std::vector<RequestDigest>;

    SUBCASE("takes in a request after it was on two dead upstreams, and none of its bystanders")
    {
        CHECK(registry.recordUpstreamDeath(Digests { 1, 2, 3 }, at(0)).empty());
        CHECK(registry.recordUpstreamDeath(Digests { 1, 7, 8 }, at(1000)) == Digests { 1 });
        CHECK(registry.isQuarantined(1, at(1000)));
        for (const RequestDigest bystander : { 2, 3, 7, 8 })
            CHECK_FALSE(registry.isQuarantined(bystander, at(1000)));
    }

    SUBCASE("waits for a third death when two suspects were on the second upstream")
    {
        registry.recordUpstreamDeath(Digests { 1, 2 }, at(0));
        CHECK(registry.recordUpstreamDeath(Digests { 1, 2 }, at(1)).empty());
        CHECK(registry.recordUpstreamDeath(Digests { 1 }, at(2)) == Digests { 1 });
        CHECK_FALSE(registry.isQuarantined(2, at(2)));
    }

    SUBCASE("ends after its time")
    {
        registry.quarantine(1, at(0));
        registry.tick(at(600001));
        CHECK_FALSE(registry.isQuarantined(1, at(600001)));
        CHECK(registry.size() == 0);
    }
}

TEST_CASE("a chat request")
{
    SUBCASE("keeps its chat while it grows")
    {
        const auto first = parseChatRequest(
            R"({"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]})", "");
        const auto second = parseChatRequest(
            R"({"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]})",
            "");
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->chat == second->chat);
        CHECK(first->reusableTokens == 0);
        CHECK(second->reusableTokens > 0);
    }

    SUBCASE("is refused with a reason when it is broken")
    {
        for (const auto* body : { "", "{", "[]", "{}", R"({"model":1})", R"({"model":"m"})",
                 R"({"model":"m","messages":[]})", R"({"model":"m","messages":[1]})",
                 R"({"model":"m","prompt":"p","stream":"yes"})", R"({"model":"m","prompt":"p","max_tokens":0})",
                 R"({"model":"m","prompt":"p","max_tokens":-4})", "{\"model\":\"\xff\"}" }) {
            const auto result = parseChatRequest(body, "");
            REQUIRE_FALSE(result);
            CHECK_FALSE(result.error().what.empty());
        }
    }
}
