#pragma once

#include "common/Time.h"
#include "dispatch/RequestLifecycle.h"
#include <cstdint>
#include <functional>

namespace eelgrassford::dispatch {

/// @brief What follows an attempt that ended without a complete answer.
enum class RelayStep {
    /// Send the whole request to another upstream.
    SendAgain,
    /// Send the request to another upstream, to resume the stream after the last event that was relayed.
    SendRest,
    /// Answer that the request did not run and never will.
    RefuseNotRun,
    /// Answer that the outcome of the request is unknown.
    FailUnknown,
    /// Part of the answer has been sent: break the connection so that the caller cannot take the answer for complete.
    Abort,
};

std::string_view nameOf(RelayStep step);

/// @brief Decides on the attempts of one relayed request, which carries no idempotency key of the router.
///
/// This object alone guarantees at-most-once execution: one daemon handles the request, and callers send it again
/// only after an answer that says that it did not run.
class RelayPlan {
public:
    struct Options {
        /// Whether the request may be sent again after it may have run.
        bool isRepeatable = false;
        /// Whether another upstream may resume a broken answer.
        bool isResumable = false;
        /// Largest number of attempts that may run the request.
        std::uint32_t maxAttempts = 1;
        /// Time after which the request is not sent again.
        TimePoint deadline {};
        /// Number of attempts that failed without running the request after which it is given up.
        std::uint32_t maxUnsentAttempts = 3;
    };
    /// Takes one retry from the budget of the service; false if none is left.
    using Budget = std::function<bool()>;

    explicit RelayPlan(const Options& options);

    /// @brief Records an attempt; must be called when the request is passed to a connection.
    void beginAttempt();
    /// @brief Whether an upstream may have run the request in an attempt that has ended.
    bool mayHaveRun() const { return m_possibleRuns > 0; }
    std::uint32_t attempts() const { return m_attempts; }
    TimePoint deadline() const { return m_options.deadline; }

    /// @brief Decides what follows a failed attempt.
    /// @param hasAnswerBegun whether part of the answer has been sent to the caller
    RelayStep fail(AttemptFailure failure, bool hasAnswerBegun, TimePoint now, const Budget& budget);
    /// @brief Decides whether the current attempt, which an upstream may be running or has run, may be abandoned for
    /// another upstream; if so, counts it as run.
    /// @param hasAnswerBegun whether part of the answer has been sent to the caller
    /// @param hasAlternative whether another upstream can go on; without one the request would be lost
    bool tryAbandonAttempt(
        bool hasAnswerBegun, const std::function<bool()>& hasAlternative, TimePoint now, const Budget& budget);

private:
    Options m_options;
    std::uint32_t m_attempts = 0;
    /// Attempts that may have run the request.
    std::uint32_t m_possibleRuns = 0;
    /// Attempts that did not run the request.
    std::uint32_t m_unsentAttempts = 0;
};

}
