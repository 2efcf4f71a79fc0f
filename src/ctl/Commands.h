#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace eelgrassford::ctl {

/// @brief Exit codes of the tool.
enum class ExitCode {
    Success = 0,
    /// The command ran and its result is negative: invalid declarations, a daemon that is not ready, bundles that
    /// differ, a request that cannot be routed or has no log lines.
    Negative = 1,
    /// Invalid command line.
    Usage = 2,
    /// The command could not run to its end, for example because a file cannot be read or written.
    Failure = 3,
};

/// @brief Streams and format of the output of a command.
struct Output {
    std::ostream& out;
    std::ostream& err;
    /// Prints results as JSON rather than as text.
    bool isJson = false;
};

/// @brief Options of @ref collect.
struct CollectOptions {
    /// Directories whose .toml files are read, including those in subdirectories.
    std::vector<std::string> directories;
    /// Directory to which the bundle is written; created if missing.
    std::string outputDirectory;
    /// Directory of the bundle published last; empty if there is none.
    std::string previousBundle;
    /// Revision of the new bundle; 0 means the previous revision plus one.
    std::uint64_t revision = 0;
};

/// @brief Options of @ref explain: the request and the files that determine its route.
struct ExplainOptions {
    /// Directory of the bundle.
    std::string bundleDirectory;
    /// File with the host list.
    std::string hostListFile;
    /// Organisation that the caller belongs to.
    std::string organisation;
    /// HTTP method of the request.
    std::string method = "POST";
    /// Path of the request, with its query.
    std::string path;
    /// File with the request body; empty for a request without a body.
    std::string bodyFile;
    /// Value of the header Eelgrassford-Chat; empty to leave the header out.
    std::string chat;
};

/// @brief Validates the .toml declarations below directories and prints their errors or a summary.
/// @return Negative if there are errors
ExitCode check(const std::vector<std::string>& directories, const Output& output);
/// @brief Validates declarations and writes them as a bundle that can be published.
/// @return Negative if there are errors, the previous manifest cannot be read or the revision is not greater than the
/// previous one; Failure if the bundle cannot be written
ExitCode collect(const CollectOptions& options, const Output& output);
/// @brief Prints the differences between two bundles.
/// @param oldBundle directory of the earlier bundle
/// @param newBundle directory of the later bundle
/// @return Negative if the bundles differ; Failure if one cannot be read
ExitCode diff(const std::string& oldBundle, const std::string& newBundle, const Output& output);
/// @brief Prints how the daemons would route a request if no runner had any load.
/// @return Negative if the request is refused or no host serves it; Failure if a file cannot be read or is invalid
ExitCode explain(const ExplainOptions& options, const Output& output);
/// @brief Prints the log lines of one request from the logs of several hosts, ordered by time.
/// @param request id of the request
/// @param files log files; standard input is read if there are none
/// @return Negative if no line matches; Failure if a file cannot be read
ExitCode trace(const std::string& request, const std::vector<std::string>& files, const Output& output);
/// @brief Prints the status that a daemon reports.
/// @param adminUrl base URL of the daemon's admin address
/// @return Negative if the daemon is not ready; Failure if it does not answer with JSON
ExitCode status(const std::string& adminUrl, const Output& output);

}
