#include "proxy/CacheSurvey.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::CacheSurvey;
using proxy::PromptPart;

TEST_CASE("the software is known whose runners alone have read the last part of a prompt")
{
    constexpr TimePoint now { std::chrono::seconds(1000) };
    CacheSurvey survey;
    survey.setCandidates({ { "r-1", 1, 1 }, { "r-2", 2, 1 }, { "r-3", 3, 2 } }, {});
    survey.record("r-1", 1, { { 10, 500 }, { 11, 800 }, { 12, 100 } }, now);
    survey.record("r-2", 2, { { 10, 900 } }, now);
    survey.record("r-3", 3, { { 11, 900 }, { 12, 800 }, { 13, 780 } }, now);
    const auto softwareThatRead = [&](const PromptPart& part) {
        std::optional<std::uint64_t> result;
        survey.ask(
            part, [&](std::optional<std::uint64_t> software) { result = software; }, now);
        CHECK(survey.conclude(now) == 1);
        return result;
    };
    CHECK(softwareThatRead({ 10, 800 }) == 1);
    CHECK_FALSE(softwareThatRead({ 11, 800 }));
    // An earlier request of the session had a shorter part.
    CHECK(softwareThatRead({ 12, 800 }) == 2);
    // A request that was broken off leaves a little less.
    CHECK(softwareThatRead({ 13, 800 }) == 2);
    CHECK_FALSE(softwareThatRead({ 13, 1000 }));
    CHECK_FALSE(softwareThatRead({ 14, 1 }));
}
