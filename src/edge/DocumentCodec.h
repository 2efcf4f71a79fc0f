#pragma once

#include "routing/Configuration.h"
#include "runners/Runner.h"
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::edge {

/// @brief Reason why a published document cannot be decoded.
struct DocumentError {
    std::string what;
};

/// @brief Decodes the documents that operators and runners publish in the store.
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    virtual std::string_view configurationKey() const = 0;
    bool isConfigurationKey(std::string_view key) const { return key == configurationKey(); }
    virtual bool isRunnerKey(std::string_view key) const = 0;
    /// @brief The data centre that a key takes out of service while the store holds it; empty for other keys.
    virtual std::optional<std::string> evacuatedDataCentre(std::string_view key) const = 0;
    virtual tl::expected<routing::Configuration, DocumentError> decodeConfiguration(
        std::string_view document) const = 0;
    /// @brief Decodes the entry of a runner.
    /// @return an error if the document is malformed, as after an overwrite by another writer
    virtual tl::expected<runners::RunnerEntry, DocumentError> decodeRunner(
        std::string_view key, std::string_view document) const = 0;
    /// @brief Compares the states that two documents of a key describe.
    /// @return unordered if the documents do not say which state is later
    virtual std::partial_ordering compareStates(
        std::string_view key, std::string_view left, std::string_view right) const = 0;
};

}
