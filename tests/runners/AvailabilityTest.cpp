#include "runners/Availability.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::availabilityOf;
using runners::Exclusion;
using runners::Runner;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint now = TimePoint {} + std::chrono::hours(1);

runners::Availability check(const Runner& runner) { return availabilityOf(runner, {}, now); }

Runner suspendedRunner()
{
    Runner runner;
    runner.suspendedAt = now - milliseconds(100);
    runner.suspendedUntil = now + milliseconds(400);
    return runner;
}

}

TEST_CASE("a runner without any exclusion is available")
{
    const auto result = check({});
    CHECK(result.isAvailable());
    CHECK_FALSE(result.isBinding());
}

TEST_CASE("an exclusion states its reason, its end and the time of what it rests on")
{
    const auto suspended = check(suspendedRunner());
    CHECK(suspended.exclusion == Exclusion::Suspended);
    CHECK(suspended.until == now + milliseconds(400));
    CHECK(suspended.knownSince == now - milliseconds(100));
    CHECK_FALSE(suspended.isBinding());

    Runner leaving;
    leaving.entry.isLeaving = true;
    leaving.listedLeavingSince = now - milliseconds(700);
    CHECK(check(leaving).exclusion == Exclusion::ListedLeaving);
    CHECK_FALSE(check(leaving).until);
    CHECK(check(leaving).knownSince == now - milliseconds(700));
    CHECK(check(leaving).isBinding());

    Runner onProbation;
    onProbation.isOnProbation = true;
    CHECK(check(onProbation).isAvailable());
    onProbation.ownLoad = 1;
    CHECK(check(onProbation).exclusion == Exclusion::OnProbation);

    Runner doubted;
    doubted.suspendedByPeers = 1;
    CHECK(check(doubted).isAvailable());
    doubted.suspendedByPeers = 2;
    CHECK(check(doubted).exclusion == Exclusion::SuspendedByPeers);
    doubted.lastServedAt = now - milliseconds(100);
    CHECK(check(doubted).isAvailable());
}

TEST_CASE("a binding exclusion is stated before one that rests on a conclusion")
{
    auto runner = suspendedRunner();
    runner.limit = { 1.0, now - milliseconds(50) };
    runner.rateShare.emplace(1.0, 0.0, now);
    const auto result = check(runner);
    CHECK(result.exclusion == Exclusion::RateLimited);
    CHECK(result.isBinding());
    CHECK(result.knownSince == now - milliseconds(50));
    CHECK(result.until);
}

TEST_CASE("every exclusion has a name of its own")
{
    CHECK(nameOf(Exclusion::StatedLeaving) == "stated-leaving");
    CHECK(nameOf(Exclusion::ListedLeaving) == "leaving");
    CHECK(nameOf(Exclusion::Evacuated) == "evacuated");
    CHECK(nameOf(Exclusion::Paused) == "paused");
    CHECK(nameOf(Exclusion::RateLimited) == "rate-limited");
    CHECK(nameOf(Exclusion::Cold) == "cold");
    CHECK(nameOf(Exclusion::Suspended) == "suspended");
    CHECK(nameOf(Exclusion::OnProbation) == "probation");
    CHECK(nameOf(Exclusion::SuspendedByPeers) == "suspended-by-peers");
}
