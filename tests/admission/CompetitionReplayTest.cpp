#include "admission/CompetitionReplay.h"

#include <doctest/doctest.h>

using namespace eelgrassford::tests;

namespace {

constexpr std::uint64_t seeds[] = { 1, 2 };

/// Demand of 3.5 times the usual load, with runners and daemons of the two largest deployments.
Competition surge(std::size_t daemons)
{
    auto load = usualCompetition(daemons);
    load.factor = 3.5;
    return load;
}

/// One of the larger organisations sends 7.5 times its usual load.
Competition heavyOrganisation(std::size_t daemons)
{
    auto load = usualCompetition(daemons);
    load.organisationFactor = 7.5;
    return load;
}

Competition byPressure(Competition load)
{
    load.isWorkAware = false;
    return load;
}

/// Share of the first tries of the other organisations that is admitted.
double shareOfOthers(const CompetitionReport& report, std::size_t organisation)
{
    Tally others;
    for (std::size_t i = 0; i < report.byOrganisation.size(); ++i) {
        if (i == organisation)
            continue;
        others.firstTries += report.byOrganisation[i].firstTries;
        others.firstAdmitted += report.byOrganisation[i].firstAdmitted;
    }
    return Tally::share(others.firstAdmitted, others.firstTries);
}

double returnedShare(const CompetitionReport& report)
{
    return Tally::share(report.all.returnsAdmitted, report.all.returns);
}

double firstShare(const CompetitionReport& report)
{
    return Tally::share(report.all.firstAdmitted, report.all.firstTries);
}

}

// The present decision of services that are not switched to admission by work sheds by pressure and by each daemon's
// own measurements; these tests show what that cannot do.

TEST_CASE("by pressure alone, the most urgent kind is not served more often than the least urgent one")
{
    for (const std::size_t daemons : { 60, 112 }) {
        const auto report = replay(byPressure(surge(daemons)), 1);
        CHECK(report.byKind.at("chat").servedShare() < report.byKind.at("batch").servedShare() + 0.05);
        CHECK(report.byKind.at("lookup").servedShare() < report.byKind.at("report").servedShare() + 0.05);
    }
}

TEST_CASE("by pressure alone, an organisation at 7.5 times its usual load takes from the others")
{
    CHECK(shareOfOthers(replay(byPressure(heavyOrganisation(60)), 1), 1) < 0.95);
}

TEST_CASE("by pressure alone, callers that repeat at once are served more often than those that return as told")
{
    const auto report = replay(byPressure(surge(60)), 1);
    CHECK(report.byCaller.at(Caller::RepeatsAtOnce).servedShare()
        > report.byCaller.at(Caller::ReturnsAsTold).servedShare());
    // Returned requests have no precedence over new ones beyond the load that has fallen since.
    CHECK(returnedShare(report) < firstShare(report) + 0.1);
}

TEST_CASE("under pressure the less urgent kinds are refused first, and no kind or organisation starves")
{
    for (const std::size_t daemons : { 60, 112 }) {
        for (const auto seed : seeds) {
            for (const double factor : { 1.9, 3.5 }) {
                CAPTURE(daemons);
                CAPTURE(seed);
                CAPTURE(factor);
                auto load = surge(daemons);
                load.factor = factor;
                const auto report = replay(load, seed);
                const auto share = [&](const char* kind) { return report.byKind.at(kind).servedShare(); };
                CHECK(share("chat") > share("assist"));
                CHECK(share("assist") > share("batch"));
                CHECK(share("lookup") > share("report"));
                const auto minimum = 0.25 * report.all.servedShare();
                for (const auto& [kind, tally] : report.byKind)
                    CHECK(tally.servedShare() >= minimum);
                for (const auto& tally : report.byOrganisation)
                    CHECK(tally.servedShare() >= minimum);
                // What is shed is no more than today, and what is admitted ends in time.
                CHECK(report.goodput[0] > 0.9);
                CHECK(report.all.expired == 0);
                CHECK(report.refusedWhileIdle == 0);
            }
        }
    }
}

TEST_CASE("what an organisation sends beyond its share is refused before what the others send within theirs")
{
    for (const std::size_t daemons : { 60, 112 }) {
        for (const auto seed : seeds) {
            CAPTURE(daemons);
            CAPTURE(seed);
            const auto report = replay(heavyOrganisation(daemons), seed);
            CHECK(shareOfOthers(report, 1) > 0.95);
            CHECK(report.byOrganisation[1].servedShare() >= 0.25 * report.all.servedShare());
            CHECK(report.goodput[0] > 0.9);
        }
    }
}

TEST_CASE("callers that return as told precede new requests, and those that repeat at once gain nothing")
{
    for (const std::size_t daemons : { 60, 112 }) {
        for (const auto seed : seeds) {
            CAPTURE(daemons);
            CAPTURE(seed);
            const auto report = replay(surge(daemons), seed);
            CHECK(returnedShare(report) > firstShare(report));
            const auto share = [&](Caller caller) { return report.byCaller.at(caller).servedShare(); };
            CHECK(share(Caller::ReturnsAsTold) > share(Caller::RepeatsAtOnce));
            // Three repeats within 30 ms see the next epoch in one case of ten, which is another chance as any caller
            // would have that sends once then.
            CHECK(share(Caller::RepeatsAtOnce) < share(Caller::Leaves) + 0.1);
        }
    }
}

TEST_CASE("no request is refused in load waves around the usual load")
{
    auto load = usualCompetition(60);
    load.wave = 0.55;
    const auto report = replay(load, 1);
    CHECK(report.all.served == report.all.sent);
}

TEST_CASE("order and goodput survive one busy data centre while a fifth of the daemons is killed")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        auto load = usualCompetition(60);
        load.dataCentreFactor = 4.0;
        load.areDaemonsKilled = true;
        const auto report = replay(load, seed);
        CHECK(report.byKind.at("chat").servedShare() > report.byKind.at("batch").servedShare());
        CHECK(report.byKind.at("lookup").servedShare() > report.byKind.at("report").servedShare());
        CHECK(returnedShare(report) > firstShare(report));
        CHECK(report.goodput[0] > 0.9);
        CHECK(report.all.expired == 0);
    }
}

TEST_CASE("without messages between daemons the order is kept by each daemon's own measurements")
{
    auto load = surge(60);
    load.areMessagesLost = true;
    const auto report = replay(load, 1);
    CHECK(report.byKind.at("chat").servedShare() > report.byKind.at("batch").servedShare());
    CHECK(report.goodput[0] > 0.9);
    CHECK(report.all.expired == 0);
}
