#pragma once

#include "common/DecayingSum.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::admission {

/// @brief The runners of one service as this daemon knows them.
struct ServiceLoad {
    /// Requests that all daemons have under way there.
    double inFlight = 0.0;
    /// Requests that its usable runners can run at once.
    double slots = 0.0;
};

/// @brief A request that asks to be admitted.
struct AdmissionRequest {
    std::string_view organisation;
    std::string_view route;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Time in which an answer, or the first event of a stream, is worth most.
    Duration latencyObjective {};
    Duration timeLeft {};
    /// Random, in [0, 1): one for admission, one for the time of return.
    double admissionDraw = 0.0;
    double retryDraw = 0.0;
};

enum class SheddingVerdict {
    Admitted,
    /// More is under way than the service bears, and the draw was against it.
    Overloaded,
    /// Those that wait already leave no time for this one.
    TooLate,
};

std::string_view nameOf(SheddingVerdict verdict);

/// @brief A verdict with the figures that explain it.
struct SheddingDecision {
    SheddingVerdict verdict = SheddingVerdict::Admitted;
    /// For refusals: when to come back.
    Duration retryAfter {};
    /// Requests under way over those that the service bears.
    double pressure = 0.0;
    /// Share of such requests that is admitted now.
    double share = 1.0;
    /// Whether the organisation sends more than usual.
    bool isSurging = false;
    Duration expectedWait {};
};

/// @brief Decides which requests of one service are refused at once while it has more than it can serve in time. No
/// I/O.
///
/// Load pattern: callers surge beyond what the runners serve within the latency objective. Without a bound, queues grow
/// until requests run into their deadlines while they are being worked on, and the work is lost.
///
/// The bound is a number of requests under way over the whole fleet: the runners' slots, and a queue that is worked off
/// within a part of the latency objective. The share of requests that is admitted falls as the bound is reached; first
/// for organisations that send more than usual, and further for less urgent routes, though never to nothing before the
/// others. All daemons see the same load, so no messages are needed beyond the load that they tell each other anyway.
class LoadShedder {
public:
    struct Options {
        /// Part of the latency objective that a request may wait for a slot.
        double queueShare = 0.25;
        /// Time over which the present work of an organisation is measured, and its usual work.
        Duration recentWindow = std::chrono::milliseconds(2000);
        Duration baselineWindow = std::chrono::seconds(30);
        /// Pressure up to which work counts as usual.
        double baselinePressure = 0.7;
        /// Multiple of the usual work, and requests above that, from which an organisation surges.
        double surgeFactor = 2.0;
        double surgeTolerance = 3.0;
        /// Pressure at which nothing more is admitted, and the same for organisations that surge; admission falls over
        /// the range before it.
        double fullPressure = 1.4;
        double surgingFullPressure = 1.1;
        double pressureRamp = 0.3;
        /// Added to the exponent of the share for each step of priority.
        double priorityExponentStep = 0.4;
        /// Share of late first bytes that lowers the bound, and how it is lowered and raised.
        double lateShareLimit = 0.25;
        double boundDecrease = 0.85;
        double boundIncrease = 1.05;
        double minimumBoundFactor = 0.5;
        Duration firstByteWindow = std::chrono::milliseconds(1000);
        /// Time between changes of the bound: two digests of the other daemons.
        Duration boundAdjustInterval = std::chrono::milliseconds(300);
        /// First bytes before their share of late ones means anything.
        double minimumFirstBytes = 8.0;
        /// Organisations that are kept; one takes about 200 bytes.
        std::size_t flowLimit = 8192;
        /// Routes whose time at a runner is kept; the platform's largest configurations have some 400.
        std::size_t routeLimit = 4096;
        /// Part of the time left after which a refused caller should have come back; the platform's callers wait no
        /// longer than a third.
        double retryShare = 0.33;
    };

    LoadShedder(const Options& options, TimePoint now);
    explicit LoadShedder(TimePoint now);

    /// @brief Decides on a request and counts it.
    SheddingDecision decide(const AdmissionRequest& offer, const ServiceLoad& load, TimePoint now);
    /// @brief A request was served after it had a runner for @a time.
    void recordServiceTime(std::string_view route, Duration time);
    /// @brief The first byte of an answer came, or will not come any more.
    void recordFirstByte(bool isLate, TimePoint now);
    /// @brief Forgets organisations that were not seen for a while.
    void removeIdleFlows(TimePoint now);

    /// @brief Requests that the service may have under way.
    double bound(const ServiceLoad& load) const;
    /// @brief Requests at one runner that count as load; more of them show a runner that hangs, not a surge.
    double runnerLoadLimit(double slots) const { return bound({ 0.0, slots }) * m_options.fullPressure; }
    /// @brief Whether the service has no more to do than usual.
    bool isWithinBaseline(const ServiceLoad& load) const
    {
        return load.inFlight <= m_options.baselinePressure * bound(load);
    }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t measuredRouteCount() const { return m_serviceTimes.size(); }

private:
    /// A decaying sum, read as a rate over its own age where that is shorter than the window.
    class DecayingRate {
    public:
        void add(double value, Duration window, TimePoint now);
        double perSecond(Duration window, TimePoint now) const;

    private:
        DecayingSum m_sum;
        TimePoint m_startedAt {};
        bool m_hasStarted = false;
    };
    /// The work that an organisation offers: seconds of a slot each second.
    struct Flow {
        DecayingRate recent;
        DecayingRate baseline;
        TimePoint seenAt {};
    };

    Flow& flowOf(std::string_view organisation, TimePoint now);
    double expectedWork(std::string_view route) const;
    bool isSurging(const Flow& flow, double work, TimePoint now) const;
    Duration expectedWait(const ServiceLoad& load) const;
    void adjustBound(const ServiceLoad& load, TimePoint now);
    Duration retryAfter(const AdmissionRequest& offer) const;
    /// Stops the time of usual work while the service is busy.
    void advanceBaselineClock(double pressure, TimePoint now);
    TimePoint baselineTime(TimePoint now) const
    {
        return now - m_baselinePausedTime - (m_isBaselineRunning ? Duration::zero() : now - m_baselineAdvancedAt);
    }

    Options m_options;
    std::unordered_map<std::string, Flow> m_flows;
    /// Mean time at a runner by route, in seconds.
    std::unordered_map<std::string, double> m_serviceTimes;
    double m_meanServiceTime = 0.0;
    double m_meanObjective = 0.0;
    DecayingRate m_firstBytes;
    DecayingRate m_lateFirstBytes;
    double m_boundFactor = 1.0;
    TimePoint m_nextBoundAdjustAt {};
    /// Time in which usual work was not measured.
    Duration m_baselinePausedTime {};
    bool m_isBaselineRunning = true;
    TimePoint m_baselineAdvancedAt {};
};

}
