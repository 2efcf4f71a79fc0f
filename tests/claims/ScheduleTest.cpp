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

/// Runs many seeds on all cores; each schedule depends on its seed only.
Totals runMany(std::uint64_t seeds, Faults faults, Defect defect, std::size_t hosts)
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

/// Schedules in all; a greater number can be asked for by hand.
std::uint64_t scheduleCount()
{
    const char* const text = std::getenv("EELGRASSFORD_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : 100000;
}

void checkNoViolation(const char* name, Faults faults, std::size_t hosts, std::uint64_t seeds)
{
    const auto totals = runMany(seeds, faults, Defect::None, hosts);
    INFO(name << " hosts=" << hosts << " seed=" << totals.firstSeed << ": " << totals.firstViolation);
    CHECK(totals.schedules == seeds);
    CHECK(totals.violations == 0);
    CHECK(totals.answered > 0);
}

}

TEST_CASE("claims keep their promises under schedules of faults")
{
    const auto share = scheduleCount() / 10;
    checkNoViolation("loss", { true, false, false, false, false }, 3, share);
    checkNoViolation("crashes", { false, true, false, false, false }, 5, share);
    checkNoViolation("pauses", { false, false, true, false, false }, 3, share);
    checkNoViolation("partitions", { false, false, false, true, false }, 5, share);
    checkNoViolation("view changes", { false, false, false, false, true }, 4, share);
    checkNoViolation("crashes and pauses", { true, true, true, false, false }, 3, share);
    checkNoViolation("crashes and view changes", { true, true, false, false, true }, 4, share);
    checkNoViolation("partitions and view changes", { true, false, false, true, true }, 5, share);
    checkNoViolation("pauses and view changes", { true, false, true, false, true }, 5, share);
    checkNoViolation("everything", { true, true, true, true, true }, 5, share);
}

TEST_CASE("nearly every request runs while at most one daemon is down")
{
    const auto totals = runMany(3000, {}, Defect::None, 8);
    INFO("seed=" << totals.firstSeed << ": " << totals.firstViolation);
    CHECK(totals.violations == 0);
    // One run in twenty is lost and one in twenty abandoned by the schedule itself.
    CHECK(static_cast<double>(totals.answered) >= 0.85 * static_cast<double>(totals.submitted));
}

TEST_CASE("the checks notice deliberate defects")
{
    struct Case {
        const char* name;
        Defect defect;
        Faults faults;
        std::size_t hosts;
    };
    const Case cases[] = {
        { "quorum one short", Defect::QuorumOneShort, { true, false, false, true, false }, 3 },
        { "no abstention after a restart", Defect::NoAbstention, { true, true, false, false, false }, 3 },
        { "no deadline check", Defect::NoDeadlineCheck, { false, false, true, false, false }, 3 },
        { "empty sync", Defect::EmptySync, { true, true, false, false, true }, 4 },
        { "release after dispatch", Defect::ReleaseAfterDispatch, {}, 3 },
        { "always not run", Defect::AlwaysNotRun, { true, true, false, true, false }, 3 },
    };
    for (const auto& item : cases) {
        INFO(item.name);
        CHECK(runMany(5000, item.faults, item.defect, item.hosts).violations > 0);
    }
}
