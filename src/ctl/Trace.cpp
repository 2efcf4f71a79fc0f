#include "ctl/Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace eelgrassford::ctl {

namespace {

    /// A log line with its sort key and the file that it comes from.
    struct LogLine {
        std::string time;
        std::string file;
        std::string text;
    };

    /// Value of a key=value field whose value contains no spaces; empty if the line has no such field.
    std::string fieldValue(const std::string& line, const std::string& key)
    {
        const auto padded = " " + line;
        const auto position = padded.find(" " + key + "=");
        if (position == std::string::npos)
            return {};
        const auto begin = position + key.size() + 2;
        return padded.substr(begin, padded.find(' ', begin) - begin);
    }

    /// Appends the lines that have the request id.
    void collectLines(
        std::istream& input, const std::string& file, const std::string& request, std::vector<LogLine>& lines)
    {
        std::string text;
        while (std::getline(input, text)) {
            if (fieldValue(text, "request") == request)
                lines.push_back({ fieldValue(text, "time"), file, text });
        }
    }

}

ExitCode trace(const std::string& request, const std::vector<std::string>& files, const Output& output)
{
    std::vector<LogLine> lines;
    if (files.empty())
        collectLines(std::cin, "-", request, lines);
    for (const auto& file : files) {
        std::ifstream input(file);
        if (!input) {
            output.err << "eelgrassctl: cannot read " << file << "\n";
            return ExitCode::Failure;
        }
        collectLines(input, file, request, lines);
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
    auto document = nlohmann::json::array();
    for (const auto& line : lines) {
        if (output.isJson)
            document.push_back({ { "time", line.time }, { "file", line.file }, { "line", line.text } });
        else
            output.out << line.file << ' ' << line.text << '\n';
    }
    if (output.isJson)
        output.out << document.dump(2) << '\n';
    return lines.empty() ? ExitCode::Negative : ExitCode::Success;
}

}
