#include "platform/StoreDocumentCodec.h"
#include "platform/StoreProtocol.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassford;

namespace {

const char* const configuration = R"({"version":7,
  "routes":[{"name":"r-1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":15000,
             "targetLatencyMs":800,"priority":1,"trafficSplit":[{"service":"s-1","weight":90},{"service":"s-2","weight":10}],
             "maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapTargetMs":400},
            {"name":"r-2","host":"a.example","pathPrefix":"/y/","kind":"non_idempotent","timeoutMs":1200,
             "service":"s-2","public":true}],
  "services":[{"name":"s-1","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacityTokens":546534}},
              {"name":"s-2","healthPath":"/health","maxConnections":100}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"works","apiKeys":["k1","k2"],"priority":1}]})";

const char* const runner = R"({"service":"s-1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,
  "state":"ready","coldRemainingMs":0,"sequence":4,"born":1700000000000})";

/// An entry that is sound except for the given value of a field.
std::string runnerWith(const std::string& field, const std::string& value)
{
    std::string text = runner;
    const auto name = "\"" + field + "\":";
    const auto begin = text.find(name) + name.size();
    return text.replace(begin, text.find_first_of(",}", begin) - begin, value);
}

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

}

TEST_CASE("routes, services, organisations and limits of a configuration are decoded")
{
    const auto result = platform::StoreDocumentCodec().decodeConfiguration(configuration);
    REQUIRE(result);
    CHECK(result->revision == 7);
    REQUIRE(result->routes.size() == 2);
    const auto& stream = result->routes[0];
    CHECK(stream.kind == routing::RequestKind::Stream);
    CHECK(stream.isRepeatable());
    CHECK(stream.destinations.size() == 2);
    CHECK(stream.timeout == std::chrono::seconds(15));
    CHECK(stream.maxAttempts == 2);
    const auto& nonIdempotent = result->routes[1];
    CHECK(nonIdempotent.kind == routing::RequestKind::NonIdempotent);
    CHECK_FALSE(nonIdempotent.isRepeatable());
    CHECK(nonIdempotent.isPublic);
    CHECK(nonIdempotent.maxAttempts == 1);
    CHECK(result->services[0].isModel);
    CHECK_FALSE(result->services[1].isModel);
    CHECK(result->organisations[0].credentials.size() == 2);
    CHECK(result->limits.idleTimeout == std::chrono::seconds(15));
}

// Guards against a mistake in one value that takes a runner or the whole configuration out of effect.
TEST_CASE("cold times and cold starts that cannot be used are ignored, and the rest of the document holds")
{
    const platform::StoreDocumentCodec codec;
    const auto decode = [&](const std::string& value) {
        std::string text = runner;
        const std::string stated = "\"coldRemainingMs\":0";
        text.replace(text.find(stated), stated.size(), value);
        const auto entry = codec.decodeRunner("servers/r", text);
        REQUIRE(entry);
        return *entry;
    };
    CHECK(decode("\"coldRemainingMs\":2750.5").coldRemaining == std::chrono::microseconds(2750500));
    CHECK(decode("\"coldRemainingMs\":0").coldRemaining == Duration::zero());
    for (const char* value : { "-1", "1e12" }) {
        const auto entry = decode(std::string("\"coldRemainingMs\":") + value);
        CHECK(entry.hasUnusableColdTime);
        CHECK_FALSE(entry.coldRemaining);
    }
    const auto service = [&](const std::string& values) {
        std::string text = configuration;
        const std::string name = R"({"name":"s-2")";
        text.replace(text.find(name), name.size(), name + values);
        const auto result = codec.decodeConfiguration(text);
        REQUIRE(result);
        return result->services[1];
    };
    CHECK(service(R"(,"coldStartS":3,"coldPerS":10)").coldStart == std::chrono::seconds(3));
    CHECK(service(R"(,"coldStartS":3,"coldPerS":10)").coldRequestsPerSecond == 10.0);
    CHECK_FALSE(service(R"(,"coldStartS":0)").hasUnusableColdStart);
    for (const char* values : { R"(,"coldStartS":-3,"coldPerS":10)", R"(,"coldStartS":3)",
             R"(,"coldStartS":"3","coldPerS":10)", R"(,"coldStartS":3,"coldPerS":-1)" }) {
        CHECK(service(values).hasUnusableColdStart);
        CHECK(service(values).coldStart == Duration::zero());
    }
}

// Guards against an evacuation that is missed because its key, which is no document, looks like any other one.
TEST_CASE("a key that evacuates a data centre names it; other keys, and one without a name, evacuate none")
{
    const platform::StoreDocumentCodec codec;
    CHECK(codec.evacuatedDataCentre("op/evacuate/tas-1") == "tas-1");
    for (const char* key : { "op/evacuate/", "op/evacuate", "op/config", "servers/op/evacuate/a" })
        CHECK_FALSE(codec.evacuatedDataCentre(key));
}

// Guards against a configuration that is refused as a whole because of a figure that only placement uses.
TEST_CASE("the figures of a service's engines are decoded, and unusable ones count as missing")
{
    const auto decode = [](const std::string& engine) {
        std::string text = configuration;
        const std::string before = R"({"slots":64,"kvCapacityTokens":546534})";
        text.replace(text.find(before), before.size(), engine);
        return platform::StoreDocumentCodec().decodeConfiguration(text).value().services[0];
    };
    const auto service = decode(R"({"slots":64,"kvCapacityTokens":546534,"stride":16})");
    CHECK(service.engineSlots == 64);
    CHECK(service.kvCapacityTokens == 546534);
    CHECK(service.tokensPerEvent == 16);
    const auto broken = decode(R"({"slots":-1,"kvCapacityTokens":"many","stride":0})");
    CHECK(broken.isModel);
    CHECK(broken.engineSlots == 0);
    CHECK(broken.kvCapacityTokens == 0);
    CHECK(broken.tokensPerEvent == 1);
}

TEST_CASE("a route of an unknown kind is treated as non-idempotent")
{
    std::string text = configuration;
    const std::string kind = "\"streaming\"";
    text.replace(text.find(kind), kind.size(), "\"novel\"");
    const auto result = platform::StoreDocumentCodec().decodeConfiguration(text);
    REQUIRE(result);
    CHECK(result->routes[0].kind == routing::RequestKind::NonIdempotent);
}

TEST_CASE("a malformed configuration is an error, not an empty configuration")
{
    CHECK_FALSE(platform::StoreDocumentCodec().decodeConfiguration(""));
    CHECK_FALSE(platform::StoreDocumentCodec().decodeConfiguration("{}"));
    CHECK_FALSE(platform::StoreDocumentCodec().decodeConfiguration(R"({"version":"7"})"));
}

// Guards against a configuration that takes the last organisation away and so admits every credential.
TEST_CASE("a configuration with a list of organisations requires credentials, also if the list is empty")
{
    const auto withOrganisations = [](const std::string& list) {
        std::string text = configuration;
        const auto begin = text.find(",\n  \"tenants\"");
        text.replace(begin, text.rfind('}') - begin, list);
        return platform::StoreDocumentCodec().decodeConfiguration(text);
    };
    CHECK_FALSE(withOrganisations("")->requiresCredentials);
    for (const std::string list : { R"(,"tenants":[])", R"(,"tenants":[{"name":"works","apiKeys":[]}])",
             R"(,"tenants":[{"name":"works","apiKeys":["k"]}])" }) {
        CAPTURE(list);
        const auto result = withOrganisations(list);
        REQUIRE(result);
        CHECK(result->requiresCredentials);
    }
    for (const std::string list : { R"(,"tenants":null)", R"(,"tenants":"works")", R"(,"tenants":{})" }) {
        CAPTURE(list);
        CHECK_FALSE(withOrganisations(list));
    }
}

TEST_CASE("a runner's entry is decoded with its start time")
{
    const platform::StoreDocumentCodec documents;
    CHECK(documents.isRunnerKey("servers/i-1"));
    CHECK_FALSE(documents.isRunnerKey("op/config"));
    const auto entry = documents.decodeRunner("servers/i-1", runner);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->ip == "10.0.0.9");
    CHECK(entry->port == 8080);
    CHECK(entry->startedAtMs == 1700000000000);
    CHECK(entry->version == "v1");
    CHECK_FALSE(entry->isLeaving);
}

TEST_CASE("malformed runner entries are refused")
{
    const platform::StoreDocumentCodec documents;
    for (const char* text : { "", "null", "[]", "\xff\xfe", "{}" })
        CHECK_FALSE(documents.decodeRunner("servers/i-1", text));
    for (const auto& [field, value] :
        { std::pair("service", "1"), std::pair("address", "\"10.0.0.9\""), std::pair("address", "\"10.0.0.9:0\""),
            std::pair("slots", "\"64\""), std::pair("state", "\"resting\"") }) {
        CAPTURE(field);
        CHECK_FALSE(documents.decodeRunner("servers/i-1", runnerWith(field, value)));
    }
}

// Guards against requests that are run by a service to which another writer's entry assigns a runner.
TEST_CASE("an entry is refused that lacks a field or has one of another type")
{
    const platform::StoreDocumentCodec documents;
    const auto complete = nlohmann::json::parse(runner);
    REQUIRE(documents.decodeRunner("servers/i-1", complete.dump()));
    for (const auto& [name, value] : complete.items()) {
        CAPTURE(name);
        auto entry = complete;
        entry.erase(name);
        CHECK_FALSE(documents.decodeRunner("servers/i-1", entry.dump()));
        for (const auto& other : { nlohmann::json(), nlohmann::json(true), nlohmann::json::array({ value }),
                 nlohmann::json({ { name, value } }),
                 value.is_string() ? nlohmann::json(1.5) : nlohmann::json(value.dump()) }) {
            // The type of the version is not specified.
            if (name == "version" && other.is_number())
                continue;
            CAPTURE(other);
            entry[name] = other;
            CHECK_FALSE(documents.decodeRunner("servers/i-1", entry.dump()));
        }
    }
}

TEST_CASE("an entry whose software version is a number names a runner of unknown version")
{
    auto stated = nlohmann::json::parse(runner);
    stated["version"] = 1;
    const auto entry = platform::StoreDocumentCodec().decodeRunner("servers/i-1", stated.dump());
    REQUIRE(entry);
    CHECK(entry->version.empty());
}

// Guards against daemons that end when they connect to the address of an entry.
TEST_CASE("a runner entry whose address is not the IPv4 address of a host is refused")
{
    const platform::StoreDocumentCodec documents;
    for (const std::string address : { "works-9.tas-south-a:8708", "localhost:80", ":80", "10.0.0.9:", "10.0.0:80",
             "10.0.0.256:80", "10.0.0.9.1:80", " 10.0.0.9:80", "10.0.0.9 :80", "0.0.0.0:80", "255.255.255.255:80",
             "224.0.0.1:80", "::1:80", "[::1]:80", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9:8o",
             "10.0.0.9:99999999999999999999", "10.0.0.9\\u0000:80" }) {
        CAPTURE(address);
        CHECK_FALSE(documents.decodeRunner("servers/i-1", runnerWith("address", '"' + address + '"')));
    }
}

// Guards against entries of another writer that end daemons, or that give a runner a capacity without bound.
TEST_CASE("an entry with a number that is negative, too large or no whole number is refused")
{
    const platform::StoreDocumentCodec documents;
    REQUIRE(documents.decodeRunner("servers/i-1", runnerWith("slots", "64")));
    for (const std::string value : { "-1", "0", "64.5", "1e300", "-1e300", "1e999", "4294967360",
             "18446744073709551616", "1000000", "true", "null", "\"64\"" }) {
        CAPTURE(value);
        CHECK_FALSE(documents.decodeRunner("servers/i-1", runnerWith("slots", value)));
    }
    for (const std::string value : { "-1", "1.5", "1e300", "1e999", "36893488147419103232", "null", "\"1\"" }) {
        CAPTURE(value);
        CHECK_FALSE(documents.decodeRunner("servers/i-1", runnerWith("born", value)));
        const auto entry = runnerWith("born", value);
        CHECK(documents.compareStates("servers/i-1", entry, runner) == std::partial_ordering::unordered);
        const auto count = runnerWith("sequence", value);
        CHECK(documents.compareStates("servers/i-1", runner, count) == std::partial_ordering::unordered);
    }
}

TEST_CASE("an entry that is nested very deeply is read without a crash, and refused where a field should be text")
{
    const platform::StoreDocumentCodec documents;
    for (const std::size_t depth : { 1000, 300000 }) {
        CHECK_FALSE(documents.decodeRunner("servers/i-1", nested(depth)));
        CHECK_FALSE(documents.decodeRunner("servers/i-1", std::string(depth, '[')));
        for (const char* field : { "service", "address", "zone", "slots", "state", "born" })
            CHECK_FALSE(documents.decodeRunner("servers/i-1", runnerWith(field, nested(depth))));
        CHECK_FALSE(documents.decodeConfiguration(nested(depth)));
        CHECK(documents.compareStates("servers/i-1", nested(depth), runner) == std::partial_ordering::unordered);
        CHECK_FALSE(platform::StoreProtocol().decodePage(nested(depth)));
        CHECK_FALSE(platform::StoreProtocol().decodeChanges(R"({"events":)" + nested(depth) + "}"));
    }
}

// Guards against an id that ends the header in which it is sent to the runner, and adds others.
TEST_CASE("an entry is refused whose id cannot stand in a header")
{
    const platform::StoreDocumentCodec documents;
    for (const std::string id : { "", "i 1", "i-1\r\nX-Tenant: other", "i-1\n", "i\t1", "i-\xc3\xa9", "i\x7f" }) {
        CAPTURE(id);
        CHECK_FALSE(documents.decodeRunner("servers/" + id, runner));
    }
}

TEST_CASE("pages and changes of the store are decoded and malformed ones are an error")
{
    const platform::StoreProtocol protocol;
    const auto page = protocol.decodePage(
        R"({"items":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":412,"lease":0}],"hasMore":true,"storeRevision":530})");
    REQUIRE(page);
    CHECK(page->items.at(0).value == "node-1");
    CHECK(page->items.at(0).revision == 412);
    CHECK(page->hasMore);
    CHECK(page->storeRevision == 530);
    const auto changes = protocol.decodeChanges(
        R"({"events":[{"key":"a","value":"YQ==","revision":5},{"key":"b","revision":6,"tombstone":true}],"storeRevision":6})");
    REQUIRE(changes);
    CHECK(changes->changes.at(0).item.value == "a");
    CHECK_FALSE(changes->changes.at(0).isRemoved);
    CHECK(changes->changes.at(1).isRemoved);
    CHECK_FALSE(protocol.decodePage("garbage"));
    CHECK_FALSE(protocol.decodeChanges(R"({"events":[{}],"storeRevision":6})"));
    CHECK(protocol.isHistoryLost(410));
    CHECK(protocol.decodeEra(std::vector<store::Header> { { "Date", "x" }, { "store-era", "3" } }) == 3);
    CHECK_FALSE(protocol.decodeEra(std::vector<store::Header> { { "Store-Era", "x" } }));
    CHECK_FALSE(protocol.decodeEra({}));
    CHECK(protocol.listTarget("servers/i 1") == "/kv-range?pathPrefix=&after=servers/i%201");
}

TEST_CASE("of two entries of a runner the one of the later start, or with the higher count, is later; a configuration "
          "is by version")
{
    const platform::StoreDocumentCodec codec;
    const auto entry = [](int born, int sequence) {
        return R"({"born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) + "}";
    };
    CHECK(codec.compareStates("servers/r", entry(1, 4), entry(1, 5)) < 0);
    CHECK(codec.compareStates("servers/r", entry(2, 1), entry(1, 5)) > 0);
    CHECK(codec.compareStates("servers/r", entry(1, 4), entry(1, 4)) == 0);
    CHECK(codec.compareStates("op/config", R"({"version":7})", R"({"version":12})") < 0);
    CHECK(codec.compareStates("servers/r", "garbage", entry(1, 4)) == std::partial_ordering::unordered);
    CHECK(codec.compareStates("servers/r", "{}", entry(1, 4)) == std::partial_ordering::unordered);
    CHECK(codec.compareStates("other", entry(1, 4), entry(1, 5)) == std::partial_ordering::unordered);
}
