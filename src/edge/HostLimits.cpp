#include "edge/HostLimits.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace eelgrassford::edge {

namespace {

    /// Memory of the rest of the process: 13 MB after its start, up to 40 MB in the largest fleets, and buffers that
    /// are copied while they grow.
    constexpr std::size_t processBytes = 48'000'000;
    /// One part in this many of the limit covers what the allocator adds to the buffers.
    constexpr std::size_t allocatorPart = 16;
    /// A request of the largest published size (4 MiB) and its response are served with any limit.
    constexpr std::size_t minCallerBytes = 16'000'000;
    /// Descriptors for files, listeners, the fleet and idle connections to runners.
    constexpr std::size_t processDescriptors = 200;
    constexpr double bytesPerMegabyte = 1e6;
    /// Buffers of at least this size are mapped on their own, and unmapped when they are freed.
    constexpr int mappedBufferBytes = 65536;
    constexpr int retainedTopBytes = 262144;
    /// The loops of the relay run on two threads.
    constexpr int arenaCount = 2;

    std::optional<std::size_t> readNumber(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::string text;
        std::size_t result = 0;
        // "max" stands for no limit.
        if (!(file >> text) || std::from_chars(text.data(), text.data() + text.size(), result).ec != std::errc {})
            return std::nullopt;
        return result;
    }

    /// The smallest limit of a group and the groups that contain it.
    std::optional<std::size_t> smallestLimit(
        const std::filesystem::path& mount, std::filesystem::path group, const char* file)
    {
        std::optional<std::size_t> result;
        while (true) {
            if (const auto limit = readNumber(mount / group.relative_path() / file))
                result = std::min(result.value_or(*limit), *limit);
            if (group.relative_path().empty())
                return result;
            group = group.parent_path();
        }
    }

}

std::optional<std::size_t> controlGroupMemory(const std::filesystem::path& root)
{
    std::optional<std::size_t> result;
    std::ifstream groups(root / "proc/self/cgroup");
    // Each line is ID:CONTROLLERS:PATH; version 2 has no controllers.
    for (std::string line; std::getline(groups, line);) {
        const auto first = line.find(':');
        const auto second = first == std::string::npos ? first : line.find(':', first + 1);
        if (second == std::string::npos)
            continue;
        const auto controllers = "," + line.substr(first + 1, second - first - 1) + ",";
        const auto mount = root / "sys/fs/cgroup";
        std::optional<std::size_t> limit;
        if (controllers == ",,")
            limit = smallestLimit(mount, line.substr(second + 1), "memory.max");
        else if (controllers.find(",memory,") != std::string::npos)
            limit = smallestLimit(mount / "memory", line.substr(second + 1), "memory.limit_in_bytes");
        if (limit)
            result = std::min(result.value_or(*limit), *limit);
    }
    return result;
}

HostLimits hostLimits(const LimitSettings& settings)
{
    HostLimits result;
    const auto pages = static_cast<std::size_t>(std::max(::sysconf(_SC_PHYS_PAGES), 0L));
    result.memoryBytes = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    if (const auto group = controlGroupMemory())
        result.memoryBytes = std::min(result.memoryBytes, *group);
    if (settings.memoryMegabytes)
        result.memoryBytes = static_cast<std::size_t>(*settings.memoryMegabytes * bytesPerMegabyte);
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    result.descriptors = descriptors.rlim_cur;
    if (settings.descriptors)
        result.descriptors = std::min(result.descriptors, static_cast<std::size_t>(*settings.descriptors));
    return result;
}

gateway::CallerBudgetOptions callerBudget(const HostLimits& limits, double minBytesPerSecond)
{
    gateway::CallerBudgetOptions result;
    const auto reserved = processBytes + limits.memoryBytes / allocatorPart;
    result.bytes = std::max(limits.memoryBytes - std::min(limits.memoryBytes, reserved), minCallerBytes);
    result.descriptors = limits.descriptors - std::min(processDescriptors, limits.descriptors / 2);
    result.minBytesPerSecond = minBytesPerSecond;
    return result;
}

void limitRetainedMemory()
{
    ::mallopt(M_ARENA_MAX, arenaCount);
    // Setting it also keeps the allocator from raising it after each large buffer that is freed.
    ::mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    ::mallopt(M_TRIM_THRESHOLD, retainedTopBytes);
}

void returnFreeMemory() { ::malloc_trim(0); }

}
