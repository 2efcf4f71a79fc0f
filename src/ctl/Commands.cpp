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

    /// Parses every .toml file below the directories, in the order of their paths, and returns either the
    /// configuration or all errors.
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

    Json countsAsJson(const config::Configuration& configuration)
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

    /// Hosts that serve the destination of the request.
    std::vector<membership::Host> hostsServing(const membership::HostList& list, const gateway::CallerRequest& request)
    {
        std::vector<membership::Host> hosts;
        for (const auto& host : list.hosts) {
            const auto& names = request.isModel ? host.models : host.services;
            if (std::find(names.begin(), names.end(), request.destination) != names.end())
                hosts.push_back(host);
        }
        return hosts;
    }

    /// Ids of the first runners that placement prefers for a chat, best first, with all runners idle.
    std::vector<std::string> preferredRunners(const std::vector<membership::Host>& hosts, const membership::View& view,
        const config::Model& model, std::uint64_t chat)
    {
        constexpr std::size_t maxCandidates = 5;
        placement::RunnerPool::Options options;
        options.loadBound = model.loadBound;
        placement::RunnerPool pool(options, placement::makeStrategy("rendezvous", {}));
        pool.update(hosts, view, TimePoint {});
        std::vector<std::string> order;
        while (order.size() < std::min(maxCandidates, hosts.size())) {
            const auto decision = pool.choose({ chat, 0, 0, 0 }, order, TimePoint {});
            if (decision.runner == placement::noRunner)
                break;
            order.push_back(pool.idOf(decision.runner));
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
        output.out << Json { { "valid", true }, { "counts", countsAsJson(*configuration) } }.dump() << "\n";
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
    if (!options.previousBundle.empty()) {
        const auto manifest = readManifest(options.previousBundle);
        if (!manifest) {
            printErrors({ manifest.error() }, output);
            return ExitCode::Negative;
        }
        previous = manifest->revision;
    }
    configuration->revision = options.revision > 0 ? options.revision : previous + 1;
    if (configuration->revision <= previous) {
        printErrors({ { config::ErrorCode::RevisionNotGreater, options.previousBundle,
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
    fs::create_directories(fs::path(options.outputDirectory) / "parts", error);
    bool isWritten = !error;
    for (const auto& [hash, text] : bundle->parts)
        isWritten = isWritten && writeFile(fs::path(options.outputDirectory) / "parts" / hash, text);
    // Written last, so that the manifest never names a missing part.
    isWritten
        = isWritten && writeFile(fs::path(options.outputDirectory) / "manifest", config::serialize(bundle->manifest));
    if (!isWritten)
        return fail(output, "cannot write to " + options.outputDirectory);
    if (output.isJson) {
        output.out << Json {
            { "revision", bundle->manifest.revision }, { "hash", bundle->manifest.hash },
            { "parts", bundle->parts.size() }, { "counts", countsAsJson(*configuration) }
        }.dump() << "\n";
    } else {
        output.out << "collected revision " << bundle->manifest.revision << ", hash "
                   << bundle->manifest.hash.substr(0, 12) << ": " << describeCounts(*configuration) << "\n";
    }
    return ExitCode::Success;
}

ExitCode diff(const std::string& oldBundle, const std::string& newBundle, const Output& output)
{
    const auto before = readBundle(oldBundle);
    const auto after = readBundle(newBundle);
    for (const auto* configuration : { &before, &after }) {
        if (!*configuration) {
            printErrors({ configuration->error() }, output);
            return ExitCode::Failure;
        }
    }
    const auto lines = config::differences(*before, *after);
    if (output.isJson) {
        output.out << Json {
            { "before", before->revision }, { "after", after->revision }, { "differences", lines }
        }.dump() << "\n";
    } else {
        for (const auto& line : lines)
            output.out << line << "\n";
    }
    return lines.empty() ? ExitCode::Success : ExitCode::Negative;
}

ExitCode explain(const ExplainOptions& options, const Output& output)
{
    const auto configuration = readBundle(options.bundleDirectory);
    if (!configuration) {
        printErrors({ configuration.error() }, output);
        return ExitCode::Failure;
    }
    const auto hostListText = readFile(options.hostListFile);
    const auto hostList = hostListText ? membership::parseHostList(*hostListText)
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
    if (!options.bodyFile.empty()) {
        const auto body = readFile(options.bodyFile);
        if (!body)
            return fail(output, options.bodyFile + " cannot be read");
        http.body = *body;
    }
    const auto request = gateway::readCallerRequest(http, *configuration);
    if (!request) {
        output.out << gateway::toResponse(request.error()).body << "\n";
        return ExitCode::Negative;
    }
    membership::View view;
    view.apply(*hostList, TimePoint {});
    const auto hosts = hostsServing(*hostList, *request);
    const auto* model = configuration->findModel(request->destination);
    const auto candidates = preferredRunners(hosts, view, model ? *model : config::Model {}, request->chat.chat);
    if (output.isJson) {
        output.out << Json {
            { "organisation", request->organisation }, { "destination", request->destination },
            { "idempotent", request->isIdempotent }, { "timeout_seconds", request->timeoutSeconds },
            { "retries", request->retries }, { "chat", toHex(request->chat.chat) },
            { "prompt_tokens", request->chat.promptTokens }, { "reusable_tokens", request->chat.reusableTokens },
            { "candidates", candidates }
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
    for (std::size_t i = 0; i < candidates.size(); ++i)
        output.out << (i > 0 ? ", " : "") << candidates[i];
    output.out << (candidates.empty() ? "none: no listed host serves it\n"
                                      : "\n               the first one whose load is within its bound is taken\n");
    return candidates.empty() ? ExitCode::Negative : ExitCode::Success;
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
