#pragma once

#include "config/Configuration.h"
#include "config/Error.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::config {

/// @brief Names one revision: its number, the hash over its content, and the hashes of its parts.
struct Manifest {
    Revision revision = 0;
    std::string hash;
    std::vector<std::string> parts;
    bool operator==(const Manifest&) const = default;
};

/// @brief A configuration as it is published: a manifest and parts addressed by the hash of their content.
struct Bundle {
    Manifest manifest;
    std::map<std::string, std::string> parts;
};

/// Largest part in bytes; the configuration service holds values up to a megabyte.
inline constexpr std::size_t maximumPartSize = std::size_t { 900 } * 1000;

using PartLookup = std::function<std::optional<std::string>(const std::string& hash)>;

/// @brief Splits a configuration into parts. Unchanged stretches of entities keep their part's hash.
/// @return the bundle, or EntityTooLarge where one entity alone exceeds @a partSize
tl::expected<Bundle, Error> makeBundle(const Configuration& configuration, std::size_t partSize = maximumPartSize);

/// @brief Puts a configuration together and checks every hash.
/// @param manifest the published manifest
/// @param lookup returns a part's text by hash, or nothing
tl::expected<Configuration, Error> assemble(const Manifest& manifest, const PartLookup& lookup);

/// @brief Writes a manifest as JSON text.
std::string serialize(const Manifest& manifest);

/// @brief Reads a manifest; rejects anything that is not one.
tl::expected<Manifest, Error> parseManifest(std::string_view text);

/// @brief One line a difference: `+ organisation NAME`, `- ...`, `~ ...`.
std::vector<std::string> differences(const Configuration& before, const Configuration& after);

}
