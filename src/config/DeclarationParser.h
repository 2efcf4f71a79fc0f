#pragma once

#include "config/Configuration.h"
#include "config/Error.h"
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::config {

/// @brief Parses operators' TOML declarations into one configuration.
///
/// Files are added one at a time; finish() then checks the constraints that span files.
class DeclarationParser {
public:
    /// @brief Adds the declarations of one file; errors are collected until finish().
    /// @param text the TOML text
    /// @param file the name of the file, for error messages
    void add(std::string_view text, std::string_view file);

    /// @brief Checks for duplicates and unresolved references across all files; call once, after the last add().
    /// @return the configuration with revision 0, or every error found
    tl::expected<Configuration, Errors> finish();

private:
    Configuration m_configuration;
    Errors m_errors;
};

}
