#include "Schedule.h"

#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace eelgrassford::claims::test;

namespace {

struct Totals {
    std::size_t schedules = 0;
    std::size_t submitted = 0;
    std::size_t answered = 0;
    std::size_t violations = 0;
    std::uint64_t firstSeed = 0;
    std::string firstViolation;
};

/// Runs the schedules of seeds 1 to `seeds` on all cores; the result of each depends only on its seed.
Totals runSchedules(std::uint64_t seeds, Faults faults, Defect defect, std::size_t hosts)
{
    std::atomic<std::uint64_t> next { 1 };
    std::mutex mutex;
    Totals totals;
    auto work = [&] {
        for (auto seed = next++; seed <= seeds; seed = next++) {
            Schedule schedule(seed, faults, defect, hosts);
            const auto violation = schedule.run();
            const std::scoped_lock lock(mutex);
            ++totals.schedules;
            totals.submitted += schedule.submitted();
            totals.answered += schedule.answered();
            totals.violations += violation ? 1 : 0;
            if (violation && (totals.firstSeed == 0 || seed < totals.firstSeed)) {
                totals.firstSeed = seed;
                totals.firstViolation = *violation;
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
    return totals;
}

/// Number of schedules over all kinds of faults; EELGRASSFORD_SCHEDULES overrides it.
std::uint64_t totalScheduleCount()
{
    const char* const text = std::getenv("EELGRASSFORD_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : 100000;
}

void checkNoViolation(const char* name, Faults faults, std::size_t hosts, std::uint64_t seeds)
{
    const auto totals = runSchedules(seeds, faults, Defect::None, hosts);
    INFO(name << " hosts=" << hosts << " seed=" << totals.firstSeed << ": " << totals.firstViolation);
    CHECK(totals.schedules == seeds);
    CHECK(totals.violations == 0);
    CHECK(totals.answered > 0);
}

}

TEST_CASE("claims run each key at most once under random faults")
{
    const auto schedulesPerFaultSet = totalScheduleCount() / 10;
    checkNoViolation("loss", { true, false, false, false, false }, 3, schedulesPerFaultSet);
    checkNoViolation("crashes", { false, true, false, false, false }, 5, schedulesPerFaultSet);
    checkNoViolation("pauses", { false, false, true, false, false }, 3, schedulesPerFaultSet);
    checkNoViolation("partitions", { false, false, false, true, false }, 5, schedulesPerFaultSet);
    checkNoViolation("view changes", { false, false, false, false, true }, 4, schedulesPerFaultSet);
    checkNoViolation("crashes and pauses", { true, true, true, false, false }, 3, schedulesPerFaultSet);
    checkNoViolation("crashes and view changes", { true, true, false, false, true }, 4, schedulesPerFaultSet);
    checkNoViolation("partitions and view changes", { true, false, false, true, true }, 5, schedulesPerFaultSet);
    checkNoViolation("pauses and view changes", { true, false, true, false, true }, 5, schedulesPerFaultSet);
    checkNoViolation("all faults", { true, true, true, true, true }, 5, schedulesPerFaultSet);
}

TEST_CASE("claims answer at least 85% of the requests of a fleet without faults")
{
    const auto totals = runSchedules(3000, {}, Defect::None, 8);
    INFO("seed=" << totals.firstSeed << ": " << totals.firstViolation);
    CHECK(totals.violations == 0);
    // The schedule itself abandons one run in twenty and loses the outcome of another one in twenty.
    CHECK(static_cast<double>(totals.answered) >= 0.85 * static_cast<double>(totals.submitted));
}

TEST_CASE("claims with a deliberate defect fail the checks")
{
    struct Case {
        const char* name;
        Defect defect;
        Faults faults;
        std::size_t hosts;
    };
    const Case cases[] = {
        { "forged grants", Defect::ForgedGrants, { true, false, false, true, false }, 3 },
        { "no abstention after a restart", Defect::NoAbstention, { true, true, false, false, false }, 3 },
        { "no check of the dispatch deadline", Defect::NoDeadlineCheck, { false, false, true, false, false }, 3 },
        { "sync replies without grants", Defect::EmptySync, { true, true, false, false, true }, 4 },
        { "release after dispatch", Defect::ReleaseAfterDispatch, {}, 3 },
        { "unknown outcomes reported as not run", Defect::AlwaysNotRun, { true, true, false, true, false }, 3 },
    };
    for (const auto& item : cases) {
        INFO(item.name);
        CHECK(runSchedules(5000, item.faults, item.defect, item.hosts).violations > 0);
    }
}
