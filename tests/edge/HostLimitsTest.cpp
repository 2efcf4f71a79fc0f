#include "edge/HostLimits.h"

#include <doctest/doctest.h>
#include <fstream>
#include <unistd.h>

using namespace eelgrassford;

namespace {

/// A directory in place of "/" with the files that a test writes.
class HostFiles {
public:
    HostFiles()
        : m_root(std::filesystem::temp_directory_path() / ("host-limits-" + std::to_string(::getpid())))
    {
    }
    ~HostFiles() { std::filesystem::remove_all(m_root); }
    HostFiles(const HostFiles&) = delete;
    HostFiles& operator=(const HostFiles&) = delete;

    void write(const std::string& path, const std::string& text) const
    {
        std::filesystem::create_directories((m_root / path).parent_path());
        std::ofstream(m_root / path) << text;
    }
    const std::filesystem::path& root() const { return m_root; }

private:
    std::filesystem::path m_root;
};

}

TEST_CASE("the memory limit is the smallest of the control groups of the process, in either version")
{
    // Failure: the budget follows the machine's memory, and the process is killed at the limit of its host.
    HostFiles files;
    CHECK_FALSE(edge::controlGroupMemory(files.root()));
    files.write("proc/self/cgroup", "0::/hosts/entry-1\n");
    CHECK_FALSE(edge::controlGroupMemory(files.root()));
    files.write("sys/fs/cgroup/hosts/entry-1/memory.max", "max\n");
    files.write("sys/fs/cgroup/hosts/memory.max", "117440512\n");
    CHECK(edge::controlGroupMemory(files.root()) == 117440512);
    files.write("proc/self/cgroup", "3:cpu:/x\n2:memory,pids:/y\n");
    files.write("sys/fs/cgroup/memory/y/memory.limit_in_bytes", "100000000\n");
    CHECK(edge::controlGroupMemory(files.root()) == 100000000);
}

TEST_CASE("the largest permitted request fits into the budget of the smallest host")
{
    // Failure: a request of 4 MiB and 16 KiB of headers, with a response of the same size, is refused for want of
    // memory on a host without load.
    const auto budget = edge::callerBudget({ 112'000'000, 2870 }, 100);
    constexpr std::size_t request = 4'194'304 + 3 * 16'384;
    CHECK(budget.bytes * 7 / 8 > 3 * request);
    CHECK(budget.bytes < 112'000'000 - 40'000'000);
    CHECK(budget.descriptors == 2670);
    const auto smallest = edge::callerBudget({ 1, 100 }, 100);
    CHECK(smallest.bytes * 7 / 8 > 3 * request);
    CHECK(smallest.descriptors == 50);
}

TEST_CASE("a memory limit of the settings replaces the host's, and one of descriptors can only lower it")
{
    edge::LimitSettings settings;
    CHECK(edge::hostLimits(settings).memoryBytes > 0);
    const auto descriptors = edge::hostLimits(settings).descriptors;
    settings.memoryMegabytes = 112;
    settings.descriptors = 1e7;
    CHECK(edge::hostLimits(settings).memoryBytes == 112'000'000);
    CHECK(edge::hostLimits(settings).descriptors == std::min<std::size_t>(descriptors, 10'000'000));
    settings.descriptors = 100;
    CHECK(edge::hostLimits(settings).descriptors == 100);
}
