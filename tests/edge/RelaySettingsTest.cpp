#include "edge/RelaySettings.h"

#include <doctest/doctest.h>

using namespace eelgrassford;

namespace {

const std::string settings = R"(host = "edge-1"
data_centre = "a"
ip = "10.0.0.1"
new_field = "ignored"
[listen]
callers = "10.0.0.1:80"
admin = "10.0.0.1:81"
[store]
address = "10.0.0.9:82"
[fleet]
port = 7340
seeds = ["10.0.0.2:83"]
[stop]
grace_seconds = 8
)";

std::string withReplaced(const std::string& from, const std::string& to)
{
    auto text = settings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST_CASE("valid settings are parsed and unknown fields are ignored")
{
    const auto result = edge::parseRelaySettings(settings);
    REQUIRE(result);
    CHECK(result->host == "edge-1");
    CHECK(result->storeAddress.port == 82);
    CHECK(result->fleetPort == 7340);
    CHECK(result->seeds == std::vector<std::string> { "10.0.0.2:83" });
    CHECK(result->stopGracePeriod == std::chrono::seconds(8));
    CHECK(result->configurationDeadline == std::chrono::seconds(2));
    const auto changed = edge::parseRelaySettings(settings + "[configuration]\napply_milliseconds = 4000\n");
    REQUIRE(changed);
    CHECK(changed->configurationDeadline == std::chrono::seconds(4));
}

TEST_CASE("no loss of a data centre is tolerated unless the settings say so")
{
    CHECK(edge::parseRelaySettings(settings)->toleratedDataCentreLosses == 0);
    const auto withLosses = [](const std::string& value) {
        return settings + "[runners]\ntolerated_data_centre_losses = " + value + "\n";
    };
    CHECK(edge::parseRelaySettings(withLosses("1"))->toleratedDataCentreLosses == 1);
    CHECK_FALSE(edge::parseRelaySettings(withLosses("-1")));
    CHECK(edge::parseRelaySettings(settings)->fleetDataCentreLosses == 0);
}

TEST_CASE("limits of memory and descriptors are checked, and 0 stands for those of the host")
{
    // Failure: a mistyped limit ends in a budget that refuses every caller, or none.
    const auto parse = [](const std::string& line) { return edge::parseRelaySettings(settings + "[memory]\n" + line); };
    const auto result = parse("limit_megabytes = 112\nmax_descriptors = 2870\nmin_bytes_per_second = 50\n");
    REQUIRE(result);
    CHECK(result->limits.memoryMegabytes == 112.0);
    CHECK(result->limits.descriptors == 2870.0);
    CHECK(result->limits.minBytesPerSecond == 50.0);
    const auto unstated = parse("limit_megabytes = 0\nmax_descriptors = 0\n");
    REQUIRE(unstated);
    CHECK_FALSE(unstated->limits.memoryMegabytes);
    CHECK_FALSE(unstated->limits.descriptors);
    for (const char* line : { "limit_megabytes = 15", "limit_megabytes = -1", "limit_megabytes = \"112\"",
             "max_descriptors = 10", "min_bytes_per_second = 1000" })
        CHECK_FALSE(parse(line));
}

TEST_CASE("the requests that a cold runner may get can be set")
{
    CHECK(edge::parseRelaySettings(settings)->coldOverage == 1.0);
    CHECK(edge::parseRelaySettings(settings)->coldSlack == 0.0);
    const auto changed = edge::parseRelaySettings(settings + "[runners]\ncold_overage = 1.5\ncold_slack = 5\n");
    REQUIRE(changed);
    CHECK(changed->coldOverage == 1.5);
    CHECK(changed->coldSlack == 5.0);
    CHECK_FALSE(edge::parseRelaySettings(settings + "[runners]\ncold_slack = -1\n"));
}

TEST_CASE("an invalid setting is refused with its name, its value and what is allowed")
{
    const auto address = edge::parseRelaySettings(withReplaced("10.0.0.1:80", "nowhere"));
    REQUIRE_FALSE(address);
    CHECK(address.error().message() == "[settings.601] listen.callers = 'nowhere' is not IP:PORT");
    const auto port = edge::parseRelaySettings(withReplaced("7340", "70000"));
    REQUIRE_FALSE(port);
    CHECK(port.error().what.find("fleet.port = 70000 is not a number from 0") == 0);
    const auto missing = edge::parseRelaySettings(withReplaced("host = \"edge-1\"", ""));
    REQUIRE_FALSE(missing);
    CHECK(missing.error().what == "host is missing; it is a text that is not empty");
    CHECK_FALSE(edge::parseRelaySettings("not toml ="));
}
