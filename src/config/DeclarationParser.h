#pragma once

#include "config/Configuration.h"
#include "config/Error.h"
#include <string_view>
#include <tl/expected.hpp>

namespace eelgrassford::config {

/// @brief Reads operators' TOML declarations into one configuration.
///
/// Files are added one by one; finish() checks what concerns all of them.
class DeclarationParser {
public:
    /// @brief Adds the declarations of one file.
    /// @param text the TOML text
    /// @param file the file's name, for messages
    void add(std::string_view text, std::string_view file);

    /// @brief Checks duplicates and references over all files.
    /// @return the configuration with revision 0, or every error found
    tl::expected<Configuration, Errors> finish();

private:
    Configuration m_configuration;
    Errors m_errors;
};

}
