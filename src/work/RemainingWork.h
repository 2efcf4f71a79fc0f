#pragma once

#include "common/DecayingSum.h"
#include "common/Time.h"
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrassford::work {

/// Identifies one lifetime of a runner in digests: the lower half of its identity.
using RunnerKey = std::uint32_t;

/// @brief Work that is left to do, of one request or of all requests at a runner.
struct Amount {
    /// Prompt tokens that are not computed yet.
    double prefillTokens = 0.0;
    /// Time that the rest of the output, or the work of an application, takes at the usual speed, in milliseconds.
    double outputMs = 0.0;
    /// Tokens of prompts and outputs in the memory of the runner.
    double residentTokens = 0.0;

    Amount& operator+=(const Amount& other);
    Amount& operator-=(const Amount& other);
    /// @brief Whether it is more than what rounding leaves.
    bool isNoticeable() const { return prefillTokens + outputMs + residentTokens > 0.5; }
};

/// @brief Half-lives and limits of RemainingWork.
struct RemainingWorkOptions {
    /// Half-life of a reported slowdown. Reports are 100 to 200 ms old, and disturbances of 600 ms are common.
    Duration reportHalfLife = std::chrono::milliseconds(300);
    /// Window over which the learned slowdown is averaged; the slow phases that matter last some seconds.
    Duration learningWindow = std::chrono::seconds(2);
    /// Observations at the usual speed that a runner's own ones are averaged with.
    double priorObservations = 4.0;
    /// Limits of the learned slowdown.
    double fastest = 0.5;
    double slowest = 8.0;
    /// Factor between report and observation from which they contradict each other.
    double contradiction = 1.6;
    /// Share of its trust that a report loses with a contradiction, and regains of what it lacks with each agreement.
    double trustLoss = 0.3;
    double trustGain = 0.05;
    /// Window over which the rate of this daemon's own requests to a runner is averaged.
    Duration rateWindow = std::chrono::seconds(1);
    /// Time without events after which the state of a runner is dropped.
    Duration idleLifetime = std::chrono::seconds(60);
};

/// @brief The work that is left at each runner, and how long work takes there compared with the usual. No I/O.
///
/// The work is the sum of this daemon's dispatches minus their progress and of what the other daemons report. The
/// slowdown is learned from the responses. A reported slowdown adds to it while it is recent, as far as it agreed with
/// earlier responses.
class RemainingWork {
public:
    /// @brief Work of one request at a runner; held by the request until it ends.
    struct Dispatched {
        RunnerKey runner = 0;
        Amount left;
    };

    explicit RemainingWork(const RemainingWorkOptions& options = {})
        : m_options(options)
    {
    }

    /// @brief Adds a request that is sent to a runner.
    Dispatched begin(RunnerKey runner, const Amount& amount, TimePoint now);
    /// @brief Records that the output of a request has advanced, which also means that its prompt is computed.
    /// @param outputMs usual time of the output that has arrived
    void advance(Dispatched& dispatched, double outputMs);
    /// @brief Removes what is left of a request.
    void end(const Dispatched& dispatched);
    /// @brief Replaces what the other daemons report.
    void setPeers(const std::unordered_map<RunnerKey, Amount>& peers);

    /// @brief Records the slowdown that a runner reports.
    void recordReport(RunnerKey runner, double slowdown, TimePoint now);
    /// @brief Records how long work of a runner took.
    /// @param ratio its time over the usual time
    void recordSpeed(RunnerKey runner, double ratio, TimePoint now);

    /// @brief Work of this daemon's requests.
    Amount own(RunnerKey runner) const;
    /// @brief Work and slowdown of a runner as placement sees them.
    struct View {
        Amount left;
        double slowdown = 1.0;
        /// Requests that this daemon lately sent per second.
        double requestRate = 0.0;
    };
    View view(RunnerKey runner, TimePoint now) const;
    /// @brief Drops the state of runners without work or events for a while.
    void removeIdle(TimePoint now);
    std::size_t size() const { return m_runners.size(); }

private:
    struct State {
        Amount own;
        Amount peers;
        /// Decaying sums of the logarithms of the observed ratios, and of their number.
        double logRatios = 0.0;
        double observations = 0.0;
        TimePoint decayedAt {};
        double reported = 1.0;
        TimePoint reportedAt {};
        /// Weight of reports in [0, 1].
        double trust = 1.0;
        TimePoint usedAt {};
        /// Requests that were sent lately.
        DecayingSum requests;
    };

    double decay(const State& state, TimePoint now) const;
    double learned(const State& state, TimePoint now) const;
    /// Factor of the newest report, as it has decayed by now.
    double currentFactor(const State& state, TimePoint now) const;

    RemainingWorkOptions m_options;
    std::unordered_map<RunnerKey, State> m_runners;
};

}
