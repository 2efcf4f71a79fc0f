#include "common/Hash.h"
#include "runners/WorkPlacement.h"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace eelgrassford;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Median and 99th percentile of the time of a decision, in microseconds.
template <typename Decision> std::pair<double, double> measure(Decision decide)
{
    constexpr std::size_t decisions = 20000;
    std::vector<double> times;
    times.reserve(decisions);
    for (std::size_t i = 0; i < decisions; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        decide(i);
        const auto end = std::chrono::steady_clock::now();
        times.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    }
    std::sort(times.begin(), times.end());
    return { times[decisions / 2], times[decisions * 99 / 100] };
}

}

int main()
{
    constexpr double limitMicroseconds = 20.0;
    runners::Registry registry;
    std::vector<runners::RunnerEntry> entries;
    for (int i = 0; i < 140; ++i)
        entries.push_back({ "runner-" + std::to_string(i), "pool", "127.0.0.1", 8000, std::string(1, "abcd"[i % 4]), 12,
            false, 1, "v1" });
    registry.apply(entries, start, [](const std::string&) {});
    work::RemainingWork remaining;
    for (std::size_t i = 0; const auto& [id, runner] : registry.runners()) {
        const auto key = static_cast<work::RunnerKey>(runner->identity);
        remaining.begin(key, { static_cast<double>(mix64(i, 1) % 9000), 500.0, 4000.0 }, start);
        remaining.recordReport(key, 1.0 + static_cast<double>(i % 4), start);
        registry.recordReportedLoad(*runner, { static_cast<std::uint32_t>(i++ % 12), 0, 12, {} }, start);
    }
    runners::PlacementRequest request;
    request.service = "pool";
    request.dataCentre = "a";
    const runners::RequestCost cost { 4000.0, 3000.0, 1000.0, 5000.0, true, std::chrono::seconds(1) };
    runners::ServiceProfile profile;
    profile.keepsDataCentre = true;
    runners::WorkPlacement placement;
    std::size_t placed = 0;
    const auto next = [&](std::size_t i) {
        request.affinityKey = mix64(i % 90, 2);
        request.tieBreaker = mix64(i, 3);
    };
    const auto byLoad = measure([&](std::size_t i) {
        next(i);
        placed += runners::place(registry, request, {}, start).runner ? 1 : 0;
    });
    const auto byWork = measure([&](std::size_t i) {
        next(i);
        const auto* runner = placement.place(registry, remaining, request, cost, profile, start).runner;
        placed += runner ? 1 : 0;
        placement.recordSent(request.affinityKey, *runner, start);
    });
    std::printf(
        "figure=decision-by-load-140 median=%.2f p99=%.2f unit=us placed=%zu\n", byLoad.first, byLoad.second, placed);
    const bool isMet = byWork.second <= limitMicroseconds;
    std::printf("figure=decision-by-work-140 median=%.2f p99=%.2f bound=%.1f unit=us ok=%s\n", byWork.first,
        byWork.second, limitMicroseconds, isMet ? "true" : "false");
    return isMet ? 0 : 1;
}
