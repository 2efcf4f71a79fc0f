#include "config/Bundle.h"
#include "config/ConfigurationStore.h"
#include "config/DeclarationParser.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassford;
using namespace eelgrassford::config;

namespace {

/// Parses one file and returns the messages of its errors.
std::vector<std::string> errorMessages(std::string_view text)
{
    DeclarationParser parser;
    parser.add(text, "a.toml");
    const auto result = parser.finish();
    std::vector<std::string> messages;
    if (!result) {
        for (const auto& error : result.error())
            messages.push_back(error.message());
    }
    return messages;
}

Configuration makeConfiguration(Revision revision, std::size_t organisations)
{
    Configuration configuration;
    configuration.revision = revision;
    configuration.services.push_back({ "bookings", ServiceKind::Application });
    for (std::size_t i = 0; i < organisations; ++i)
        configuration.organisations.push_back(
            { "organisation-" + std::to_string(i), 1.0 + static_cast<double>(i % 7), 10.0, 5 });
    configuration.rules.push_back({ "bookings", "POST", "/collections*", false, 15.0, 0 });
    return configuration;
}

PartLookup makeLookup(const Bundle& bundle)
{
    return [&bundle](const std::string& hash) -> std::optional<std::string> {
        const auto found = bundle.parts.find(hash);
        return found == bundle.parts.end() ? std::nullopt : std::optional(found->second);
    };
}

}

TEST_CASE("the declaration parser")
{
    SUBCASE("reports each error with file, line and remedy")
    {
        CHECK(errorMessages("[service\n").front().starts_with("[config.102] a.toml:1: "));
        CHECK(errorMessages("[service]\nname='a'\nkind='model'\ncolour='red'\n")
            == std::vector<std::string> {
                "[config.103] a.toml:4: unknown key 'service.colour'; remove it or mend its spelling" });
        CHECK(errorMessages("[service]\nname=1\nkind='model'\n")
            == std::vector<std::string> { "[config.104] a.toml:2: 'service.name' must be a string" });
        CHECK(errorMessages("[service]\nkind='model'\n")
            == std::vector<std::string> { "[config.105] a.toml:1: 'service.name' is missing; add it" });
        CHECK(errorMessages("[[model]]\nname='m'\nload_bound=0.5\n")
            == std::vector<std::string> { "[config.106] a.toml:3: 'model.load_bound' must lie between 1 and 10" });
        CHECK(errorMessages("[[model]]\nname='m'\nload_bound=nan\n").size() == 1);
        CHECK(errorMessages("[[model]]\nname='m'\n[[model]]\nname='m'\n")
            == std::vector<std::string> { "[config.107] model 'm': declared more than once; keep one declaration" });
        CHECK(errorMessages("[[rule]]\nservice='x'\nidempotent=true\n")
            == std::vector<std::string> {
                "[config.108] rule * *: service 'x' is not declared; declare it or mend the name" });
        CHECK(errorMessages("[[rule]]\nservice='x'\n").front()
            == "[config.105] a.toml:1: 'rule.idempotent' is missing; say true or false");
    }

    SUBCASE("keeps the order of rules, so that the first match applies")
    {
        DeclarationParser parser;
        parser.add("[service]\nname='fees'\nkind='application'\n[[rule]]\nmethod='get'\npath='/"
                   "status*'\nidempotent=true\n[[rule]]\nidempotent=false\n",
            "a.toml");
        const auto configuration = parser.finish();
        REQUIRE(configuration);
        CHECK(configuration->findRule("fees", "GET", "/status/1")->isIdempotent);
        CHECK_FALSE(configuration->findRule("fees", "POST", "/status/1")->isIdempotent);
        CHECK(configuration->findRule("other", "GET", "/status/1") == nullptr);
    }
}

TEST_CASE("a configuration bundle")
{
    SUBCASE("is reassembled into an equal configuration")
    {
        const auto configuration = makeConfiguration(7, 2200);
        const auto bundle = makeBundle(configuration);
        REQUIRE(bundle);
        const auto assembled = assemble(bundle->manifest, makeLookup(*bundle));
        REQUIRE(assembled);
        CHECK(*assembled == configuration);
        for (const auto& [hash, text] : bundle->parts)
            CHECK(text.size() <= maximumPartBytes);
        CHECK(*parseManifest(serialize(bundle->manifest)) == bundle->manifest);
    }

    SUBCASE("keeps the hashes of parts that a change does not affect")
    {
        auto configuration = makeConfiguration(7, 2200);
        const auto before = makeBundle(configuration);
        configuration.organisations[1100].weight = 99.0;
        const auto after = makeBundle(configuration);
        std::size_t changed = 0;
        for (const auto& [hash, text] : after->parts)
            changed += before->parts.contains(hash) ? 0 : 1;
        CHECK(before->parts.size() >= 4);
        CHECK(changed <= 3);
    }

    SUBCASE("is refused when a part is missing or modified")
    {
        auto bundle = *makeBundle(makeConfiguration(7, 600));
        bundle.parts.begin()->second += " ";
        CHECK(assemble(bundle.manifest, makeLookup(bundle)).error().code == ErrorCode::HashMismatch);
        bundle.parts.erase(bundle.parts.begin());
        CHECK(assemble(bundle.manifest, makeLookup(bundle)).error().code == ErrorCode::MalformedBundle);
        bundle.manifest.parts.pop_back();
        CHECK(assemble(bundle.manifest, makeLookup(bundle)).error().code == ErrorCode::HashMismatch);
    }

    SUBCASE("is refused when its manifest is malformed")
    {
        for (const auto* text : { "", "<html>", "[]", "{}", "{\"revision\":0,\"hash\":\"\",\"parts\":[]}",
                 "{\"revision\":-1,\"hash\":\"\",\"parts\":[]}", "{\"revision\":1.5,\"hash\":\"\",\"parts\":[]}" })
            CHECK_FALSE(parseManifest(text));
    }

    SUBCASE("is compared with another entity by entity")
    {
        const auto before = makeConfiguration(1, 2);
        auto after = makeConfiguration(2, 3);
        after.organisations[0].weight = 5.0;
        after.rules.clear();
        CHECK(differences(before, after)
            == std::vector<std::string> { "~ organisation organisation-0", "+ organisation organisation-2",
                "- rule bookings POST /collections*" });
    }
}

TEST_CASE("the configuration store")
{
    SUBCASE("never returns to a lower revision, whatever the order of offers")
    {
        CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& offers) {
            ConfigurationStore store;
            Revision greatest = 0;
            std::map<Revision, std::string> firstHash;
            for (const auto& [number, hasOtherContent] : offers) {
                const Revision revision = number + 1u;
                const Manifest manifest { revision, hasOtherContent ? "b" : "a", {} };
                Configuration configuration;
                configuration.revision = revision;
                const auto result = store.adopt(manifest, configuration, TimePoint {});
                RC_ASSERT((result == AdoptionResult::Adopted) == (revision > greatest));
                if (revision > greatest)
                    firstHash[revision] = manifest.hash;
                greatest = std::max(greatest, revision);
                RC_ASSERT(store.revision() == greatest);
                RC_ASSERT(store.snapshot()->revision == greatest);
                RC_ASSERT(store.manifest().hash == firstHash[greatest]);
                RC_ASSERT((result == AdoptionResult::Conflict)
                    == (revision == greatest && manifest.hash != firstHash[greatest]));
            }
        }));
    }

    SUBCASE("keeps earlier snapshots unchanged when a newer revision is adopted")
    {
        ConfigurationStore store;
        Configuration configuration;
        configuration.revision = 1;
        store.adopt({ 1, "a", {} }, configuration, TimePoint {});
        const auto held = store.snapshot();
        configuration.revision = 2;
        store.adopt({ 2, "b", {} }, configuration, TimePoint {});
        CHECK(held->revision == 1);
        CHECK(store.snapshot()->revision == 2);
    }
}
