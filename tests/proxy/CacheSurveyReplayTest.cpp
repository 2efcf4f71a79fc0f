#include "proxy/CacheSurvey.h"
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace eelgrassford;
using proxy::CacheSurvey;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };
constexpr std::size_t runnerCount = 6;
constexpr std::size_t streamCount = 24;

/// What happens to runners while streams that no daemon knows are taken up again.
struct Trouble {
    std::string name;
    /// Time for which each runner may be silent.
    Duration longestSilence {};
    double truncatedShare = 0.0;
    double evacuatedShare = 0.0;
    double departedShare = 0.0;
};

struct Result {
    std::size_t continued = 0;
    std::size_t mixed = 0;
};

/// Streams that began at runners of some versions. Each has a session whose last prompt part may be cached at a runner
/// of another version too, from an earlier request.
Result replay(std::size_t versions, const Trouble& trouble, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&] { return std::uniform_real_distribution<double>()(random); };
    struct Runner {
        CacheSurvey::Candidate candidate;
        std::vector<proxy::PromptPart> cached;
        TimePoint silentUntil {};
        bool isTruncated = false;
        bool hasDeparted = false;
    };
    std::vector<Runner> runners(runnerCount);
    std::vector<CacheSurvey::Candidate> candidates;
    std::set<std::uint64_t> departed;
    for (std::size_t i = 0; i < runnerCount; ++i) {
        auto& runner = runners[i];
        runner.candidate = { "r-" + std::to_string(i), i + 1, 1 + i % versions, true, true };
        runner.candidate.isAskable = draw() >= trouble.evacuatedShare;
        runner.hasDeparted = draw() < trouble.departedShare;
        runner.isTruncated = draw() < trouble.truncatedShare;
        runner.silentUntil = start + fromSeconds(toSeconds(trouble.longestSilence) * draw());
        if (runner.hasDeparted)
            departed.insert(runner.candidate.software);
        else
            candidates.push_back(runner.candidate);
    }
    CacheSurvey survey;
    survey.setCandidates(candidates, departed);
    Result result;
    for (std::size_t stream = 1; stream <= streamCount; ++stream) {
        auto& origin = runners[random() % runnerCount];
        const proxy::PromptPart part { stream, 100 };
        origin.cached.push_back(part);
        if (draw() < 0.5)
            runners[random() % runnerCount].cached.push_back(part);
        survey.ask(
            part,
            [&result, expected = origin.candidate.software](std::optional<std::uint64_t> software) {
                result.continued += software.has_value() ? 1 : 0;
                result.mixed += software && *software != expected ? 1 : 0;
            },
            start);
    }
    for (auto now = start; survey.isWaiting(); now += milliseconds(100)) {
        REQUIRE(now < start + seconds(5));
        survey.takeDue(now);
        for (const auto& runner : runners) {
            const bool isHeard = runner.candidate.isAskable && !runner.hasDeparted && !runner.isTruncated;
            if (isHeard && now >= runner.silentUntil)
                survey.record(runner.candidate.id, runner.candidate.identity, runner.cached, now);
        }
        survey.conclude(now);
    }
    return result;
}

}

// Guards against streams of two versions, and against streams that are lost though their version can be told.
TEST_CASE("replay: streams that no daemon knows go on at their own version or not at all")
{
    constexpr std::uint64_t seeds = 200;
    const std::vector<Trouble> troubles { { .name = "none" },
        { .name = "silent", .longestSilence = milliseconds(1500) },
        { .name = "silent for long", .longestSilence = seconds(8) }, { .name = "truncated", .truncatedShare = 0.2 },
        { .name = "evacuated", .evacuatedShare = 0.2 }, { .name = "departed", .departedShare = 0.2 },
        { .name = "all",
            .longestSilence = milliseconds(3000),
            .truncatedShare = 0.1,
            .evacuatedShare = 0.1,
            .departedShare = 0.1 } };
    for (const std::size_t versions : { 1, 2, 3 }) {
        for (const auto& trouble : troubles) {
            Result sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto result = replay(versions, trouble, seed);
                sum.continued += result.continued;
                sum.mixed += result.mixed;
            }
            const auto share = static_cast<double>(sum.continued) / static_cast<double>(seeds * streamCount);
            MESSAGE(versions, " versions, ", trouble.name, ": ", share, " continued, ", sum.mixed, " mixed");
            CHECK(sum.mixed == 0);
            // With one version every stream goes on whose prompt some runner tells of.
            if (versions == 1 && trouble.longestSilence < seconds(2) && trouble.truncatedShare == 0.0
                && trouble.evacuatedShare == 0.0 && trouble.departedShare == 0.0)
                CHECK(share == 1.0);
        }
        // A runner that is silent for as long as a sound one may be changes nothing.
        CHECK(replay(versions, troubles[0], 7).continued == replay(versions, troubles[1], 7).continued);
    }
}
