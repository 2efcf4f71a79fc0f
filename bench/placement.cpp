#include "PlacementModel.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <future>
#include <iostream>

using namespace eelgrassford::bench;

namespace {

std::vector<Router> routers()
{
    using Options = eelgrassford::placement::BoundedLoadStrategy::Options;
    Options withoutExceptions;
    withoutExceptions.isRecordingExceptions = false;
    return {
        { "random", Knowledge::Reported, {}, "random" },
        { "round-robin", Knowledge::Reported, {}, "round-robin" },
        { "least-load", Knowledge::Reported, {}, "least-load" },
        { "two-choices", Knowledge::Reported, {}, "two-choices" },
        { "rendezvous", Knowledge::Reported, {}, "rendezvous" },
        { "bounded-perfect-load", Knowledge::PerfectLoad, {}, "bounded-hash" },
        { "knows-every-cache", Knowledge::PerfectCache, {}, "bounded-hash" },
        { "bounded-hash", Knowledge::Reported, {}, "bounded-hash" },
        { "bounded-forgetful", Knowledge::Reported, withoutExceptions, "bounded-load" },
        { "bounded-load", Knowledge::Reported, {}, "bounded-load" },
    };
}

bool printFigure(const std::string& name, double value, double bound, const char* unit, bool isUpperBound)
{
    const bool isMet = isUpperBound ? value <= bound : value >= bound;
    std::printf(
        "figure=%s value=%.4f bound=%.4f unit=%s ok=%s\n", name.c_str(), value, bound, unit, isMet ? "true" : "false");
    return isMet;
}

/// Checks the bounded-load strategy, which the daemon uses, against its targets over three seeds of one scenario.
bool checkScenario(const std::string& name, Scenario scenario)
{
    constexpr double reuseOverPerfectLoad = 1.03;
    constexpr double reuseOverPerfectCache = 0.95;
    constexpr double controlBytesPerSecond = 4096;
    constexpr int seeds = 3;
    const auto all = routers();
    auto find = [&](const std::string& wanted) {
        return *std::find_if(all.begin(), all.end(), [&](const Router& router) { return router.name == wanted; });
    };
    std::vector<std::future<Metrics>> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        for (const auto* wanted : { "bounded-load", "bounded-perfect-load", "knows-every-cache" })
            results.push_back(std::async(
                std::launch::async, [scenario, router = find(wanted)] { return simulate(scenario, router); }));
    }
    Metrics boundedLoad;
    double perfectLoad = 0;
    double perfectCache = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        const auto metrics = results[3 * seed].get();
        boundedLoad.reusedShare += metrics.reusedShare / seeds;
        boundedLoad.loadSkewP99 = std::max(boundedLoad.loadSkewP99, metrics.loadSkewP99);
        boundedLoad.loadSkewMax = std::max(boundedLoad.loadSkewMax, metrics.loadSkewMax);
        boundedLoad.digestBytesPerSecond = std::max(boundedLoad.digestBytesPerSecond, metrics.digestBytesPerSecond);
        perfectLoad += results[3 * seed + 1].get().reusedShare / seeds;
        perfectCache += results[3 * seed + 2].get().reusedShare / seeds;
    }
    bool isMet = printFigure(
        name + "-reuse-over-perfect-load", boundedLoad.reusedShare / perfectLoad, reuseOverPerfectLoad, "ratio", false);
    isMet &= printFigure(name + "-reuse-over-perfect-cache", boundedLoad.reusedShare / perfectCache,
        reuseOverPerfectCache, "ratio", false);
    isMet &= printFigure(name + "-skew-p99", boundedLoad.loadSkewP99, scenario.loadBound, "max/mean", true);
    isMet &= printFigure(name + "-skew-worst", boundedLoad.loadSkewMax, scenario.loadBound, "max/mean", true);
    isMet &= printFigure(name + "-control", boundedLoad.digestBytesPerSecond, controlBytesPerSecond, "B/s", true);
    return isMet;
}

int check(Scenario scenario)
{
    scenario.durationSeconds = 1800;
    bool isMet = checkScenario("drum-works", scenario);
    scenario.daemons = 7;
    scenario.runners = 12;
    isMet &= checkScenario("permit-desk", scenario);
    return isMet ? 0 : 1;
}

}

int main(int argumentCount, char** arguments)
{
    Scenario scenario;
    std::vector<std::string> names;
    Router tuned { "tuned", Knowledge::Reported, {}, "bounded-load" };
    CLI::App app { "Compares placement strategies in a simulation of engines." };
    app.add_option("--daemons", scenario.daemons, "Number of daemons")->capture_default_str();
    app.add_option("--runners", scenario.runners, "Number of model runners")->capture_default_str();
    app.add_option("--in-flight", scenario.inFlightPerRunner, "Mean requests in flight per runner")
        ->capture_default_str();
    app.add_option("--seconds", scenario.durationSeconds, "Simulated seconds")->capture_default_str();
    app.add_option("--warm-up", scenario.warmUpSeconds, "Initial simulated seconds that are not measured")
        ->capture_default_str();
    app.add_option("--lag", scenario.reportLagSeconds, "Lag of load reports in seconds")->capture_default_str();
    app.add_option("--digest", scenario.digestSeconds, "Seconds between digests to peers")->capture_default_str();
    app.add_option("--churn", scenario.churnPerHour, "Share of runners replaced per hour")->capture_default_str();
    app.add_option("--flap", scenario.flapSeconds, "Seconds for which a runner is unreachable each minute")
        ->capture_default_str();
    app.add_option(
           "--surge", scenario.surgeFactor, "Factor by which pauses in long reviews shorten in the middle third")
        ->capture_default_str();
    app.add_flag(
        "--cut-off", scenario.isPartitioned, "The two halves of the daemons receive no digests from each other");
    app.add_option("--bound", scenario.loadBound, "Maximum load of a runner as a multiple of the mean load")
        ->capture_default_str();
    app.add_option("--seed", scenario.seed, "Random seed")->capture_default_str();
    app.add_option("--router", names, "Routers to measure; all if not given");
    app.add_option("--full-size", tuned.options.fullSlackPrefixRatio,
           "Reusable prefix, as a multiple of the mean, that allows all slack, router 'tuned'")
        ->capture_default_str();
    app.add_option("--small-slack", tuned.options.smallPrefixSlackShare,
           "Share of the slack for the smallest reusable prefix, router 'tuned'")
        ->capture_default_str();
    app.add_option("--new-slack", tuned.options.newChatSlackShare, "Share of the slack for a new chat, router 'tuned'")
        ->capture_default_str();
    app.add_option("--probes", tuned.options.probes, "Probes of the slot table for each chat, router 'tuned'")
        ->capture_default_str();
    bool isCheck = false;
    app.add_flag(
        "--check", isCheck, "Print each metric with its target, one per line; exit with 1 if a target is missed");
    CLI11_PARSE(app, argumentCount, arguments);

    if (isCheck)
        return check(scenario);
    auto chosen = routers();
    chosen.push_back(tuned);
    if (!names.empty())
        std::erase_if(chosen,
            [&](const Router& router) { return std::find(names.begin(), names.end(), router.name) == names.end(); });
    std::vector<std::future<Metrics>> results;
    for (const auto& router : chosen)
        results.push_back(std::async(std::launch::async, [&] { return simulate(scenario, router); }));
    std::printf(
        "%-22s %7s %9s %9s %9s %9s %9s\n", "router", "reuse", "skew p50", "skew p99", "worst", "spilled", "bytes/s");
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto metrics = results[i].get();
        std::printf("%-22s %7.4f %9.3f %9.3f %9.3f %9.4f %9.0f\n", chosen[i].name.c_str(), metrics.reusedShare,
            metrics.loadSkewMedian, metrics.loadSkewP99, metrics.loadSkewMax, metrics.spilledShare,
            metrics.digestBytesPerSecond);
    }
    return 0;
}
