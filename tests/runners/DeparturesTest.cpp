#include "runners/Departures.h"
#include "common/Hash.h"
#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::Departures;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };

runners::Runner runner(std::uint64_t identity, const std::string& version)
{
    runners::Runner result;
    result.entry = { "r", "pool", "10.0.0.1", 1, "a", 8 };
    result.entry.version = version;
    result.identity = identity;
    result.software = runners::softwareOf(result.entry);
    return result;
}

}

TEST_CASE("a runner counts as departed for the window, unless it is listed again in the same lifetime")
{
    Departures departures(seconds(60));
    const auto lapsed = runner(1, "v1");
    const auto restarted = runner(2, "v2");
    departures.record(lapsed, start);
    departures.record(restarted, start);
    const auto service = hash64("pool");
    const Departures::Listed listed { { 1, lapsed.software }, { 3, restarted.software } };
    CHECK(departures.softwareOf(service, listed, start + seconds(60)) == std::set { restarted.software });
    CHECK(departures.summary(listed, start + seconds(7))
        == std::vector<runners::Departure> { { service, restarted.software, seconds(7) } });
    CHECK(departures.softwareOf(service, listed, start + seconds(61)).empty());
    CHECK(departures.isEmpty());
}

// Guards against streams that are refused because of an entry that lapsed while another daemon watched.
TEST_CASE("a daemon adopts departures from before its first listing, and sees later ones itself")
{
    const auto service = hash64("pool");
    for (const auto& [age, isAdopted] :
        { std::pair(seconds(20), true), { seconds(3), false }, { seconds(70), false } }) {
        CAPTURE(age.count());
        Departures departures(seconds(60));
        departures.recordListing(start);
        departures.recordListing(start + seconds(9));
        departures.adopt(std::vector<runners::Departure> { { service, 7, age } }, start + seconds(10));
        CHECK(departures.softwareOf(service, {}, start + seconds(10)).contains(7) == isAdopted);
    }
}
