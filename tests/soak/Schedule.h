#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace eelgrassford::soak {

/// @brief What is done to an installation from outside.
enum class Action {
    // Planned work.
    StopDaemon,
    ReloadDaemon,
    PublishRevision,
    ReplaceKey,
    DrainRunner,
    // Faults.
    KillDaemon,
    FreezeDaemon,
    KillRunner,
    FreezeRunner,
    CutRunnerAnswers,
    FillRunner,
    StoreDown,
    StoreBusy,
    FreezeStore,
    CutStoreLink,
    SlowStoreLink,
    ResetCallerLink,
    SlowCallerLink,
    ResetRunnerLink,
    SlowRunnerLink,
    SilenceToRunner,
    SilenceFromRunner,
};

std::string_view nameOf(Action action);
bool isPlanned(Action action);

/// @brief One step of a schedule.
struct Step {
    std::chrono::milliseconds at { 0 };
    Action action = Action::ReloadDaemon;
    /// Chooses the daemon or runner.
    std::size_t target = 0;
    /// Time until the fault is healed or the process comes back.
    std::chrono::milliseconds duration { 0 };
};

/// @brief Draws a schedule: steps overlap, and every third seed has planned work only.
std::vector<Step> drawSchedule(std::uint64_t seed, std::chrono::milliseconds length);

}
