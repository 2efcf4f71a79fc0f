#include "telemetry/DecisionLog.h"

#include "telemetry/BoundedSink.h"
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace eelgrassford::telemetry {

namespace {

    constexpr const char* linePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
    /// Bytes buffered for standard output; enough for some seconds at the highest load.
    constexpr std::size_t pendingLimit = 512u << 10;
    constexpr std::size_t maxValueBytes = 1000;

    std::shared_ptr<BoundedSink>& boundedSink()
    {
        static std::shared_ptr<BoundedSink> sink;
        return sink;
    }

    bool needsNoQuotes(std::string_view value)
    {
        return !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
    }

    /// Quotes a value that contains separators, escapes quotes and backslashes, and replaces control characters by
    /// spaces. Cuts long values, which may quote bytes of unknown origin.
    std::string quote(std::string_view value)
    {
        value = value.substr(0, maxValueBytes);
        if (needsNoQuotes(value))
            return std::string(value);
        std::string text = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
        return text + "\"";
    }

    void write(spdlog::level::level_enum level, std::string_view event, Fields fields)
    {
        if (spdlog::should_log(level))
            spdlog::log(level, formatEvent(event, fields));
    }

}

Field::Field(std::string_view key, std::string_view value)
    : text(fmt::format("{}={}", key, quote(value)))
{
}

Field::Field(std::string_view key, double value)
    : text(fmt::format("{}={:.6g}", key, value))
{
}

Field::Field(std::string_view key, std::uint64_t value)
    : text(fmt::format("{}={}", key, value))
{
}

Field::Field(std::string_view key, int value)
    : text(fmt::format("{}={}", key, value))
{
}

std::string formatEvent(std::string_view event, Fields fields)
{
    std::string line = fmt::format("event={}", event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.text;
    }
    return line;
}

void startLogging(const std::string& level)
{
    auto logger = spdlog::stdout_logger_mt("eelgrassford");
    logger->set_pattern(linePattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void startBoundedLogging(const std::string& level)
{
    boundedSink() = std::make_shared<BoundedSink>(STDOUT_FILENO, pendingLimit);
    auto logger = std::make_shared<spdlog::logger>("eelgrassford", boundedSink());
    logger->set_pattern(linePattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::err);
    spdlog::set_default_logger(logger);
}

void flushLog() { spdlog::default_logger_raw()->flush(); }

std::uint64_t droppedLines() { return boundedSink() ? boundedSink()->droppedCount() : 0; }

void logDebug(std::string_view event, Fields fields) { write(spdlog::level::debug, event, fields); }
void logInfo(std::string_view event, Fields fields) { write(spdlog::level::info, event, fields); }
void logWarning(std::string_view event, Fields fields) { write(spdlog::level::warn, event, fields); }
void logError(std::string_view event, Fields fields) { write(spdlog::level::err, event, fields); }

}
