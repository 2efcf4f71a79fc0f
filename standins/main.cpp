#include "StandIns.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace eelgrassford::standins;

namespace {

/// Splits "IP:PORT".
void parseAddress(const std::string& text, std::string& ip, std::uint16_t& port)
{
    const auto colon = text.rfind(':');
    ip = text.substr(0, colon);
    port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
}

}

int main(int argumentCount, char** arguments)
{
    CLI::App app { "Simulates the platform and the upstreams for tests and the demonstration." };
    app.require_subcommand(1);
    std::string listen;
    ModelEngineOptions engine;
    ApplicationRunnerOptions application;
    PlatformOptions platform;
    StoreOptions store;
    PlatformRunnerOptions runner;

    auto* engineCommand = app.add_subcommand("engine", "Simulate a model engine");
    engineCommand->add_option("--listen", listen, "IP:PORT")->required();
    engineCommand->add_option("--name", engine.name, "Name")->required();
    engineCommand->add_option("--token-seconds", engine.tokenSeconds, "Seconds between two tokens of a generation")
        ->capture_default_str();
    engineCommand->add_option("--prefill-seconds", engine.prefillSeconds, "Seconds to compute an uncached prompt token")
        ->capture_default_str();
    engineCommand->add_option("--cache-tokens", engine.cacheTokens, "Capacity of the prefix cache in prompt tokens")
        ->capture_default_str();
    engineCommand->add_option("--report-lag", engine.reportLagSeconds, "Age in seconds of the load that reports show")
        ->capture_default_str();
    engineCommand->add_option("--crash-text", engine.crashText, "Text in a request body that ends the process");

    auto* applicationCommand = app.add_subcommand("application", "Simulate an application runner that counts its runs");
    applicationCommand->add_option("--listen", listen, "IP:PORT")->required();
    applicationCommand->add_option("--name", application.name, "Name")->required();
    applicationCommand->add_option("--run-seconds", application.runSeconds, "Seconds that a run takes")
        ->capture_default_str();

    auto* platformCommand = app.add_subcommand("platform", "Simulate the configuration service and the host list");
    platformCommand->add_option("--listen", listen, "IP:PORT")->required();
    platformCommand->add_option("--bundle", platform.bundle, "Directory of the published bundle")->required();
    platformCommand->add_option("--host-list", platform.hostList, "File with the host list")->required();

    auto* storeCommand = app.add_subcommand("store", "Simulate the store of the users' platform");
    storeCommand->add_option("--listen", listen, "IP:PORT")->required();

    auto* runnerCommand = app.add_subcommand("runner", "Simulate a runner of the users' platform that counts its runs");
    runnerCommand->add_option("--listen", listen, "IP:PORT")->required();
    runnerCommand->add_option("--name", runner.name, "Name")->required();
    runnerCommand->add_option("--run-seconds", runner.runSeconds, "Seconds that a run takes, or between two events")
        ->capture_default_str();
    runnerCommand->add_option("--events", runner.events, "Number of events in a stream")->capture_default_str();

    runnerCommand->add_option("--version", runner.version, "Software version that each event states");
    runnerCommand->add_option("--run-log", runner.runLog, "File to which each run is appended");
    runnerCommand->add_option("--cold", runner.coldSeconds, "Seconds for which it is cold after its start")
        ->capture_default_str();

    CLI11_PARSE(app, argumentCount, arguments);
    try {
        asio::io_context context;
        if (engineCommand->parsed()) {
            parseAddress(listen, engine.ip, engine.port);
            runModelEngine(context, engine);
        } else if (applicationCommand->parsed()) {
            parseAddress(listen, application.ip, application.port);
            runApplicationRunner(context, application);
        } else if (storeCommand->parsed()) {
            parseAddress(listen, store.ip, store.port);
            runStore(context, store);
        } else if (runnerCommand->parsed()) {
            parseAddress(listen, runner.ip, runner.port);
            runPlatformRunner(context, runner);
        } else {
            parseAddress(listen, platform.ip, platform.port);
            runPlatform(context, platform);
        }
    } catch (const std::exception& error) {
        std::cerr << "eelgrassford-standins: " << error.what() << "\n";
        return 3;
    }
    return 0;
}
