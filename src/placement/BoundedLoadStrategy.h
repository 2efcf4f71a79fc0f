#pragma once

#include "placement/Strategy.h"

namespace eelgrassford::placement {

/// @brief Consistent hashing with bounded loads over random probes, with memory of the exceptions.
///
/// Each chat has its own order of runners (probes of the slot table, after Chen et al., "Revisiting consistent
/// hashing with bounded loads"); the first whose load stays within its bound takes the request. The bound of a
/// chat rises with the share of its prompt that is already cached, so the chats that lose least move first.
class BoundedLoadStrategy : public Strategy {
public:
    struct Options {
        /// Probes before the least loaded one is taken.
        std::uint32_t probes = 16;
        /// Share of the slack above the mean that is kept back for what reports do not show yet.
        double margin = 0.2;
        /// Share of the slack above the mean that a chat with nothing to reuse may use.
        double coldSlack = 0.3;
        /// Whether spilled chats are remembered.
        bool isRemembering = true;
    };

    explicit BoundedLoadStrategy(const Options& options);
    BoundedLoadStrategy();

    Decision choose(const Request& request, const Fleet& fleet, TimePoint now) override;

private:
    double boundOf(const Request& request, const Fleet& fleet) const;
    void remember(const Request& request, const Fleet& fleet, RunnerIndex home, RunnerIndex chosen) const;

    Options m_options;
};

}
