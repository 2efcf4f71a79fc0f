#include "work/RemainingWork.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using work::RemainingWork;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

TimePoint after(int milliseconds) { return start + std::chrono::milliseconds(milliseconds); }

}

TEST_CASE("remaining work is what this daemon sent minus its progress, plus what the other daemons report")
{
    RemainingWork remaining;
    auto first = remaining.begin(1, { 1000.0, 500.0, 1200.0 }, start);
    const auto second = remaining.begin(1, { 300.0, 100.0, 400.0 }, start);
    remaining.advance(first, 200.0);
    CHECK(remaining.own(1).prefillTokens == 300.0);
    CHECK(remaining.own(1).outputMs == 400.0);
    remaining.setPeers({ { 1, { 50.0, 0.0, 0.0 } }, { 2, { 70.0, 0.0, 0.0 } } });
    CHECK(remaining.view(1, start).left.prefillTokens == 350.0);
    CHECK(remaining.view(2, start).left.prefillTokens == 70.0);
    // A daemon that dies takes its work with it.
    remaining.setPeers({});
    remaining.advance(first, 1e9);
    remaining.end(first);
    remaining.end(second);
    CHECK_FALSE(remaining.view(1, start).left.isNoticeable());
    remaining.removeIdle(after(120000));
    CHECK(remaining.size() == 0);
}

TEST_CASE("a reported slowdown halves its effect within its half-life and is gone soon after")
{
    RemainingWork remaining;
    remaining.recordReport(1, 4.0, start);
    CHECK(remaining.view(1, start).slowdown == 4.0);
    CHECK(remaining.view(1, after(300)).slowdown == doctest::Approx(2.5));
    CHECK(remaining.view(1, after(3000)).slowdown == doctest::Approx(1.0).epsilon(0.01));
}

// Guards against a runner that attracts all requests because it always reports that it is fast.
TEST_CASE("a runner whose responses contradict its reports loses trust and is judged by its responses")
{
    RemainingWork remaining;
    for (int i = 0; i < 60; ++i) {
        remaining.recordReport(1, 0.5, after(100 * i));
        remaining.recordSpeed(1, 3.0, after(100 * i + 50));
        remaining.recordReport(2, 3.0, after(100 * i));
        remaining.recordSpeed(2, 3.0, after(100 * i + 50));
    }
    CHECK(remaining.view(1, after(6000)).slowdown > 2.0);
    CHECK(remaining.view(2, after(6000)).slowdown > 2.0);
    remaining.recordReport(2, 6.0, after(6000));
    CHECK(remaining.view(2, after(6000)).slowdown > 5.0);
    // The learned slowdown is forgotten without responses.
    CHECK(remaining.view(1, after(20000)).slowdown < 1.1);
}
