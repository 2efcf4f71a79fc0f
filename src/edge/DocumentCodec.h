#pragma once

#include "routing/Configuration.h"
#include "runners/Runner.h"
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::edge {

/// @brief A published document that cannot be read.
struct DocumentError {
    std::string what;
};

/// @brief Reads what operators and runners publish.
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    virtual bool isConfigurationKey(std::string_view key) const = 0;
    virtual bool isRunnerKey(std::string_view key) const = 0;
    virtual tl::expected<routing::Configuration, DocumentError> decodeConfiguration(
        std::string_view document) const = 0;
    /// @brief A runner's entry; an error for one that another writer spoiled.
    virtual tl::expected<runners::RunnerEntry, DocumentError> decodeRunner(
        std::string_view key, std::string_view document) const = 0;
};

}
