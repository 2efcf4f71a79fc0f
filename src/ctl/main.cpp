#include "ctl/Commands.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

using namespace eelgrassford::ctl;

int main(int argumentCount, char** arguments)
{
    CLI::App app { "Validates declarations, builds bundles from them and inspects daemons." };
    app.set_version_flag("--version", "eelgrassctl 0.1.0");
    app.require_subcommand(1);
    app.footer("Examples:\n"
               "  eelgrassctl check examples/drum-works/services\n"
               "  eelgrassctl collect examples/drum-works/services --previous published --out next\n"
               "  eelgrassctl diff published next\n"
               "  eelgrassctl trace 9f66058722642d58 entry-*.log\n"
               "  eelgrassctl status --admin http://127.0.0.1:9000\n"
               "Exit codes: 0 success, 1 negative result, 2 invalid command line, 3 failure.");
    bool isJson = false;
    std::function<ExitCode(const Output&)> action;

    std::vector<std::string> directories;
    CollectOptions collectOptions;
    ExplainOptions explainOptions;
    std::string oldBundle;
    std::string newBundle;
    std::string adminUrl;
    std::string requestId;
    std::vector<std::string> logFiles;
    auto addCommand
        = [&](const std::string& name, const std::string& help, std::function<ExitCode(const Output&)> run) {
              auto* command = app.add_subcommand(name, help);
              command->add_flag("--json", isJson, "Print JSON");
              command->callback([&action, run = std::move(run)] { action = run; });
              return command;
          };

    auto* checkCommand = addCommand("check", "Validate the .toml declarations below directories",
        [&](const Output& output) { return check(directories, output); });
    checkCommand->add_option("DIR", directories, "Directories with declarations")->required();

    auto* collectCommand = addCommand("collect", "Validate declarations and write the bundle to publish",
        [&](const Output& output) { return collect(collectOptions, output); });
    collectCommand->add_option("DIR", collectOptions.directories, "Directories with declarations")->required();
    collectCommand->add_option("--out", collectOptions.outputDirectory, "Directory for the bundle")->required();
    collectCommand->add_option("--previous", collectOptions.previousBundle, "Directory of the bundle published last");
    collectCommand
        ->add_option("--revision", collectOptions.revision, "Revision; defaults to the previous revision plus one")
        ->check(CLI::PositiveNumber);

    auto* diffCommand = addCommand("diff", "Show the differences between two bundles; exit 1 if there are any",
        [&](const Output& output) { return diff(oldBundle, newBundle, output); });
    diffCommand->add_option("OLD", oldBundle, "Directory of the earlier bundle")->required();
    diffCommand->add_option("NEW", newBundle, "Directory of the later bundle")->required();

    auto* explainCommand = addCommand("explain", "Show how a request would be routed if no runner had any load",
        [&](const Output& output) { return explain(explainOptions, output); });
    explainCommand->add_option("--bundle", explainOptions.bundleDirectory, "Directory of the bundle")->required();
    explainCommand->add_option("--host-list", explainOptions.hostListFile, "File with the host list")->required();
    explainCommand->add_option("--organisation", explainOptions.organisation, "Organisation of the caller")->required();
    explainCommand->add_option("--method", explainOptions.method, "HTTP method of the request")->capture_default_str();
    explainCommand->add_option("--path", explainOptions.path, "Path and query of the request")->required();
    explainCommand->add_option("--body", explainOptions.bodyFile, "File with the request body");
    explainCommand->add_option("--chat", explainOptions.chat, "Name of the chat");

    auto* traceCommand = addCommand("trace",
        "Show the log lines of one request from several logs, ordered by time; exit 1 if there are none",
        [&](const Output& output) { return trace(requestId, logFiles, output); });
    traceCommand->add_option("ID", requestId, "Id of the request")->required();
    traceCommand->add_option("FILE", logFiles, "Log files of the hosts; standard input if none is given");

    auto* statusCommand = addCommand("status", "Show the status of a daemon; exit 1 if it is not ready",
        [&](const Output& output) { return status(adminUrl, output); });
    statusCommand->add_option("--admin", adminUrl, "Base URL of the daemon's admin address")
        ->required()
        ->envname("EELGRASSFORD_ADMIN_URL");

    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(action({ std::cout, std::cerr, isJson }));
}
