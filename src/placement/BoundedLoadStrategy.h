#pragma once

#include "placement/Strategy.h"

namespace eelgrassford::placement {

/// @brief Consistent hashing with bounded loads and random probes, which records the chats placed off their first
/// choice.
///
/// The probes of the slot table give each chat its own order of runners, its choices (after Chen et al., "Revisiting
/// consistent hashing with bounded loads"). A returning chat stays on its warm runner, the one that probably caches
/// its prefix, while the runner's load is within the chat's bound. The bound rises with the size of the reusable
/// prefix, so that the chats that lose least move first. A chat that must move goes back to its previous runner if
/// that runner's load is within the bound, else to the least loaded of its choices. A new chat takes its first choice
/// only if that runner is below the mean load, else the least loaded choice.
class BoundedLoadStrategy : public Strategy {
public:
    struct Options {
        /// Number of choices of a chat: probes of the slot table, which may repeat a runner.
        std::uint32_t probes = 16;
        /// Share of the slack that a chat with the smallest reusable prefix may use at its warm runner. The slack is
        /// the difference between the load bound and the mean load; a negative share sets a bound below the mean.
        double smallPrefixSlackShare = -0.5;
        /// Reusable prefix, as a multiple of the mean, from which a chat may use all of the slack.
        double fullSlackPrefixRatio = 0.25;
        /// Share of the slack that a new chat may use at its first choice. Beyond it, the chat goes to its least
        /// loaded choice, which costs nothing because a new chat has no cached prefix.
        double newChatSlackShare = 0.0;
        /// Whether the runner of a chat that is placed off its first choice is recorded.
        bool isRecordingExceptions = true;
    };

    explicit BoundedLoadStrategy(const Options& options);
    BoundedLoadStrategy();

    Decision choose(const Request& request, const PlacementContext& context, TimePoint now) override;

private:
    static bool isWithinBound(
        double work, RunnerIndex runner, double load, const PlacementContext& context, double bound);
    static bool isEligible(RunnerIndex runner, const PlacementContext& context);
    RunnerIndex firstChoice(std::uint64_t chat, const PlacementContext& context) const;
    bool tryPrevious(
        const Request& request, RunnerIndex previous, const PlacementContext& context, Decision& decision) const;
    void chooseLeastLoaded(const Request& request, const PlacementContext& context, Decision& decision) const;
    double loadBoundFor(const Request& request, const PlacementContext& context) const;
    void updateMeanPrefix(const Request& request);
    void recordPlacement(const Request& request, const PlacementContext& context, RunnerIndex home, RunnerIndex warm,
        RunnerIndex chosen) const;

    Options m_options;
    /// Exponentially weighted mean of the reusable prefix of returning chats, in tokens.
    double m_meanReusableTokens = 1000.0;
};

}
