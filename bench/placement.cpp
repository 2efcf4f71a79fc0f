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
    Options forgetful;
    forgetful.isRecordingExceptions = false;
    return {
        { "random", Knowledge::Late, {}, "random" },
        { "round-robin", Knowledge::Late, {}, "round-robin" },
        { "least-load", Knowledge::Late, {}, "least-load" },
        { "two-choices", Knowledge::Late, {}, "two-choices" },
        { "rendezvous", Knowledge::Late, {}, "rendezvous" },
        { "bounded-perfect-load", Knowledge::PerfectLoad, {}, "bounded-hash" },
        { "knows-every-cache", Knowledge::PerfectCache, {}, "bounded-hash" },
        { "bounded-hash", Knowledge::Late, {}, "bounded-hash" },
        { "bounded-forgetful", Knowledge::Late, forgetful, "bounded-load" },
        { "bounded-load", Knowledge::Late, {}, "bounded-load" },
    };
}

bool printFigure(const std::string& name, double value, double bound, const char* unit, bool isUpperBound)
{
    const bool isMet = isUpperBound ? value <= bound : value >= bound;
    std::printf(
        "figure=%s value=%.4f bound=%.4f unit=%s ok=%s\n", name.c_str(), value, bound, unit, isMet ? "true" : "false");
    return isMet;
}

/// Measures the router of the product against its targets, over three seeds of one scenario.
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
    std::vector<std::future<Figures>> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        for (const auto* wanted : { "bounded-load", "bounded-perfect-load", "knows-every-cache" })
            results.push_back(std::async(
                std::launch::async, [scenario, router = find(wanted)] { return simulate(scenario, router); }));
    }
    Figures own;
    double perfectLoad = 0;
    double perfectCache = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        const auto figures = results[3 * seed].get();
        own.reuse += figures.reuse / seeds;
        own.skewP99 = std::max(own.skewP99, figures.skewP99);
        own.skewWorst = std::max(own.skewWorst, figures.skewWorst);
        own.controlBytes = std::max(own.controlBytes, figures.controlBytes);
        perfectLoad += results[3 * seed + 1].get().reuse / seeds;
        perfectCache += results[3 * seed + 2].get().reuse / seeds;
    }
    bool isMet
        = printFigure(name + "-reuse-over-perfect-load", own.reuse / perfectLoad, reuseOverPerfectLoad, "ratio", false);
    isMet &= printFigure(
        name + "-reuse-over-perfect-cache", own.reuse / perfectCache, reuseOverPerfectCache, "ratio", false);
    isMet &= printFigure(name + "-skew-p99", own.skewP99, scenario.loadBound, "max/mean", true);
    isMet &= printFigure(name + "-skew-worst", own.skewWorst, scenario.loadBound, "max/mean", true);
    isMet &= printFigure(name + "-control", own.controlBytes, controlBytesPerSecond, "B/s", true);
    return isMet;
}

int check(Scenario scenario)
{
    scenario.seconds = 1800;
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
    Router tuned { "tuned", Knowledge::Late, {}, "bounded-load" };
    CLI::App app { "Measures placement strategies on a model of engines." };
    app.add_option("--daemons", scenario.daemons, "Daemons")->capture_default_str();
    app.add_option("--runners", scenario.runners, "Model runners")->capture_default_str();
    app.add_option("--in-flight", scenario.inFlightPerRunner, "Requests in flight a runner")->capture_default_str();
    app.add_option("--seconds", scenario.seconds, "Simulated seconds")->capture_default_str();
    app.add_option("--warm-up", scenario.warmUpSeconds, "Simulated seconds not counted")->capture_default_str();
    app.add_option("--lag", scenario.reportLagSeconds, "Lag of load reports in seconds")->capture_default_str();
    app.add_option("--digest", scenario.digestSeconds, "Seconds between digests of peers")->capture_default_str();
    app.add_option("--churn", scenario.churnPerHour, "Share of runners replaced an hour")->capture_default_str();
    app.add_option("--flap", scenario.flapSeconds, "Seconds for which a runner is unreachable each minute")
        ->capture_default_str();
    app.add_option("--surge", scenario.surgeFactor, "Factor of the long reviews in the middle third")
        ->capture_default_str();
    app.add_flag("--cut-off", scenario.isCutOff, "Half of the daemons do not hear the other half");
    app.add_option("--bound", scenario.loadBound, "Load bound c")->capture_default_str();
    app.add_option("--seed", scenario.seed, "Seed")->capture_default_str();
    app.add_option("--router", names, "Routers to measure; all if not given");
    app.add_option("--full-size", tuned.options.fullSlackPrefixRatio, "Full-slack size of the router 'tuned'")
        ->capture_default_str();
    app.add_option("--small-slack", tuned.options.smallPrefixSlackShare, "Small-chat slack of the router 'tuned'")
        ->capture_default_str();
    app.add_option("--new-slack", tuned.options.newChatSlackShare, "New-chat slack of the router 'tuned'")
        ->capture_default_str();
    app.add_option("--probes", tuned.options.probes, "Probes of the router 'tuned'")->capture_default_str();
    bool isCheck = false;
    app.add_flag("--check", isCheck, "Compare with the targets, one line a figure; exit 1 where one falls short");
    CLI11_PARSE(app, argumentCount, arguments);

    if (isCheck)
        return check(scenario);
    auto chosen = routers();
    chosen.push_back(tuned);
    if (!names.empty())
        std::erase_if(chosen,
            [&](const Router& router) { return std::find(names.begin(), names.end(), router.name) == names.end(); });
    std::vector<std::future<Figures>> results;
    for (const auto& router : chosen)
        results.push_back(std::async(std::launch::async, [&] { return simulate(scenario, router); }));
    std::printf(
        "%-22s %7s %9s %9s %9s %9s %9s\n", "router", "reuse", "skew p50", "skew p99", "worst", "spilled", "bytes/s");
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto figures = results[i].get();
        std::printf("%-22s %7.4f %9.3f %9.3f %9.3f %9.4f %9.0f\n", chosen[i].name.c_str(), figures.reuse,
            figures.skewMedian, figures.skewP99, figures.skewWorst, figures.spilled, figures.controlBytes);
    }
    return 0;
}
