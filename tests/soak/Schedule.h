#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace eelgrassford::soak {

/// @brief Planned operation on an installation, or fault injected into it.
enum class Action {
    // Planned operations.
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
    LimitRunner,
    RestoreStore,
    LeaveRunner,
    PauseRunner,
    EvacuateDataCentre,
};

std::string_view nameOf(Action action);
bool isPlanned(Action action);

/// @brief One action of a schedule.
struct Step {
    /// Time since the start of the schedule.
    std::chrono::milliseconds at { 0 };
    Action action = Action::ReloadDaemon;
    /// Random number that selects the daemon or runner, modulo their count.
    std::size_t target = 0;
    /// Time until the fault ends or the process is restarted.
    std::chrono::milliseconds duration { 0 };
};

/// @brief Generates a random schedule; steps may overlap, and every third seed has planned operations only.
std::vector<Step> generateSchedule(std::uint64_t seed, std::chrono::milliseconds length);

}
