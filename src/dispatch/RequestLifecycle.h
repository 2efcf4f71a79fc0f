#pragma once

#include "common/Time.h"
#include "dispatch/Outcome.h"
#include "dispatch/RetryBudget.h"
#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace eelgrassford::dispatch {

/// @brief Why an attempt ended without a complete answer.
enum class AttemptFailure {
    /// The connection was never opened, so nothing was sent.
    NeverConnected,
    /// The upstream answered that it did not accept the request (503 with an explicit header).
    Declined,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer belongs to another call.
    MismatchedAnswer,
    TimedOut,
};

std::string_view nameOf(AttemptFailure failure);

/// @brief Send the whole request to an upstream, not before the given time.
struct SendAt {
    TimePoint at;
    /// Number of stream events that the caller already has and that must not be relayed again.
    std::uint64_t offset = 0;
};

/// @brief Request the rest of the stream from the same upstream.
struct Resume {
    /// Number of stream events that the caller already has.
    std::uint64_t offset = 0;
};

/// @brief Answer that the request did not run and never will.
struct FinishNotRun {
    NotRun outcome;
};
/// @brief Answer that the request may have run.
struct FinishUnknown {
    UnknownOutcome outcome;
};
/// @brief The complete answer has been received from the upstream.
struct FinishAnswered { };

/// @brief What the owner of the request must do next.
using Step = std::variant<SendAt, Resume, FinishNotRun, FinishUnknown, FinishAnswered>;

/// @brief State machine of one request from acceptance to its outcome: attempts, retries, resumed streams, deadline.
class RequestLifecycle {
public:
    struct Options {
        /// Whether the request may be sent again after it may have run.
        bool isIdempotent = false;
        /// Attempts allowed after the first one.
        std::uint32_t maxRetries = 0;
        /// Time after which no attempt may begin.
        TimePoint deadline {};
        /// Upper limit of the random backoff before the first retry; it doubles with each further attempt.
        Duration initialBackoff = std::chrono::milliseconds(50);
        /// Largest value that this upper limit grows to.
        Duration maxBackoff = std::chrono::seconds(2);
        /// Resumed calls allowed for a broken stream.
        std::uint32_t maxResumes = 3;
    };
    using RandomSource = std::function<double()>;

    explicit RequestLifecycle(const Options& options);

    /// @brief Ends a request that has not been sent.
    /// @pre !mayHaveRun()
    FinishNotRun refuse(Refusal refusal);
    /// @brief Begins an attempt; must be called immediately before its first byte may be sent.
    /// @return false if the deadline has passed; then nothing may be sent
    bool beginAttempt(TimePoint now);
    /// @brief Records that the complete answer has arrived.
    /// @param budget credited with the success
    FinishAnswered succeed(RetryBudget& budget);
    /// @brief Records that a stream event has been relayed to the caller.
    void recordRelayedEvent() { ++m_offset; }
    /// @brief Decides the next step after a failed attempt.
    /// @param budget retry budget of the destination; a retry takes one token
    /// @param random uniform in [0, 1), for the jitter of the backoff
    Step fail(AttemptFailure failure, TimePoint now, RetryBudget& budget, const RandomSource& random);

    /// @brief Whether an upstream may have run the request, or may run it in the current attempt.
    bool mayHaveRun() const { return m_sent.has_value() || m_hasRun; }
    std::uint32_t attempts() const { return m_attempts; }
    /// @brief Number of stream events that the caller has.
    std::uint64_t offset() const { return m_offset; }
    const Options& options() const { return m_options; }

private:
    Step finish(Refusal refusal, const char* detail);
    /// Exponential backoff with full jitter.
    Duration backoff(const RandomSource& random) const;

    Options m_options;
    std::optional<UnsentRequest> m_unsent { UnsentRequest {} };
    std::optional<SentRequest> m_sent;
    /// Whether an earlier attempt may have run; if so, only an idempotent request is sent again.
    bool m_hasRun = false;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_resumes = 0;
    std::uint64_t m_offset = 0;
};

}
