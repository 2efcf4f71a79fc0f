#pragma once

#include "placement/Strategy.h"

namespace eelgrassford::placement {

/// @brief Consistent hashing with bounded loads over random probes, with memory of the exceptions.
///
/// Each chat has its own order of runners (probes of the slot table, after Chen et al., "Revisiting consistent
/// hashing with bounded loads"). A returning chat stays at its warm runner while that one's load is within the
/// chat's bound, which rises with the size of the reusable prefix: the chats that lose least move first. A moved
/// chat goes back to its previous runner if that one has room, else to the least loaded of its choices. A new chat
/// takes its first choice only if that one is below the mean, else the least loaded choice.
class BoundedLoadStrategy : public Strategy {
public:
    struct Options {
        /// Probes before the least loaded one is taken.
        std::uint32_t probes = 16;
        /// Share of the slack above the mean that a chat with next to nothing to reuse may use at its warm runner.
        double smallPrefixSlackShare = -0.5;
        /// Multiple of the mean reusable prefix from which on a chat may use all of the slack.
        double fullSlackPrefixRatio = 0.25;
        /// Share of the slack above the mean that a new chat may use at its first choice; beyond it, the least
        /// loaded choice is taken, which costs no reuse.
        double newChatSlackShare = 0.0;
        /// Whether spilled chats are remembered.
        bool isRecordingExceptions = true;
    };

    explicit BoundedLoadStrategy(const Options& options);
    BoundedLoadStrategy();

    Decision choose(const Request& request, const PlacementContext& context, TimePoint now) override;

private:
    static bool fits(double work, RunnerIndex runner, double load, const PlacementContext& context, double bound);
    static bool isEligible(RunnerIndex runner, const PlacementContext& context);
    RunnerIndex firstChoice(std::uint64_t chat, const PlacementContext& context) const;
    bool takePrevious(
        const Request& request, RunnerIndex previous, const PlacementContext& context, Decision& decision) const;
    void takeLeastLoaded(const Request& request, const PlacementContext& context, Decision& decision) const;
    double boundOf(const Request& request, const PlacementContext& context) const;
    void learnSize(const Request& request);
    void remember(const Request& request, const PlacementContext& context, RunnerIndex home, RunnerIndex warm,
        RunnerIndex chosen) const;

    Options m_options;
    /// Exponentially weighted mean of the reusable prefix of returning chats, in tokens.
    double m_meanReusable = 1000.0;
};

}
