#include "admission/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassford::admission {

namespace {

    /// Weight of a new value in exponentially weighted means over requests.
    constexpr double meanSmoothing = 0.05;
    /// Assumed service time of a route without a measurement, in seconds.
    constexpr double defaultServiceSeconds = 0.1;
    constexpr Duration idleFlowLifetime = std::chrono::seconds(60);
    constexpr Duration minimumRetryAfter = std::chrono::milliseconds(50);

    void updateMean(double& mean, double value) { mean = mean == 0.0 ? value : mean + meanSmoothing * (value - mean); }

}

std::string_view nameOf(SheddingVerdict verdict)
{
    switch (verdict) {
    case SheddingVerdict::Admitted:
        return "admitted";
    case SheddingVerdict::Overloaded:
        return "overloaded";
    case SheddingVerdict::TooLate:
        return "too-late";
    case SheddingVerdict::OverShare:
        return "over-share";
    }
    return "admitted";
}

void LoadShedder::DecayingRate::add(double value, Duration window, TimePoint now)
{
    if (!std::exchange(m_hasStarted, true))
        m_startedAt = now;
    m_sum.add(value, window, now);
}

double LoadShedder::DecayingRate::perSecond(Duration window, TimePoint now) const
{
    if (!m_hasStarted)
        return 0.0;
    // The age counts as at least a tenth of the window; a shorter one would overstate the rate.
    const double seconds = toSeconds(window);
    const double age = std::max(toSeconds(now - m_startedAt), seconds / 10.0);
    return m_sum.valueAt(window, now) / (seconds * (1.0 - std::exp(-age / seconds)));
}

LoadShedder::LoadShedder(const Options& options, TimePoint now)
    : m_options(options)
    , m_nextBoundAdjustAt(now)
    , m_baselineAdvancedAt(now)
{
}

LoadShedder::LoadShedder(TimePoint now)
    : LoadShedder(Options {}, now)
{
}

LoadAssessment LoadShedder::assess(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now)
{
    updateMean(m_meanObjective, toSeconds(request.latencyObjective));
    adjustBound(load, now);
    LoadAssessment result;
    result.bound = bound(load);
    result.pressure = result.bound > 0.0 ? load.inFlight / result.bound : 0.0;
    advanceBaselineClock(result.pressure, now);
    result.expectedWait = expectedWait(load);
    result.largestShare = std::clamp((m_options.fullPressure - result.pressure) / m_options.pressureRamp, 0.0, 1.0);
    return result;
}

SheddingDecision LoadShedder::decide(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now)
{
    const auto assessment = assess(request, load, now);
    SheddingDecision result;
    result.pressure = assessment.pressure;
    auto& flow = flowOf(request.organisation, now);
    const auto work = expectedServiceSeconds(request.route);
    flow.recent.add(work, m_options.recentWindow, now);
    if (m_isBaselineRunning)
        flow.baseline.add(work, m_options.baselineWindow, baselineTime(now));
    result.isSurging = isSurging(flow, work, now);
    result.expectedWait = assessment.expectedWait;
    if (assessment.bound > 0.0 && result.expectedWait >= request.timeLeft) {
        result.verdict = SheddingVerdict::TooLate;
        result.retryAfter = retryAfter(request);
        return result;
    }
    const auto full = result.isSurging ? m_options.surgingFullPressure : m_options.fullPressure;
    const auto room = std::clamp((full - result.pressure) / m_options.pressureRamp, 0.0, 1.0);
    // The power orders the priorities, and leaves each of them a share until the pressure is full.
    result.share = std::pow(room, 1.0 + m_options.priorityExponentStep * request.priority);
    if (request.admissionDraw < result.share)
        return result;
    result.verdict = SheddingVerdict::Overloaded;
    result.retryAfter = retryAfter(request);
    return result;
}

void LoadShedder::recordServiceTime(std::string_view route, Duration time)
{
    // Routes change with the configuration; those still in use are measured again at once.
    if (m_serviceTimes.size() >= m_options.routeLimit)
        m_serviceTimes.clear();
    updateMean(m_serviceTimes[std::string(route)], toSeconds(time));
    updateMean(m_meanServiceTime, toSeconds(time));
}

void LoadShedder::recordFirstByte(bool isLate, TimePoint now)
{
    m_firstBytes.add(1.0, m_options.firstByteWindow, now);
    m_lateFirstBytes.add(isLate ? 1.0 : 0.0, m_options.firstByteWindow, now);
}

void LoadShedder::removeIdleFlows(TimePoint now)
{
    std::erase_if(m_flows, [now](const auto& entry) { return now - entry.second.seenAt > idleFlowLifetime; });
}

double LoadShedder::bound(const ServiceLoad& load) const
{
    // Queued requests are served at a rate of slots over service time; this is the queue for each slot.
    const double queue = m_meanServiceTime > 0.0 ? m_options.queueShare * m_meanObjective / m_meanServiceTime : 0.0;
    return load.slots * (1.0 + queue) * m_boundFactor;
}

void LoadShedder::advanceBaselineClock(double pressure, TimePoint now)
{
    if (!m_isBaselineRunning)
        m_baselinePausedTime += now - m_baselineAdvancedAt;
    m_baselineAdvancedAt = now;
    // Work under high pressure is left out so that a surge does not raise the baseline.
    m_isBaselineRunning = pressure < m_options.baselinePressure;
}

LoadShedder::Flow& LoadShedder::flowOf(std::string_view organisation, TimePoint now)
{
    // Organisations beyond the limit share one flow.
    std::string key(organisation);
    if (m_flows.size() >= m_options.flowLimit && !m_flows.contains(key))
        key.clear();
    auto& flow = m_flows[key];
    flow.seenAt = now;
    return flow;
}

double LoadShedder::expectedServiceSeconds(std::string_view route) const
{
    const auto found = m_serviceTimes.find(std::string(route));
    return found == m_serviceTimes.end() ? defaultServiceSeconds : found->second;
}

Duration LoadShedder::expectedWait(const ServiceLoad& load) const
{
    if (load.slots <= 0.0 || load.inFlight <= load.slots)
        return Duration::zero();
    return fromSeconds((load.inFlight - load.slots) / load.slots * m_meanServiceTime);
}

bool LoadShedder::isSurging(const Flow& flow, double work, TimePoint now) const
{
    const auto recent = flow.recent.perSecond(m_options.recentWindow, now);
    const auto baseline = flow.baseline.perSecond(m_options.baselineWindow, baselineTime(now));
    // A daemon that gets few requests of an organisation may get some more than usual by chance.
    const auto tolerance = m_options.surgeTolerance * work / toSeconds(m_options.recentWindow);
    return recent > m_options.surgeFactor * baseline + tolerance;
}

void LoadShedder::adjustBound(const ServiceLoad& load, TimePoint now)
{
    if (now < m_nextBoundAdjustAt)
        return;
    m_nextBoundAdjustAt = now + m_options.boundAdjustInterval;
    const auto all = m_firstBytes.perSecond(m_options.firstByteWindow, now);
    const auto late = m_lateFirstBytes.perSecond(m_options.firstByteWindow, now);
    const bool isBusy = load.slots > 0.0 && load.inFlight >= m_options.minimumBoundFactor * load.slots;
    const bool hasManyLate = all * toSeconds(m_options.firstByteWindow) >= m_options.minimumFirstBytes
        && late > m_options.lateShareLimit * all;
    // If the runners are not busy, late answers have other causes, which refusals would not remove.
    if (hasManyLate && isBusy)
        m_boundFactor = std::max(m_options.minimumBoundFactor, m_boundFactor * m_options.boundDecreaseFactor);
    else if (!hasManyLate)
        m_boundFactor = std::min(1.0, m_boundFactor * m_options.boundIncreaseFactor);
}

Duration LoadShedder::latestRetry(const AdmissionRequest& request) const
{
    return std::max(fromSeconds(toSeconds(request.timeLeft) * m_options.retryShare), minimumRetryAfter);
}

Duration LoadShedder::retryAfter(const AdmissionRequest& request) const
{
    // Retries are spread from the time in which a slot becomes free to the last moment that leaves time for an answer.
    const auto latest = latestRetry(request);
    const auto earliest = std::clamp(fromSeconds(m_meanServiceTime), minimumRetryAfter, latest);
    return earliest + fromSeconds(toSeconds(latest - earliest) * request.retryDraw);
}

}
