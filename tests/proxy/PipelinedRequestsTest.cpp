#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::runUntil;
using tests::successResponse;

// Guards against a stack that overflows under requests that are refused at once and wait for an answer before them.
TEST_CASE("any number of pipelined requests that are refused at once is answered without recursion")
{
    tests::RouterFixture fixture;
    fixture.call("POST", "/book/1");
    auto& runner = fixture.awaitRequest(1);
    constexpr std::size_t total = 7000;
    std::string requests;
    for (std::size_t i = 0; i < total; ++i)
        requests += "GET / HTTP/1.1\r\n\r\n";
    fixture.caller->send(requests);
    fixture.context.run_for(std::chrono::milliseconds(50));
    runner.send(successResponse("id", "booked"));
    std::size_t answers = 0;
    std::size_t searched = 0;
    const std::string refusal = "malformed-request\n";
    runUntil(fixture.context, [&] {
        const auto& text = fixture.caller->received;
        for (auto at = text.find(refusal, searched); at != std::string::npos; at = text.find(refusal, searched)) {
            searched = at + refusal.size();
            ++answers;
        }
        return answers == total;
    });
    CHECK(fixture.caller->has("booked"));
    CHECK_FALSE(fixture.caller->isEnded);
}
