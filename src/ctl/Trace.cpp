#include "ctl/Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace eelgrassford::ctl {

namespace {

    struct Line {
        std::string time;
        std::string file;
        std::string text;
    };

    /// Value of a field that has no blanks; empty if the line lacks it.
    std::string fieldOf(const std::string& line, const std::string& key)
    {
        const auto padded = " " + line;
        const auto at = padded.find(" " + key + "=");
        if (at == std::string::npos)
            return {};
        const auto begin = at + key.size() + 2;
        return padded.substr(begin, padded.find(' ', begin) - begin);
    }

    void collectLines(
        std::istream& input, const std::string& file, const std::string& request, std::vector<Line>& lines)
    {
        std::string text;
        while (std::getline(input, text)) {
            if (fieldOf(text, "request") == request)
                lines.push_back({ fieldOf(text, "time"), file, text });
        }
    }

}

ExitCode trace(const std::string& request, const std::vector<std::string>& files, const Output& output)
{
    std::vector<Line> lines;
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
        lines.begin(), lines.end(), [](const Line& left, const Line& right) { return left.time < right.time; });
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
