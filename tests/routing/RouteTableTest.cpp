#include "routing/RouteTable.h"

#include <doctest/doctest.h>
#include <map>

using namespace eelgrassford;
using routing::RouteTable;

namespace {

routing::Route route(std::string name, std::string host, std::string prefix)
{
    routing::Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    result.destinations = { { "service", 1.0 } };
    return result;
}

RouteTable table()
{
    routing::Configuration configuration;
    configuration.revision = 3;
    configuration.routes
        = { route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("other", "b.example", "/x/") };
    configuration.organisations = { { "works", { "key-1", "key-2" }, {} } };
    return RouteTable(std::move(configuration));
}

}

TEST_CASE("the route with the longest matching path prefix of the host is found")
{
    const auto routes = table();
    CHECK(routes.findRoute("a.example", "/x/y/z")->name == "deep");
    CHECK(routes.findRoute("a.example", "/x/yz/")->name == "root");
    CHECK(routes.findRoute("a.example", "/x/y")->name == "root");
    CHECK(routes.findRoute("b.example", "/x/")->name == "other");
}

TEST_CASE("no route is found for an unknown path, host or empty path")
{
    const auto routes = table();
    CHECK(routes.findRoute("b.example", "/y/") == nullptr);
    CHECK(routes.findRoute("c.example", "/x/") == nullptr);
    CHECK(routes.findRoute("a.example", "") == nullptr);
}

TEST_CASE("an organisation is found only by one of its complete credentials")
{
    const auto routes = table();
    CHECK(routes.findOrganisation("key-2")->name == "works");
    CHECK(routes.findOrganisation("") == nullptr);
    CHECK(routes.findOrganisation("key") == nullptr);
}

TEST_CASE("a host name is converted to lower case without its port")
{
    CHECK(routing::hostName("A.Example:8080") == "a.example");
}

TEST_CASE("destinations are chosen in proportion to their weights")
{
    auto split = route("split", "a.example", "/");
    split.destinations = { { "old", 90.0 }, { "new", 10.0 } };
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 10000; ++i)
        ++counts[std::string(routing::chooseDestination(split, i * 0x9e3779b97f4a7c15ULL))];
    CHECK(counts["new"] > 900);
    CHECK(counts["new"] < 1100);
    split.destinations = { { "only", 0.0 } };
    CHECK(routing::chooseDestination(split, 5) == "only");
}

TEST_CASE("no organisation holds the empty credential of a request without one")
{
    routing::Configuration configuration;
    configuration.organisations = { { "works", { "", "key" }, {} } };
    const RouteTable routes(std::move(configuration));
    CHECK(routes.findOrganisation("") == nullptr);
    CHECK(routes.findOrganisation("key") != nullptr);
}
