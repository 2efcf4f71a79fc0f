#include "ctl/Commands.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

using namespace eelgrassford::ctl;

int main(int argumentCount, char** arguments)
{
    CLI::App app { "Checks and collects declarations, and looks at daemons." };
    app.set_version_flag("--version", "eelgrassctl 0.1.0");
    app.require_subcommand(1);
    app.footer("Examples:\n"
               "  eelgrassctl check examples/drum-works/services\n"
               "  eelgrassctl collect examples/drum-works/services --previous published --out next\n"
               "  eelgrassctl diff published next\n"
               "  eelgrassctl trace 9f66058722642d58 entry-*.log\n"
               "  eelgrassctl status --admin http://127.0.0.1:9000\n"
               "Exit codes: 0 success, 1 a negative answer, 2 wrong usage, 3 failure.");
    bool isJson = false;
    std::function<ExitCode(const Output&)> action;

    std::vector<std::string> directories;
    CollectOptions collectOptions;
    ExplainOptions explainOptions;
    std::string before;
    std::string after;
    std::string adminUrl;
    std::string requestId;
    std::vector<std::string> logs;
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
    collectCommand->add_option("--out", collectOptions.out, "Directory for the bundle")->required();
    collectCommand->add_option("--previous", collectOptions.previous, "Directory of the bundle published before");
    collectCommand
        ->add_option("--revision", collectOptions.revision, "Revision; one more than the previous if not given")
        ->check(CLI::PositiveNumber);

    auto* diffCommand = addCommand("diff", "Show what differs between two bundles; exit 1 if anything does",
        [&](const Output& output) { return diff(before, after, output); });
    diffCommand->add_option("OLD", before, "Directory of a bundle")->required();
    diffCommand->add_option("NEW", after, "Directory of a bundle")->required();

    auto* explainCommand = addCommand("explain", "Show how a request would be routed",
        [&](const Output& output) { return explain(explainOptions, output); });
    explainCommand->add_option("--bundle", explainOptions.bundle, "Directory of the bundle")->required();
    explainCommand->add_option("--host-list", explainOptions.hostList, "File with the host list")->required();
    explainCommand->add_option("--organisation", explainOptions.organisation, "Organisation of the caller")->required();
    explainCommand->add_option("--method", explainOptions.method, "HTTP method")->capture_default_str();
    explainCommand->add_option("--path", explainOptions.path, "Path and query")->required();
    explainCommand->add_option("--body", explainOptions.body, "File with the request body");
    explainCommand->add_option("--chat", explainOptions.chat, "Name of the chat");

    auto* traceCommand
        = addCommand("trace", "Show the lines of one request out of several logs; exit 1 if there is none",
            [&](const Output& output) { return trace(requestId, logs, output); });
    traceCommand->add_option("ID", requestId, "Id of the request")->required();
    traceCommand->add_option("FILE", logs, "Logs of the hosts; standard input if none is given");

    auto* statusCommand = addCommand("status", "Show a daemon's view; exit 1 if it is not ready",
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
