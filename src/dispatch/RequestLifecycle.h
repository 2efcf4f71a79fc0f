#pragma once

#include "common/Time.h"
#include "dispatch/Outcome.h"
#include "dispatch/RetryBudget.h"
#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace eelgrassford::dispatch {

/// @brief How an attempt ended without a whole answer.
enum class AttemptFailure {
    /// The connection was never opened: nothing left.
    NeverConnected,
    /// The upstream answered that it did not take the request (503 with an explicit mark).
    Declined,
    /// The connection broke before the whole answer.
    Broken,
    /// The answer belongs to another call.
    MismatchedAnswer,
    TimedOut,
};

std::string_view nameOf(AttemptFailure failure);

/// @brief Send the request to an upstream, not before the given time.
struct SendAt {
    TimePoint at;
    /// Number of events that the caller already has; a resumed stream starts there.
    std::uint64_t offset = 0;
};

/// @brief Ask the same upstream for the rest of the stream.
struct Resume {
    std::uint64_t offset = 0;
};

struct FinishNotRun {
    NotRun outcome;
};
struct FinishUnknown {
    UnknownOutcome outcome;
};
/// @brief The whole answer has reached the caller.
struct FinishAnswered { };

using Step = std::variant<SendAt, Resume, FinishNotRun, FinishUnknown, FinishAnswered>;

/// @brief One request's life from acceptance to its outcome: attempts, retries, resumed streams, deadline.
class RequestLifecycle {
public:
    struct Options {
        bool isIdempotent = false;
        std::uint32_t maxRetries = 0;
        TimePoint deadline {};
        Duration initialBackoff = std::chrono::milliseconds(50);
        Duration maxBackoff = std::chrono::seconds(2);
        std::uint32_t maxResumes = 3;
    };
    using RandomSource = std::function<double()>;

    explicit RequestLifecycle(const Options& options);

    /// @brief Refuses a request that has not been sent.
    /// @pre !mayHaveRun()
    FinishNotRun refuse(Refusal refusal);
    /// @brief Must be called right before the first byte may leave.
    /// @return false if the deadline has passed; then nothing may be sent
    bool beginAttempt(TimePoint now);
    /// @brief The whole answer arrived.
    FinishAnswered succeed(RetryBudget& budget);
    /// @brief An event of the stream reached the caller.
    void recordRelayedEvent() { ++m_offset; }
    /// @brief Decides what follows a failed attempt.
    /// @param budget retries left to the service
    /// @param random uniform in [0, 1), for the jitter of the backoff
    Step fail(AttemptFailure failure, TimePoint now, RetryBudget& budget, const RandomSource& random);

    bool mayHaveRun() const { return m_sent.has_value() || m_hasRun; }
    std::uint32_t attempts() const { return m_attempts; }
    std::uint64_t offset() const { return m_offset; }
    const Options& options() const { return m_options; }

private:
    Step finish(Refusal refusal, const char* detail);
    Duration backoff(const RandomSource& random) const;

    Options m_options;
    std::optional<UnsentRequest> m_unsent { UnsentRequest {} };
    std::optional<SentRequest> m_sent;
    /// An earlier attempt may have run; only idempotent requests go on from there.
    bool m_hasRun = false;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_resumes = 0;
    std::uint64_t m_offset = 0;
};

}
