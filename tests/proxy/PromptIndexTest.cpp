#include "proxy/PromptIndex.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::PromptPart;

TEST_CASE("prompts that differ only in their last part have the same prefix hash and different prompt hashes")
{
    const std::vector<PromptPart> prompt { { 1, 512 }, { 2, 10000 }, { 77, 1300 } };
    const std::vector<PromptPart> otherLastPart { { 1, 512 }, { 2, 10000 }, { 78, 900 } };
    const std::vector<PromptPart> otherPrefix { { 1, 512 }, { 3, 10000 }, { 77, 1300 } };
    const auto affinity = proxy::affinityOf("m", prompt);
    CHECK(affinity.prefixHash == proxy::affinityOf("m", otherLastPart).prefixHash);
    CHECK(affinity.promptHash != proxy::affinityOf("m", otherLastPart).promptHash);
    CHECK(affinity.prefixHash != proxy::affinityOf("m", otherPrefix).prefixHash);
    CHECK(affinity.prefixHash != proxy::affinityOf("other", prompt).prefixHash);
    CHECK(affinity.prefixTokens == 10512);
    CHECK(affinity.promptTokens == 11812);
}

TEST_CASE("the prefix of a prompt with one part is that part, and an empty prompt has no hash")
{
    CHECK(proxy::affinityOf("m", std::vector<PromptPart> { { 1, 512 } }).prefixTokens == 512);
    CHECK(proxy::affinityOf("m", {}).promptHash == 0);
}

TEST_CASE("a full prompt index evicts the prompt that was served least recently")
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
