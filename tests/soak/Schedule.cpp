#include "soak/Schedule.h"

#include <array>
#include <random>

namespace eelgrassford::soak {

namespace {

    using std::chrono::milliseconds;

    struct ActionName {
        Action action;
        std::string_view name;
    };

    constexpr std::array actionNames {
        ActionName { Action::StopDaemon, "stop-daemon" },
        ActionName { Action::ReloadDaemon, "reload-daemon" },
        ActionName { Action::PublishRevision, "publish-revision" },
        ActionName { Action::ReplaceKey, "replace-key" },
        ActionName { Action::DrainRunner, "drain-runner" },
        ActionName { Action::KillDaemon, "kill-daemon" },
        ActionName { Action::FreezeDaemon, "freeze-daemon" },
        ActionName { Action::KillRunner, "kill-runner" },
        ActionName { Action::FreezeRunner, "freeze-runner" },
        ActionName { Action::CutRunnerAnswers, "cut-runner-answers" },
        ActionName { Action::FillRunner, "fill-runner" },
        ActionName { Action::StoreDown, "store-down" },
        ActionName { Action::StoreBusy, "store-busy" },
        ActionName { Action::FreezeStore, "freeze-store" },
        ActionName { Action::CutStoreLink, "cut-store-link" },
        ActionName { Action::SlowStoreLink, "slow-store-link" },
        ActionName { Action::ResetCallerLink, "reset-caller-link" },
        ActionName { Action::SlowCallerLink, "slow-caller-link" },
        ActionName { Action::ResetRunnerLink, "reset-runner-link" },
        ActionName { Action::SlowRunnerLink, "slow-runner-link" },
        ActionName { Action::SilenceToRunner, "silence-to-runner" },
        ActionName { Action::SilenceFromRunner, "silence-from-runner" },
        ActionName { Action::LimitRunner, "limit-runner" },
        ActionName { Action::RestoreStore, "restore-store" },
        ActionName { Action::LeaveRunner, "leave-runner" },
        ActionName { Action::PauseRunner, "pause-runner" },
        ActionName { Action::EvacuateDataCentre, "evacuate-data-centre" },
    };

    constexpr std::size_t plannedActionCount = 5;
    constexpr milliseconds maxGap { 900 };
    constexpr milliseconds minDuration { 200 };
    /// Longer than every timeout of the daemon except the callers' deadlines.
    constexpr milliseconds maxDuration { 4000 };

    milliseconds randomDuration(std::mt19937_64& random, milliseconds minimum, milliseconds maximum)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(random));
    }

}

std::string_view nameOf(Action action) { return actionNames[static_cast<std::size_t>(action)].name; }

bool isPlanned(Action action) { return static_cast<std::size_t>(action) < plannedActionCount; }

std::vector<Step> generateSchedule(std::uint64_t seed, milliseconds length)
{
    constexpr std::uint64_t plannedOnlyInterval = 3;
    std::mt19937_64 random(seed);
    const auto actions = seed % plannedOnlyInterval == 0 ? plannedActionCount : actionNames.size();
    std::vector<Step> result;
    for (auto at = randomDuration(random, {}, maxGap); at < length; at += randomDuration(random, {}, maxGap)) {
        Step step;
        step.at = at;
        step.action = static_cast<Action>(random() % actions);
        step.target = random();
        step.duration = randomDuration(random, minDuration, maxDuration);
        result.push_back(step);
    }
    return result;
}

}
