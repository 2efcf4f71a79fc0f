#include "proxy/CacheSurvey.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::CacheSurvey;
using proxy::PromptPart;

TEST_CASE("the software is known whose runners alone have read the last part of a prompt")
{
    CacheSurvey survey;
    survey.record(1, std::vector<PromptPart> { { 10, 500 }, { 11, 800 }, { 12, 100 } });
    survey.record(1, std::vector<PromptPart> { { 10, 900 } });
    survey.record(2, std::vector<PromptPart> { { 11, 900 }, { 12, 800 }, { 13, 780 } });
    CHECK(survey.softwareThatRead({ 10, 800 }) == 1);
    CHECK_FALSE(survey.softwareThatRead({ 11, 800 }));
    // An earlier request of the session had a shorter part.
    CHECK(survey.softwareThatRead({ 12, 800 }) == 2);
    // A request that was broken off leaves a little less.
    CHECK(survey.softwareThatRead({ 13, 800 }) == 2);
    CHECK_FALSE(survey.softwareThatRead({ 13, 1000 }));
    CHECK_FALSE(survey.softwareThatRead({ 14, 1 }));
}
