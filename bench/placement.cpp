#include "PlacementModel.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <future>
#include <iostream>

using namespace eelgrassford::bench;

namespace {

std::vector<Router> routers()
{
    using Options = eelgrassford::placement::BoundedLoadStrategy::Options;
    Options plain;
    plain.margin = 0.0;
    plain.coldSlack = 1.0;
    plain.isRemembering = false;
    Options forgetful;
    forgetful.isRemembering = false;
    return {
        { "random", Knowledge::Late, {}, "random" },
        { "round-robin", Knowledge::Late, {}, "round-robin" },
        { "least-load", Knowledge::Late, {}, "least-load" },
        { "two-choices", Knowledge::Late, {}, "two-choices" },
        { "rendezvous", Knowledge::Late, {}, "rendezvous" },
        { "bounded-perfect-load", Knowledge::PerfectLoad, plain, "bounded-load" },
        { "knows-every-cache", Knowledge::PerfectCache, plain, "bounded-load" },
        { "bounded-plain", Knowledge::Late, plain, "bounded-load" },
        { "bounded-forgetful", Knowledge::Late, forgetful, "bounded-load" },
        { "bounded-load", Knowledge::Late, {}, "bounded-load" },
    };
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
    app.add_option("--margin", tuned.options.margin, "Margin of the router 'tuned'")->capture_default_str();
    app.add_option("--cold-slack", tuned.options.coldSlack, "Cold slack of the router 'tuned'")->capture_default_str();
    app.add_option("--probes", tuned.options.probes, "Probes of the router 'tuned'")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);

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
