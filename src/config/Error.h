#pragma once

#include <string>
#include <vector>

namespace eelgrassford::config {

/// @brief Codes of configuration errors; docs/ERRORS.md lists each with its remedy.
enum class ErrorCode {
    UnreadableFile = 101,
    Syntax = 102,
    UnknownKey = 103,
    WrongType = 104,
    MissingKey = 105,
    OutOfRange = 106,
    Duplicate = 107,
    UnknownReference = 108,
    RevisionNotGreater = 109,
    HashMismatch = 110,
    MalformedBundle = 111,
    EntityTooLarge = 112,
};

/// @brief An error in a declaration or bundle, with its location.
struct Error {
    ErrorCode code;
    /// File and line, or the key of a bundle part.
    std::string where;
    /// Description of the error.
    std::string what;

    /// @brief One line: `[config.107] FILE:LINE: message`.
    std::string message() const
    {
        return "[config." + std::to_string(static_cast<int>(code)) + "] " + where + ": " + what;
    }
};

using Errors = std::vector<Error>;

}
