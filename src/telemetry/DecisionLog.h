#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace eelgrassford::telemetry {

/// @brief One key=value pair of a log line; the value is quoted if it contains separators or is empty.
struct Field {
    Field(std::string_view key, std::string_view value);
    Field(std::string_view key, const char* value)
        : Field(key, std::string_view(value))
    {
    }
    Field(std::string_view key, const std::string& value)
        : Field(key, std::string_view(value))
    {
    }
    Field(std::string_view key, bool value)
        : Field(key, std::string_view(value ? "true" : "false"))
    {
    }
    Field(std::string_view key, double value);
    Field(std::string_view key, std::uint64_t value);
    Field(std::string_view key, std::uint32_t value)
        : Field(key, static_cast<std::uint64_t>(value))
    {
    }
    Field(std::string_view key, int value);

    std::string text;
};

using Fields = std::initializer_list<Field>;

/// @brief Formats an event as `event=NAME key=value ...` on one line.
std::string formatEvent(std::string_view event, Fields fields);

/// @brief Sets up logging to standard output.
/// @param level "debug", "info", "warn" or "error"
void startLogging(const std::string& level);

/// @brief Sets up non-blocking logging to standard output: lines are buffered up to a limit until flushLog().
/// @param level "debug", "info", "warn" or "error"
void startBoundedLogging(const std::string& level);
/// @brief Writes as many buffered lines as standard output accepts without blocking.
void flushLog();
/// @brief Number of lines dropped because the buffer was full.
std::uint64_t droppedLines();

void logDebug(std::string_view event, Fields fields);
void logInfo(std::string_view event, Fields fields);
void logWarning(std::string_view event, Fields fields);
void logError(std::string_view event, Fields fields);

}
