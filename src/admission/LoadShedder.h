#pragma once

#include "common/DecayingSum.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::admission {

/// @brief Load and capacity of one service as known to this daemon.
struct ServiceLoad {
    /// Requests in flight to its usable runners from all daemons.
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
    /// Time within which the answer, or the first event of a stream, should arrive.
    Duration latencyObjective {};
    /// Time until the request's deadline.
    Duration timeLeft {};
    /// Random number in [0, 1) that decides on admission.
    double admissionDraw = 0.0;
    /// Random number in [0, 1) that spreads the time of the retry.
    double retryDraw = 0.0;
    /// Hash of the organisation, target and body, equal for repeats.
    std::uint64_t hash = 0;
};

/// @brief Outcome of the decision on one request.
enum class SheddingVerdict {
    Admitted,
    /// The service is close to or beyond its bound, and the random draw fell outside the admitted share.
    Overloaded,
    /// The expected wait reaches the request's deadline.
    TooLate,
    /// The organisation requests more than its fair share of the service's capacity.
    OverShare,
};

std::string_view nameOf(SheddingVerdict verdict);

/// @brief A verdict with the figures that explain it.
struct SheddingDecision {
    SheddingVerdict verdict = SheddingVerdict::Admitted;
    /// For refusals: time after which to retry.
    Duration retryAfter {};
    /// Requests in flight over the bound; 0 without slots.
    double pressure = 0.0;
    /// Share of such requests that is admitted now.
    double share = 1.0;
    /// Whether the organisation sends much more than usual.
    bool isSurging = false;
    /// Expected wait for a slot.
    Duration expectedWait {};
};

/// @brief Load of a service as the shedder judges it.
struct LoadAssessment {
    /// Requests in flight at which the service counts as fully loaded.
    double bound = 0.0;
    /// Requests in flight over the bound; 0 without slots.
    double pressure = 0.0;
    /// Expected wait for a slot.
    Duration expectedWait {};
    /// Upper limit of the share of all requests that may be admitted at this pressure.
    double largestShare = 1.0;
};

/// @brief Decides which requests of one service to refuse at once while it has more than it can serve in time. Does no
/// I/O.
///
/// Load pattern: callers send more than the runners can serve within the latency objective. Without a bound, queues
/// grow until requests reach their deadlines while runners work on them, and that work is lost.
///
/// The bound limits the requests in flight over the whole fleet: the runners' slots plus a queue that is served within
/// a part of the latency objective. The admitted share falls as the load approaches the bound. It falls earlier for
/// organisations that send more than usual, and further for less urgent routes, but no route's share reaches zero
/// before that of the others. All daemons see the same load, so the digests that report it are the only messages
/// needed.
class LoadShedder {
public:
    struct Options {
        /// Part of the latency objective that a request may wait for a slot.
        double queueShare = 0.25;
        /// Window over which the recent work of an organisation is averaged.
        Duration recentWindow = std::chrono::milliseconds(2000);
        /// Window over which the usual work of an organisation, its baseline, is averaged.
        Duration baselineWindow = std::chrono::seconds(30);
        /// Pressure below which work counts towards the baseline.
        double baselinePressure = 0.7;
        /// Multiple of the baseline above which an organisation is surging.
        double surgeFactor = 2.0;
        /// Requests in the recent window beyond that multiple that are still no surge.
        double surgeTolerance = 3.0;
        /// Pressure at which nothing more is admitted.
        double fullPressure = 1.4;
        /// The same for surging organisations.
        double surgingFullPressure = 1.1;
        /// Range of pressure below these over which the admitted share falls from 1 to 0.
        double pressureRamp = 0.3;
        /// Added to the exponent of the admitted share for each step of priority.
        double priorityExponentStep = 0.4;
        /// Share of late first bytes above which the bound is lowered.
        double lateShareLimit = 0.25;
        /// Factors by which one adjustment lowers or raises the bound.
        double boundDecreaseFactor = 0.85;
        double boundIncreaseFactor = 1.05;
        /// Lower limit of the product of these factors; also the share of slots in use below which late first bytes do
        /// not lower the bound.
        double minimumBoundFactor = 0.5;
        /// Window over which first bytes are counted.
        Duration firstByteWindow = std::chrono::milliseconds(1000);
        /// Time between adjustments of the bound: two digest intervals of the other daemons.
        Duration boundAdjustInterval = std::chrono::milliseconds(300);
        /// First bytes needed for a meaningful share of late ones.
        double minimumFirstBytes = 8.0;
        /// Organisations that are tracked; each takes about 200 bytes.
        std::size_t flowLimit = 8192;
        /// Routes whose service time is kept; the platform's largest configurations have some 400.
        std::size_t routeLimit = 4096;
        /// Part of the time left within which a refused caller is asked to retry; the platform's callers wait no longer
        /// than a third.
        double retryShare = 0.33;
    };

    LoadShedder(const Options& options, TimePoint now);
    explicit LoadShedder(TimePoint now);

    /// @brief Decides on a request and counts it towards its organisation's work.
    SheddingDecision decide(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now);
    /// @brief Judges the load for a request, and adjusts the bound.
    LoadAssessment assess(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now);
    /// @brief Expected time that a runner takes for a request of a route.
    double expectedServiceSeconds(std::string_view route) const;
    /// @brief Mean time that a runner takes for a request; 0 before the first one.
    double meanServiceSeconds() const { return m_meanServiceTime; }
    /// @brief Longest time after which a refused caller may be asked to return.
    Duration latestRetry(const AdmissionRequest& request) const;
    /// @brief Records the time that a runner took to serve a request.
    void recordServiceTime(std::string_view route, Duration time);
    /// @brief Records that the first byte of an answer arrived, or that it will not arrive any more.
    void recordFirstByte(bool isLate, TimePoint now);
    /// @brief Removes organisations without requests for a while.
    void removeIdleFlows(TimePoint now);

    /// @brief Requests in flight at which the service counts as fully loaded.
    double bound(const ServiceLoad& load) const;
    /// @brief Requests in flight to a runner with @a slots up to which they count as load; more indicate a runner that
    /// hangs rather than a surge.
    double runnerLoadLimit(double slots) const { return bound({ 0.0, slots }) * m_options.fullPressure; }
    /// @brief Whether the pressure is within the range that counts as usual.
    bool isWithinBaseline(const ServiceLoad& load) const
    {
        return load.inFlight <= m_options.baselinePressure * bound(load);
    }
    /// @brief Number of tracked organisations; those beyond the limit count as one.
    std::size_t flowCount() const { return m_flows.size(); }
    /// @brief Number of routes with a measured service time.
    std::size_t measuredRouteCount() const { return m_serviceTimes.size(); }

private:
    /// A decaying sum, read as a rate per second over the window, or over the sum's own age if that is shorter.
    class DecayingRate {
    public:
        void add(double value, Duration window, TimePoint now);
        double perSecond(Duration window, TimePoint now) const;

    private:
        DecayingSum m_sum;
        TimePoint m_startedAt {};
        bool m_hasStarted = false;
    };
    /// Work that an organisation's requests bring, in slot-seconds per second.
    struct Flow {
        DecayingRate recent;
        DecayingRate baseline;
        TimePoint seenAt {};
    };

    Flow& flowOf(std::string_view organisation, TimePoint now);
    bool isSurging(const Flow& flow, double work, TimePoint now) const;
    Duration expectedWait(const ServiceLoad& load) const;
    void adjustBound(const ServiceLoad& load, TimePoint now);
    Duration retryAfter(const AdmissionRequest& request) const;
    /// Advances the clock of the baselines, which stops while the service is busy.
    void advanceBaselineClock(double pressure, TimePoint now);
    TimePoint baselineTime(TimePoint now) const
    {
        return now - m_baselinePausedTime - (m_isBaselineRunning ? Duration::zero() : now - m_baselineAdvancedAt);
    }

    Options m_options;
    std::unordered_map<std::string, Flow> m_flows;
    /// Mean service time by route, in seconds.
    std::unordered_map<std::string, double> m_serviceTimes;
    /// Mean service time and mean latency objective of all requests, in seconds.
    double m_meanServiceTime = 0.0;
    double m_meanObjective = 0.0;
    DecayingRate m_firstBytes;
    DecayingRate m_lateFirstBytes;
    double m_boundFactor = 1.0;
    TimePoint m_nextBoundAdjustAt {};
    /// Total time for which the clock of the baselines was stopped.
    Duration m_baselinePausedTime {};
    bool m_isBaselineRunning = true;
    TimePoint m_baselineAdvancedAt {};
};

}
