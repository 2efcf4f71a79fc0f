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

/// @brief Describes one revision of the configuration by content hashes.
struct Manifest {
    Revision revision = 0;
    /// Hash over the list of part hashes; identifies the content of the revision.
    std::string hash;
    /// Hashes of the parts, in order.
    std::vector<std::string> parts;
    bool operator==(const Manifest&) const = default;
};

/// @brief A configuration in its published form: a manifest and content-addressed parts.
struct Bundle {
    Manifest manifest;
    /// Text of each part, keyed by its hash.
    std::map<std::string, std::string> parts;
};

/// Default limit for the size of a part in bytes; the configuration service stores values of up to a megabyte.
inline constexpr std::size_t maximumPartBytes = std::size_t { 900 } * 1000;

/// Returns the text of a part by its hash, or nothing if the part is not available.
using PartLookup = std::function<std::optional<std::string>(const std::string& hash)>;

/// @brief Splits a configuration into parts.
///
/// Part boundaries depend on content, so that a small change alters few part hashes.
/// @param configuration the configuration to publish
/// @param maxPartBytes upper limit for the size of a part, in bytes
/// @return the bundle, or ErrorCode::EntityTooLarge if a single entity exceeds @a maxPartBytes
tl::expected<Bundle, Error> makeBundle(const Configuration& configuration, std::size_t maxPartBytes = maximumPartBytes);

/// @brief Reassembles a configuration from its parts and verifies every hash.
/// @param manifest the published manifest
/// @param lookup source of the parts
/// @return the configuration, or ErrorCode::HashMismatch or ErrorCode::MalformedBundle
tl::expected<Configuration, Error> assemble(const Manifest& manifest, const PartLookup& lookup);

/// @brief Serializes a manifest as JSON.
std::string serialize(const Manifest& manifest);

/// @brief Parses a manifest from JSON.
/// @return the manifest, or ErrorCode::MalformedBundle
tl::expected<Manifest, Error> parseManifest(std::string_view text);

/// @brief Lists the entities that differ, one line each: `+` added, `-` removed, `~` changed, as in
/// `+ organisation NAME`.
std::vector<std::string> differences(const Configuration& before, const Configuration& after);

}
