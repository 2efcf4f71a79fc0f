#pragma once

#include "common/Time.h"
#include "dispatch/RequestLifecycle.h"
#include <cstdint>
#include <functional>

namespace eelgrassford::dispatch {

/// @brief What follows an attempt that brought no whole answer.
enum class RelayStep {
    /// Send the whole request to another upstream.
    SendAgain,
    /// Send it to another upstream, to go on behind the last event that was relayed.
    SendRest,
    /// Answer that it did not run and never will.
    RefuseNotRun,
    /// Answer that its outcome is unknown.
    FailUnknown,
    /// Part of an answer went out: end the connection so that it cannot look whole.
    Abort,
};

std::string_view nameOf(RelayStep step);

/// @brief Decides on the attempts of one relayed request, which carries no idempotency key of ours.
///
/// At most once is kept by this object alone: the request lives in one daemon, and callers repeat it only after an
/// answer that says it did not run.
class RelayPlan {
public:
    struct Options {
        /// Whether it may run again after it may have run.
        bool isRepeatable = false;
        /// Whether a broken answer may go on elsewhere.
        bool isResumable = false;
        /// Most upstreams that may run it.
        std::uint32_t maxAttempts = 1;
        TimePoint deadline {};
        /// Attempts that ended before they could run it, after which it is given up.
        std::uint32_t maxUnsentAttempts = 3;
    };
    /// Takes one repeat from the budget of the service.
    using Budget = std::function<bool()>;

    explicit RelayPlan(const Options& options);

    /// @brief Must be called when a request is handed to a connection.
    void beginAttempt();
    /// @brief Whether an upstream may have run it.
    bool mayHaveRun() const { return m_runs > 0; }
    std::uint32_t attempts() const { return m_attempts; }
    TimePoint deadline() const { return m_options.deadline; }

    /// @brief Decides what follows.
    /// @param hasBegun whether part of the answer went to the caller
    RelayStep fail(AttemptFailure failure, bool hasBegun, TimePoint now, const Budget& budget);
    /// @brief Whether an attempt that an upstream has run, or runs, may be left for another one; counts it as run if
    /// so.
    bool tryAbandonAttempt(bool hasBegun, TimePoint now, const Budget& budget);

private:
    Options m_options;
    std::uint32_t m_attempts = 0;
    /// Attempts that may have run it.
    std::uint32_t m_runs = 0;
    std::uint32_t m_unsent = 0;
};

}
