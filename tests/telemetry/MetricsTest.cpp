#include "telemetry/Metrics.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace eelgrassford;

TEST_CASE("every gauge and total that the code sets is declared; an undeclared one would end the process")
{
    static const std::regex call(R"re(set(Gauge|Total)\(\s*"([a-z_]+)")re");
    const auto root = std::filesystem::path(EELGRASSFORD_TEST_DATA).parent_path();
    telemetry::Metrics metrics;
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() != ".cpp")
            continue;
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        const auto code = text.str();
        for (std::sregex_iterator found(code.begin(), code.end(), call), end; found != end; ++found) {
            const auto name = (*found)[2].str();
            CAPTURE(name);
            if ((*found)[1] == "Gauge")
                CHECK_NOTHROW(metrics.setGauge(name, 1.0));
            else
                CHECK_NOTHROW(metrics.setTotal(name, 1.0));
            ++count;
        }
    }
    CHECK(count > 20);
}
