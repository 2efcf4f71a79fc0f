#include "config/Bundle.h"

#include "common/Hash.h"
#include "config/Codec.h"
#include <algorithm>

namespace eelgrassford::config {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view kindKey = "kind";
    constexpr std::string_view entityKey = "entity";

    template <typename Entities>
    void appendEntities(std::vector<std::string>& lines, std::string_view kind, const Entities& entities)
    {
        for (const auto& entity : entities)
            lines.push_back(Json { { kindKey, kind }, { entityKey, entity } }.dump());
    }

    std::vector<std::string> entityLines(const Configuration& configuration)
    {
        std::vector<std::string> lines;
        appendEntities(lines, "service", configuration.services);
        appendEntities(lines, "organisation", configuration.organisations);
        appendEntities(lines, "model", configuration.models);
        appendEntities(lines, "rule", configuration.rules);
        return lines;
    }

    std::string hashOfParts(const std::vector<std::string>& parts)
    {
        std::string all;
        for (const auto& part : parts)
            all += part + "\n";
        return contentHash(all);
    }

    /// Whether a part ends after this line. Depends only on the line itself, so that a change moves few boundaries.
    bool isBoundary(std::string_view line)
    {
        constexpr std::uint64_t meanLinesPerPart = 32;
        return hash64(line) % meanLinesPerPart == 0;
    }

    void readEntity(const Json& line, Configuration& configuration)
    {
        const auto kind = line.at(kindKey).get<std::string>();
        const auto& entity = line.at(entityKey);
        if (kind == "service")
            configuration.services.push_back(entity.get<Service>());
        else if (kind == "organisation")
            configuration.organisations.push_back(entity.get<Organisation>());
        else if (kind == "model")
            configuration.models.push_back(entity.get<Model>());
        else if (kind == "rule")
            configuration.rules.push_back(entity.get<Rule>());
    }

    std::string describeEntity(const Json& line)
    {
        const auto& entity = line.at(entityKey);
        const auto kind = line.at(kindKey).get<std::string>();
        if (kind == "rule") {
            return kind + " " + entity.at("service").get<std::string>() + " " + entity.at("method").get<std::string>()
                + " " + entity.at("path").get<std::string>();
        }
        return kind + " " + entity.at("name").get<std::string>();
    }

    std::map<std::string, std::string> linesByEntity(const Configuration& configuration)
    {
        std::map<std::string, std::string> lines;
        for (auto& line : entityLines(configuration))
            lines.emplace(describeEntity(Json::parse(line)), line);
        return lines;
    }

}

tl::expected<Bundle, Error> makeBundle(const Configuration& configuration, std::size_t maxPartBytes)
{
    Bundle bundle;
    bundle.manifest.revision = configuration.revision;
    std::string part;
    auto flush = [&] {
        if (part.empty())
            return;
        const auto hash = contentHash(part);
        bundle.manifest.parts.push_back(hash);
        bundle.parts[hash] = std::move(part);
        part.clear();
    };
    for (const auto& line : entityLines(configuration)) {
        if (line.size() + 1 > maxPartBytes)
            return tl::make_unexpected(Error { ErrorCode::EntityTooLarge, describeEntity(Json::parse(line)),
                "the entity is larger than the maximum size of a part" });
        if (part.size() + line.size() + 1 > maxPartBytes)
            flush();
        part += line + "\n";
        if (isBoundary(line))
            flush();
    }
    flush();
    bundle.manifest.hash = hashOfParts(bundle.manifest.parts);
    return bundle;
}

tl::expected<Configuration, Error> assemble(const Manifest& manifest, const PartLookup& lookup)
{
    if (hashOfParts(manifest.parts) != manifest.hash)
        return tl::make_unexpected(
            Error { ErrorCode::HashMismatch, "manifest", "the hash does not match the list of parts" });
    Configuration configuration;
    configuration.revision = manifest.revision;
    for (const auto& hash : manifest.parts) {
        const auto text = lookup(hash);
        if (!text)
            return tl::make_unexpected(Error { ErrorCode::MalformedBundle, "part " + hash, "missing" });
        if (contentHash(*text) != hash)
            return tl::make_unexpected(
                Error { ErrorCode::HashMismatch, "part " + hash, "the content does not match its hash" });
        try {
            for (std::size_t begin = 0; begin < text->size();) {
                const auto end = std::min(text->find('\n', begin), text->size());
                readEntity(Json::parse(text->begin() + static_cast<std::ptrdiff_t>(begin),
                               text->begin() + static_cast<std::ptrdiff_t>(end)),
                    configuration);
                begin = end + 1;
            }
        } catch (const Json::exception& error) {
            return tl::make_unexpected(Error { ErrorCode::MalformedBundle, "part " + hash, error.what() });
        }
    }
    return configuration;
}

std::string serialize(const Manifest& manifest)
{
    return Json { { "revision", manifest.revision }, { "hash", manifest.hash }, { "parts", manifest.parts } }.dump();
}

tl::expected<Manifest, Error> parseManifest(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        Manifest manifest { json.at("revision").get<Revision>(), json.at("hash").get<std::string>(),
            json.at("parts").get<std::vector<std::string>>() };
        if (!json.at("revision").is_number_unsigned() || manifest.revision == 0)
            return tl::make_unexpected(
                Error { ErrorCode::MalformedBundle, "manifest", "'revision' must be a positive whole number" });
        return manifest;
    } catch (const Json::exception& error) {
        return tl::make_unexpected(Error { ErrorCode::MalformedBundle, "manifest", error.what() });
    }
}

std::vector<std::string> differences(const Configuration& before, const Configuration& after)
{
    const auto old = linesByEntity(before);
    const auto current = linesByEntity(after);
    std::vector<std::string> lines;
    for (const auto& [name, line] : old) {
        const auto found = current.find(name);
        if (found == current.end())
            lines.push_back("- " + name);
        else if (found->second != line)
            lines.push_back("~ " + name);
    }
    for (const auto& [name, line] : current) {
        if (!old.contains(name))
            lines.push_back("+ " + name);
    }
    std::sort(lines.begin(), lines.end(),
        [](const auto& left, const auto& right) { return left.substr(2) < right.substr(2); });
    return lines;
}

}
