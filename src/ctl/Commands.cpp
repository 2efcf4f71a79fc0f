#include "ctl/Commands.h"

#include "common/Hash.h"
#include "config/Bundle.h"
#include "config/DeclarationParser.h"
#include "gateway/CallerRequest.h"
#include "placement/RunnerPool.h"
#include "upstream/CurlClient.h"
#include <algorithm>
#include <asio.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace eelgrassford::ctl {

namespace {

    namespace fs = std::filesystem;
    using Json = nlohmann::json;

    std::optional<std::string> readFile(const fs::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    bool writeFile(const fs::path& path, std::string_view text)
    {
        std::ofstream file(path, std::ios::binary | std::ios::trunc);
        file.write(text.data(), static_cast<std::streamsize>(text.size()));
        file.close();
        return !file.fail();
    }

    /// Reads every .toml file below the directories, in the order of their names.
    tl::expected<config::Configuration, config::Errors> parseDirectories(const std::vector<std::string>& directories)
    {
        std::vector<fs::path> files;
        config::Errors errors;
        for (const auto& directory : directories) {
            std::error_code error;
            for (fs::recursive_directory_iterator entry(directory, error), end; !error && entry != end;
                 entry.increment(error)) {
                if (entry->is_regular_file() && entry->path().extension() == ".toml")
                    files.push_back(entry->path());
            }
            if (error)
                errors.push_back({ config::ErrorCode::UnreadableFile, directory, error.message() });
        }
        std::sort(files.begin(), files.end());
        if (files.empty() && errors.empty())
            errors.push_back({ config::ErrorCode::UnreadableFile, directories.empty() ? "" : directories.front(),
                "no .toml files found" });
        config::DeclarationParser parser;
        for (const auto& file : files) {
            if (const auto text = readFile(file))
                parser.add(*text, file.string());
            else
                errors.push_back({ config::ErrorCode::UnreadableFile, file.string(), "cannot be read" });
        }
        auto configuration = parser.finish();
        if (!configuration)
            errors.insert(errors.end(), configuration.error().begin(), configuration.error().end());
        if (!errors.empty())
            return tl::make_unexpected(std::move(errors));
        return configuration;
    }

    void printErrors(const config::Errors& errors, const Output& output)
    {
        if (output.isJson) {
            Json list = Json::array();
            for (const auto& error : errors)
                list.push_back(
                    { { "code", static_cast<int>(error.code) }, { "where", error.where }, { "what", error.what } });
            output.out << Json { { "errors", list } }.dump() << "\n";
            return;
        }
        for (const auto& error : errors)
            output.err << error.message() << "\n";
    }

    tl::expected<config::Manifest, config::Error> readManifest(const fs::path& directory)
    {
        const auto text = readFile(directory / "manifest");
        if (!text)
            return tl::make_unexpected(config::Error {
                config::ErrorCode::UnreadableFile, (directory / "manifest").string(), "cannot be read" });
        return config::parseManifest(*text);
    }

    tl::expected<config::Configuration, config::Error> readBundle(const fs::path& directory)
    {
        const auto manifest = readManifest(directory);
        if (!manifest)
            return tl::make_unexpected(manifest.error());
        return config::assemble(
            *manifest, [&](const std::string& hash) { return readFile(directory / "parts" / hash); });
    }

    Json countsOf(const config::Configuration& configuration)
    {
        return { { "services", configuration.services.size() }, { "organisations", configuration.organisations.size() },
            { "models", configuration.models.size() }, { "rules", configuration.rules.size() } };
    }

    std::string describeCounts(const config::Configuration& configuration)
    {
        std::ostringstream text;
        text << configuration.services.size() << " services, " << configuration.organisations.size()
             << " organisations, " << configuration.models.size() << " models, " << configuration.rules.size()
             << " rules";
        return text.str();
    }

    /// Hosts that serve a destination.
    std::vector<membership::Host> hostsOf(const membership::HostList& list, const gateway::CallerRequest& request)
    {
        std::vector<membership::Host> hosts;
        for (const auto& host : list.hosts) {
            const auto& names = request.isModel ? host.models : host.services;
            if (std::find(names.begin(), names.end(), request.destination) != names.end())
                hosts.push_back(host);
        }
        return hosts;
    }

    /// The order in which a chat tries the runners.
    std::vector<std::string> candidatesOf(const std::vector<membership::Host>& hosts, const membership::View& view,
        const config::Model& model, std::uint64_t chat)
    {
        constexpr std::size_t shown = 5;
        placement::RunnerPool::Options options;
        options.loadBound = model.loadBound;
        placement::RunnerPool fleet(options, placement::makeStrategy("rendezvous", {}));
        fleet.update(hosts, view, TimePoint {});
        std::vector<std::string> order;
        while (order.size() < std::min(shown, hosts.size())) {
            const auto decision = fleet.choose({ chat, 0, 0, 0 }, order, TimePoint {});
            if (decision.runner == placement::noRunner)
                break;
            order.push_back(fleet.idOf(decision.runner));
        }
        return order;
    }

    ExitCode fail(const Output& output, const std::string& message)
    {
        output.err << "eelgrassctl: " << message << "\n";
        return ExitCode::Failure;
    }

}

ExitCode check(const std::vector<std::string>& directories, const Output& output)
{
    const auto configuration = parseDirectories(directories);
    if (!configuration) {
        printErrors(configuration.error(), output);
        return ExitCode::Negative;
    }
    if (output.isJson)
        output.out << Json { { "valid", true }, { "counts", countsOf(*configuration) } }.dump() << "\n";
    else
        output.out << "valid: " << describeCounts(*configuration) << "\n";
    return ExitCode::Success;
}

ExitCode collect(const CollectOptions& options, const Output& output)
{
    auto configuration = parseDirectories(options.directories);
    if (!configuration) {
        printErrors(configuration.error(), output);
        return ExitCode::Negative;
    }
    config::Revision previous = 0;
    if (!options.previous.empty()) {
        const auto manifest = readManifest(options.previous);
        if (!manifest) {
            printErrors({ manifest.error() }, output);
            return ExitCode::Negative;
        }
        previous = manifest->revision;
    }
    configuration->revision = options.revision > 0 ? options.revision : previous + 1;
    if (configuration->revision <= previous) {
        printErrors({ { config::ErrorCode::RevisionNotGreater, options.previous,
                        "revision " + std::to_string(configuration->revision) + " is not greater than "
                            + std::to_string(previous) } },
            output);
        return ExitCode::Negative;
    }
    const auto bundle = config::makeBundle(*configuration);
    if (!bundle) {
        printErrors({ bundle.error() }, output);
        return ExitCode::Negative;
    }
    std::error_code error;
    fs::create_directories(fs::path(options.out) / "parts", error);
    bool isWritten = !error;
    for (const auto& [hash, text] : bundle->parts)
        isWritten = isWritten && writeFile(fs::path(options.out) / "parts" / hash, text);
    // The manifest last, so that it never names a part that is not there.
    isWritten = isWritten && writeFile(fs::path(options.out) / "manifest", config::serialize(bundle->manifest));
    if (!isWritten)
        return fail(output, "cannot write to " + options.out);
    if (output.isJson) {
        output.out << Json {
            { "revision", bundle->manifest.revision }, { "hash", bundle->manifest.hash },
            { "parts", bundle->parts.size() }, { "counts", countsOf(*configuration) }
        }.dump() << "\n";
    } else {
        output.out << "collected revision " << bundle->manifest.revision << ", hash "
                   << bundle->manifest.hash.substr(0, 12) << ": " << describeCounts(*configuration) << "\n";
    }
    return ExitCode::Success;
}

ExitCode diff(const std::string& before, const std::string& after, const Output& output)
{
    const auto old = readBundle(before);
    const auto current = readBundle(after);
    for (const auto* side : { &old, &current }) {
        if (!*side) {
            printErrors({ side->error() }, output);
            return ExitCode::Failure;
        }
    }
    const auto lines = config::differences(*old, *current);
    if (output.isJson) {
        output.out << Json {
            { "before", old->revision }, { "after", current->revision }, { "differences", lines }
        }.dump() << "\n";
    } else {
        for (const auto& line : lines)
            output.out << line << "\n";
    }
    return lines.empty() ? ExitCode::Success : ExitCode::Negative;
}

ExitCode explain(const ExplainOptions& options, const Output& output)
{
    const auto configuration = readBundle(options.bundle);
    if (!configuration) {
        printErrors({ configuration.error() }, output);
        return ExitCode::Failure;
    }
    const auto hostText = readFile(options.hostList);
    const auto hostList = hostText ? membership::parseHostList(*hostText)
                                   : tl::expected<membership::HostList, membership::HostListError>(
                                       tl::make_unexpected(membership::HostListError { "cannot be read" }));
    if (!hostList)
        return fail(output, hostList.error().message());
    gateway::HttpRequest http;
    http.method = options.method;
    http.target = options.path;
    http.headers.emplace_back("Eelgrassford-Organisation", options.organisation);
    if (!options.chat.empty())
        http.headers.emplace_back("Eelgrassford-Chat", options.chat);
    if (!options.body.empty()) {
        const auto body = readFile(options.body);
        if (!body)
            return fail(output, options.body + " cannot be read");
        http.body = *body;
    }
    const auto request = gateway::readCallerRequest(http, *configuration);
    if (!request) {
        output.out << gateway::toResponse(request.error()).body << "\n";
        return ExitCode::Negative;
    }
    membership::View view;
    view.apply(*hostList, TimePoint {});
    const auto hosts = hostsOf(*hostList, *request);
    const auto* model = configuration->findModel(request->destination);
    const auto order = candidatesOf(hosts, view, model ? *model : config::Model {}, request->chat.chat);
    if (output.isJson) {
        output.out << Json {
            { "organisation", request->organisation }, { "destination", request->destination },
            { "idempotent", request->isIdempotent }, { "timeout_seconds", request->timeoutSeconds },
            { "retries", request->retries }, { "chat", toHex(request->chat.chat) },
            { "prompt_tokens", request->chat.promptTokens }, { "reusable_tokens", request->chat.reusableTokens },
            { "candidates", order }
        }.dump() << "\n";
        return ExitCode::Success;
    }
    output.out << "organisation   " << request->organisation << "\n"
               << "destination    " << request->destination << (request->isModel ? " (model)" : " (service)") << "\n"
               << "idempotent     " << (request->isIdempotent ? "yes: may be retried" : "no: runs at most once") << "\n"
               << "timeout        " << request->timeoutSeconds << " s, " << request->retries << " retries\n";
    if (request->isModel)
        output.out << "chat           " << toHex(request->chat.chat) << ", " << request->chat.promptTokens
                   << " prompt tokens, about " << request->chat.reusableTokens << " reusable\n";
    output.out << "candidates     ";
    for (std::size_t i = 0; i < order.size(); ++i)
        output.out << (i > 0 ? ", " : "") << order[i];
    output.out << (order.empty() ? "none: no listed host serves it\n"
                                 : "\n               the first one whose load is within its bound is taken\n");
    return order.empty() ? ExitCode::Negative : ExitCode::Success;
}

ExitCode status(const std::string& adminUrl, const Output& output)
{
    asio::io_context context;
    upstream::CurlClient client(context);
    upstream::Call call;
    call.url = adminUrl + "/admin/status";
    call.timeout = std::chrono::seconds(5);
    std::string body;
    std::string detail = "no answer";
    client.fetch(call, [&](const upstream::CallResult& result, std::uint16_t code, const std::string& text) {
        detail = result.detail + ", status " + std::to_string(code);
        if (result.end == upstream::CallEnd::Complete && code == 200)
            body = text;
    });
    context.run();
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return fail(output, "no status from " + adminUrl + ": " + detail);
    const bool isReady = json.value("ready", false);
    if (output.isJson) {
        output.out << body << "\n";
        return isReady ? ExitCode::Success : ExitCode::Negative;
    }
    const auto& configuration = json["configuration"];
    output.out << json["host"].get<std::string>() << " in " << json["data_centre"].get<std::string>() << ": "
               << (isReady ? "ready" : "NOT READY") << ", up " << std::fixed << std::setprecision(0)
               << json["uptime_seconds"].get<double>() << " s\n"
               << "configuration  revision " << configuration["revision"] << ", confirmed " << std::setprecision(1)
               << configuration["age_seconds"].get<double>() << " s ago\n"
               << "host list      revision " << json["host_list"]["revision"] << "\n"
               << "peers          " << json["peers"].size() << " connected\n"
               << "claims         " << (json["claims"]["ready"].get<bool>() ? "granting" : "ABSTAINING") << ", "
               << json["claims"]["grants"] << " grants\n"
               << "requests       " << json["requests"]["running"] << " running, " << json["requests"]["queued"]
               << " queued\n";
    for (const auto& model : json.value("models", Json::array())) {
        output.out << "model          " << model["name"].get<std::string>() << ": " << model["runners"].size()
                   << " runners, mean load " << std::setprecision(1) << model["mean_load"].get<double>() << ", skew "
                   << std::setprecision(2) << model["skew"].get<double>() << "\n";
    }
    for (const auto& host : json.value("hosts", Json::array())) {
        if (host["state"] != "live")
            output.out << "host           " << host["id"].get<std::string>() << " is "
                       << host["state"].get<std::string>() << "\n";
    }
    return isReady ? ExitCode::Success : ExitCode::Negative;
}

}
