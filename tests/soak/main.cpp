#include "soak/Soak.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace eelgrassford::soak;

namespace {

/// Reads the seed at the start of each line; the rest of the line and lines without a number are ignored.
std::vector<std::uint64_t> readSeeds(const std::string& path)
{
    std::vector<std::uint64_t> result;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::uint64_t seed = 0;
        if (words >> seed)
            result.push_back(seed);
    }
    return result;
}

/// Binds an address of the first subnet 127.N.0.0/16, from N = @a octet on, that no other soak has bound. While the
/// result exists, soaks beside this one take other subnets.
/// @throws std::system_error if none is free
asio::ip::tcp::acceptor reserveSubnet(asio::io_context& context, int& octet)
{
    constexpr int lastOctet = 254;
    constexpr std::uint16_t reservationPort = 7999;
    for (;; ++octet) {
        try {
            const auto ip = asio::ip::make_address("127." + std::to_string(octet) + ".255.1");
            return { context, asio::ip::tcp::endpoint(ip, reservationPort), false };
        } catch (const std::system_error&) {
            if (octet >= lastOctet)
                throw;
        }
    }
}

}

int main(int argumentCount, char** arguments)
try {
    CLI::App app { "Injects faults into real daemons with simulated runners and a store on loopback, and checks the "
                   "guarantees to callers." };
    Soak::Options options;
    std::vector<std::uint64_t> seeds;
    std::string seedFile;
    std::string work = "soak";
    std::int64_t seconds = 15;
    app.add_option("--programs", options.installation.programs, "Directory of the built programs")->required();
    app.add_option("--seeds", seeds, "Seeds to run");
    app.add_option("--seed-file", seedFile, "File with more seeds, one per line");
    app.add_option("--seconds", seconds, "Duration of the schedule of a seed, in seconds")->capture_default_str();
    app.add_option("--base", options.installation.secondOctet,
           "Second octet of the addresses (127.BASE.0.0/16); a greater one if another soak uses it")
        ->capture_default_str();
    app.add_option("--daemons", options.installation.daemonCount, "Number of daemons")->capture_default_str();
    app.add_option("--runners", options.installation.runnerCount, "Number of runners")->capture_default_str();
    app.add_option("--callers", options.callerCount, "Number of callers")->capture_default_str();
    app.add_option("--work", work, "Directory for settings and logs, with a subdirectory for each seed")
        ->capture_default_str();
    bool areLogsKept = false;
    app.add_flag("--keep", areLogsKept, "Keep the logs of seeds that pass");
    CLI11_PARSE(app, argumentCount, arguments);
    options.length = std::chrono::seconds(seconds);
    if (!seedFile.empty()) {
        const auto more = readSeeds(seedFile);
        seeds.insert(seeds.end(), more.begin(), more.end());
    }
    asio::io_context context;
    const auto reservation = reserveSubnet(context, options.installation.secondOctet);
    std::size_t failed = 0;
    for (const auto seed : seeds) {
        options.seed = seed;
        options.installation.work = std::filesystem::path(work) / std::to_string(seed);
        std::filesystem::remove_all(options.installation.work);
        const bool hasPassed = Soak(options, std::cout).run();
        failed += hasPassed ? 0 : 1;
        // Failed seeds keep their logs for analysis.
        if (hasPassed && !areLogsKept)
            std::filesystem::remove_all(options.installation.work);
    }
    std::cout << seeds.size() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
} catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << std::endl;
    return 2;
}
