#include "dispatch/ChatRequest.h"
#include "dispatch/QuarantineRegistry.h"
#include "dispatch/RequestLifecycle.h"
#include <doctest/doctest.h>
#include <type_traits>

using namespace eelgrassford;
using namespace eelgrassford::dispatch;

// A NotRun can only be created by consuming a request of which nothing was sent.
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

    SUBCASE("is not sent again after it may have run")
    {
        for (const auto failure :
            { AttemptFailure::Broken, AttemptFailure::TimedOut, AttemptFailure::MismatchedAnswer }) {
            auto fresh = makeLifecycle(false, 2);
            REQUIRE(fresh.beginAttempt(at(0)));
            CHECK(std::holds_alternative<FinishUnknown>(fresh.fail(failure, at(1), budget, noJitter)));
        }
    }

    SUBCASE("is retried while nothing of it has been sent, and is refused as not run when its retries are used up")
    {
        for (int attempt = 0; attempt < 2; ++attempt) {
            REQUIRE(std::holds_alternative<SendAt>(
                lifecycle.fail(AttemptFailure::NeverConnected, at(1), budget, noJitter)));
            REQUIRE(lifecycle.beginAttempt(at(2)));
        }
        CHECK(std::holds_alternative<FinishNotRun>(
            lifecycle.fail(AttemptFailure::NeverConnected, at(3), budget, noJitter)));
    }

    SUBCASE("has an unknown outcome when the attempt after a declined one breaks")
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

    SUBCASE("is retried with exponential backoff until its retries are used up")
    {
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(0), budget, noJitter)).at == at(50));
        REQUIRE(lifecycle.beginAttempt(at(50)));
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(50), budget, noJitter)).at == at(150));
        REQUIRE(lifecycle.beginAttempt(at(150)));
        CHECK(std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(150), budget, noJitter)));
    }

    SUBCASE("resumes its broken stream at the offset before it is sent to another upstream")
    {
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        lifecycle.recordRelayedEvent();
        lifecycle.recordRelayedEvent();
        for (int resume = 0; resume < 3; ++resume)
            CHECK(std::get<Resume>(lifecycle.fail(AttemptFailure::Broken, at(1), budget, noJitter)).offset == 2);
        CHECK(std::get<SendAt>(lifecycle.fail(AttemptFailure::Broken, at(1), budget, noJitter)).offset == 2);
    }

    SUBCASE("is not retried when the retry budget of the service is empty")
    {
        RetryBudget empty({ 0.1, 0.0 });
        auto lifecycle = makeLifecycle(true, 2);
        REQUIRE(lifecycle.beginAttempt(at(0)));
        CHECK(std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(1), empty, noJitter)));
    }

    SUBCASE("fails at once when the deadline leaves no time for another attempt")
    {
        auto lifecycle = makeLifecycle(true, 5);
        REQUIRE(lifecycle.beginAttempt(at(9990)));
        CHECK(
            std::holds_alternative<FinishUnknown>(lifecycle.fail(AttemptFailure::Broken, at(9990), budget, noJitter)));
        CHECK_FALSE(lifecycle.beginAttempt(at(10000)));
    }
}

TEST_CASE("the quarantine registry")
{
    QuarantineRegistry registry;
    using Digests = std::vector<RequestDigest>;

    SUBCASE(
        "quarantines a request that was running on two crashed upstreams, and no request that ran on only one of them")
    {
        CHECK(registry.recordUpstreamDeath(Digests { 1, 2, 3 }, at(0)).empty());
        CHECK(registry.recordUpstreamDeath(Digests { 1, 7, 8 }, at(1000)) == Digests { 1 });
        CHECK(registry.isQuarantined(1, at(1000)));
        for (const RequestDigest other : { 2, 3, 7, 8 })
            CHECK_FALSE(registry.isQuarantined(other, at(1000)));
    }

    SUBCASE("requires a third crash when two suspects were running on the second crashed upstream")
    {
        registry.recordUpstreamDeath(Digests { 1, 2 }, at(0));
        CHECK(registry.recordUpstreamDeath(Digests { 1, 2 }, at(1)).empty());
        CHECK(registry.recordUpstreamDeath(Digests { 1 }, at(2)) == Digests { 1 });
        CHECK_FALSE(registry.isQuarantined(2, at(2)));
    }

    SUBCASE("ends a quarantine when its time is over")
    {
        registry.quarantine(1, at(0));
        registry.tick(at(600001));
        CHECK_FALSE(registry.isQuarantined(1, at(600001)));
        CHECK(registry.size() == 0);
    }
}

TEST_CASE("a chat request")
{
    SUBCASE("has the same chat digest after messages are appended")
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

    SUBCASE("is rejected with an error message when it is malformed")
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
