#include "fleet/StartupComparison.h"

#include <doctest/doctest.h>
#include <vector>

using namespace eelgrassford;
using fleet::StartupComparison;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start {};
const std::vector<std::string> others { "a", "b", "c", "d", "e" };

}

// Guards against a starting daemon that trusts another one that has started on the same restored copy.
TEST_CASE("a starting daemon asks several others, each once, until three have answered")
{
    StartupComparison comparison;
    CHECK_FALSE(comparison.next(others, 0));
    comparison.begin(start);
    std::set<std::string> asked;
    for (std::uint64_t draw : { 0, 7, 11 })
        asked.insert(comparison.next(others, draw).value());
    CHECK(asked.size() == 3);
    CHECK_FALSE(comparison.next(others, 3));
    comparison.recordResult(false);
    asked.insert(comparison.next(others, 3).value());
    CHECK(asked.size() == 4);
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(comparison.isOver(others, start));
        comparison.recordResult(true);
    }
    CHECK(comparison.isOver(others, start));
    CHECK_FALSE(comparison.next(others, 0));
}

TEST_CASE("a starting daemon does not wait long for others that are down, and not at all if it is alone")
{
    StartupComparison alone;
    CHECK_FALSE(alone.isOver({}, start));
    alone.begin(start);
    CHECK(alone.isOver({}, start));

    StartupComparison small;
    const auto other = std::span(others).first(1);
    small.begin(start);
    CHECK(small.next(other, 0));
    CHECK_FALSE(small.isOver(other, start));
    small.recordResult(true);
    CHECK(small.isOver(other, start));

    for (const bool isRefused : { false, true }) {
        CAPTURE(isRefused);
        StartupComparison silent;
        silent.begin(start);
        CHECK(silent.next(other, 0));
        if (isRefused)
            silent.recordResult(false);
        CHECK_FALSE(silent.isOver(other, start + milliseconds(250)));
        CHECK(silent.isOver(other, start + milliseconds(300)));
    }
}
