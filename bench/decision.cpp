#include "common/Hash.h"
#include "placement/BoundedLoadStrategy.h"
#include "placement/PlacementExceptionCache.h"
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>
#include <vector>

using namespace eelgrassford;
using namespace eelgrassford::placement;

namespace {

std::atomic<std::uint64_t> allocations { 0 };

/// Time and heap allocations of a placement decision.
struct Cost {
    double medianNanoseconds;
    double p99Nanoseconds;
    double allocationsPerDecision;
};

/// Measures single placement decisions for known chats over runners with uneven load.
Cost measure(std::size_t runners)
{
    constexpr std::size_t decisions = 200000;
    constexpr std::size_t chats = 50000;
    std::mt19937_64 random(runners);
    SlotTable table(
        std::size_t { 1 } << std::max(12, static_cast<int>(std::ceil(std::log2(16.0 * static_cast<double>(runners))))));
    std::vector<SlotTable::Member> members;
    LoadEstimator loads;
    for (RunnerIndex i = 0; i < runners; ++i) {
        members.push_back({ i, random(), 1.0 });
        loads.add(i, 1.0);
        loads.report(i, 5000.0 + static_cast<double>(random() % 2000), TimePoint(std::chrono::seconds(1)));
    }
    table.update(members);
    PlacementExceptionCache exceptions(chats);
    const std::vector<std::uint8_t> eligible(runners, 1);
    const PlacementContext context { table, loads, exceptions, 1.25, eligible };
    BoundedLoadStrategy strategy;
    // Place every chat once before timing, to measure the steady state.
    for (std::size_t chat = 0; chat < chats; ++chat)
        strategy.choose({ mix64(chat, 1), 2000, 1900, 256 }, context, TimePoint {});
    exceptions.takeChanges(0);
    std::vector<double> times;
    times.reserve(decisions);
    std::uint64_t allocated = 0;
    for (std::size_t i = 0; i < decisions; ++i) {
        const Request request { mix64(random() % chats, 1), 2000, 1900, 256 };
        const auto before = allocations.load();
        const auto start = std::chrono::steady_clock::now();
        const auto decision = strategy.choose(request, context, TimePoint {});
        const auto end = std::chrono::steady_clock::now();
        allocated += allocations.load() - before;
        if (decision.runner == noRunner)
            std::abort();
        times.push_back(std::chrono::duration<double, std::nano>(end - start).count());
    }
    std::sort(times.begin(), times.end());
    return { times[decisions / 2], times[decisions * 99 / 100], static_cast<double>(allocated) / decisions };
}

int printFigure(const char* name, double value, double bound, const char* unit)
{
    const bool isMet = value <= bound;
    std::printf("figure=%s value=%.4f bound=%.4f unit=%s ok=%s\n", name, value, bound, unit, isMet ? "true" : "false");
    return isMet ? 0 : 1;
}

}

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

int main()
{
    constexpr double medianLimit = 2000;
    constexpr double p99Limit = 10000;
    const auto small = measure(12);
    const auto medium = measure(1111);
    const auto large = measure(10000);
    int status = printFigure("decision-median-1111", medium.medianNanoseconds, medianLimit, "ns");
    status |= printFigure("decision-p99-1111", medium.p99Nanoseconds, p99Limit, "ns");
    status |= printFigure("decision-allocations-1111", medium.allocationsPerDecision, 0, "allocations");
    status |= printFigure("decision-growth-12-to-10000", large.medianNanoseconds / small.medianNanoseconds,
        std::log(10000.0) / std::log(12.0), "ratio");
    return status;
}
