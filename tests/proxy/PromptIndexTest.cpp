#include "proxy/PromptIndex.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::PromptPart;

TEST_CASE("requests of one subject share their key, whatever their own last part is")
{
    const std::vector<PromptPart> one { { 1, 512 }, { 2, 10000 }, { 77, 1300 } };
    const std::vector<PromptPart> other { { 1, 512 }, { 2, 10000 }, { 78, 900 } };
    const std::vector<PromptPart> third { { 1, 512 }, { 3, 10000 }, { 77, 1300 } };
    const auto affinity = proxy::affinityOf("m", one);
    CHECK(affinity.prefixHash == proxy::affinityOf("m", other).prefixHash);
    CHECK(affinity.promptHash != proxy::affinityOf("m", other).promptHash);
    CHECK(affinity.prefixHash != proxy::affinityOf("m", third).prefixHash);
    CHECK(affinity.prefixHash != proxy::affinityOf("other", one).prefixHash);
    CHECK(affinity.prefixTokens == 10512);
    CHECK(affinity.promptTokens == 11812);
}

TEST_CASE("a prompt of one part is shared by that part, and no prompt by nothing")
{
    CHECK(proxy::affinityOf("m", std::vector<PromptPart> { { 1, 512 } }).prefixTokens == 512);
    CHECK(proxy::affinityOf("m", {}).promptHash == 0);
}

TEST_CASE("the session that was served longest ago is forgotten first")
{
    proxy::PromptIndex index(2);
    index.recordServed(1, "r-1");
    index.recordServed(2, "r-2");
    index.recordServed(1, "r-3");
    index.recordServed(4, "r-4");
    CHECK(index.lastRunner(1) == "r-3");
    CHECK(index.lastRunner(2).empty());
    CHECK(index.size() == 2);
}
