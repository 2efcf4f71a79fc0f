#include "dispatch/StreamOrigins.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using dispatch::streamKey;
using dispatch::StreamOrigins;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };

}

TEST_CASE("the software that began a stream is remembered for its lifetime after it was last recorded")
{
    StreamOrigins origins({ seconds(60), 100 });
    const auto stream = streamKey("works", "id");
    origins.record({ stream, 7 }, start);
    CHECK(origins.find(stream, start + seconds(60)) == 7);
    CHECK_FALSE(origins.find(stream, start + seconds(61)));
    origins.record({ stream, 7 }, start + seconds(50));
    CHECK(origins.find(stream, start + seconds(110)) == 7);
    origins.record({ streamKey("works", "other"), 7 }, start + seconds(111));
    CHECK(origins.size() == 1);
}

TEST_CASE("an id of another organisation names another stream")
{
    StreamOrigins origins;
    origins.record({ streamKey("works", "id"), 7 }, start);
    CHECK_FALSE(origins.find(streamKey("desk", "id"), start));
    CHECK_FALSE(origins.find(streamKey("", "id"), start));
}

TEST_CASE("of a stream with two origins none is known")
{
    StreamOrigins origins;
    origins.record({ 1, 7 }, start);
    origins.record({ 1, 8 }, start);
    origins.record({ 1, 7 }, start);
    CHECK_FALSE(origins.find(1, start));
    CHECK(origins.all(start).empty());
}

TEST_CASE("the number of origins is bounded, and the earliest ones are dropped")
{
    StreamOrigins origins({ seconds(60), 100 });
    for (std::uint64_t stream = 1; stream <= 1000; ++stream)
        origins.record({ stream, 7 }, start);
    CHECK(origins.size() <= 100);
    CHECK(origins.find(1000, start) == 7);
    CHECK_FALSE(origins.find(1, start));
}
