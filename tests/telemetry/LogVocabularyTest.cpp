#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> loggedEvents(const std::filesystem::path& directory)
{
    static const std::regex call(R"re(log(?:Debug|Info|Warning|Error)\(\s*([^,]*),)re");
    static const std::regex name(R"re("([a-z-]+)")re");
    std::set<std::string> result;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(directory)) {
        if (entry.path().extension() != ".cpp")
            continue;
        const auto text = readFile(entry.path());
        for (std::sregex_iterator found(text.begin(), text.end(), call), end; found != end; ++found) {
            const auto argument = (*found)[1].str();
            for (std::sregex_iterator part(argument.begin(), argument.end(), name); part != end; ++part)
                result.insert((*part)[1].str());
        }
    }
    return result;
}

}

TEST_CASE("every event that the relay logs is documented in the log vocabulary")
{
    const auto root = std::filesystem::path(EELGRASSFORD_TEST_DATA).parent_path();
    const auto vocabulary = readFile(root / "docs" / "LOGS.md");
    std::size_t count = 0;
    for (const char* package : { "edge", "gateway", "proxy", "store", "fleet", "runners" }) {
        for (const auto& event : loggedEvents(root / "src" / package)) {
            INFO(event);
            CHECK(vocabulary.find("`" + event + "`") != std::string::npos);
            ++count;
        }
    }
    CHECK(count > 20);
}
