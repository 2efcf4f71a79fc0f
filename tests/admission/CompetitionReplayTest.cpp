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
Competition heavyOrganisation()
{
    auto load = usualCompetition(60);
    load.organisationFactor = 7.5;
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

// The load sheds by pressure and by each daemon's own measurements; these tests show what that cannot do.

TEST_CASE("by pressure alone, the most urgent kind is not served more often than the least urgent one")
{
    for (const std::size_t daemons : { 60, 112 }) {
        const auto report = replay(surge(daemons), 1);
        CHECK(report.byKind.at("chat").servedShare() < report.byKind.at("batch").servedShare() + 0.05);
        CHECK(report.byKind.at("lookup").servedShare() < report.byKind.at("report").servedShare() + 0.05);
    }
}

TEST_CASE("by pressure alone, an organisation at 7.5 times its usual load takes from the others")
{
    CHECK(shareOfOthers(replay(heavyOrganisation(), 1), 1) < 0.95);
}

TEST_CASE("by pressure alone, callers that repeat at once are served more often than those that return as told")
{
    const auto report = replay(surge(60), 1);
    CHECK(report.byCaller.at(Caller::RepeatsAtOnce).servedShare()
        > report.byCaller.at(Caller::ReturnsAsTold).servedShare());
    // Returned requests have no precedence over new ones beyond the load that has fallen since.
    CHECK(returnedShare(report) < firstShare(report) + 0.1);
}
