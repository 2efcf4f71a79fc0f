#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace eelgrassford::ctl {

/// @brief Exit codes of the tool.
enum class ExitCode {
    Success = 0,
    /// What was asked for is not so: declarations with errors, a daemon that is not ready, bundles that differ.
    Negative = 1,
    Usage = 2,
    Failure = 3,
};

struct Output {
    std::ostream& out;
    std::ostream& err;
    bool isJson = false;
};

struct CollectOptions {
    std::vector<std::string> directories;
    std::string out;
    /// Directory of the bundle published before; empty for the first.
    std::string previous;
    /// 0 means one more than the previous revision.
    std::uint64_t revision = 0;
};

struct ExplainOptions {
    std::string bundle;
    std::string hostList;
    std::string organisation;
    std::string method = "POST";
    std::string path;
    /// File with the body; empty for none.
    std::string body;
    std::string chat;
};

/// @brief Validates declarations.
ExitCode check(const std::vector<std::string>& directories, const Output& output);
/// @brief Validates declarations and writes the bundle.
ExitCode collect(const CollectOptions& options, const Output& output);
/// @brief Shows what differs between two bundles.
ExitCode diff(const std::string& before, const std::string& after, const Output& output);
/// @brief Shows how a request would be routed by an idle fleet.
ExitCode explain(const ExplainOptions& options, const Output& output);
/// @brief Shows the lines of one request out of the logs of several hosts, in order of time.
/// @param files logs; standard input if there are none
ExitCode trace(const std::string& request, const std::vector<std::string>& files, const Output& output);
/// @brief Shows a daemon's view.
ExitCode status(const std::string& adminUrl, const Output& output);

}
