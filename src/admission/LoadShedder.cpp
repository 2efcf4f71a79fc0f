#include "admission/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassford::admission {

namespace {

    /// Weight of one new value in means over requests.
    constexpr double meanSmoothing = 0.05;
    /// Time at a runner of a request whose route has not been measured yet.
    constexpr double defaultServiceTime = 0.1;
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
    // Never over less than a tenth of the window.
    const double seconds = toSeconds(window);
    const double age = std::max(toSeconds(now - m_startedAt), seconds / 10.0);
    return m_sum.at(window, now) / (seconds * (1.0 - std::exp(-age / seconds)));
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

SheddingDecision LoadShedder::decide(const AdmissionRequest& offer, const ServiceLoad& load, TimePoint now)
{
    updateMean(m_meanObjective, toSeconds(offer.latencyObjective));
    adjustBound(load, now);
    SheddingDecision result;
    const auto allowed = bound(load);
    result.pressure = allowed > 0.0 ? load.inFlight / allowed : 0.0;
    advanceBaselineClock(result.pressure, now);
    auto& flow = flowOf(offer.organisation, now);
    const auto work = expectedWork(offer.route);
    flow.recent.add(work, m_options.recentWindow, now);
    if (m_isBaselineRunning)
        flow.baseline.add(work, m_options.baselineWindow, baselineTime(now));
    result.isSurging = isSurging(flow, work, now);
    result.expectedWait = expectedWait(load);
    if (allowed > 0.0 && result.expectedWait >= offer.timeLeft) {
        result.verdict = SheddingVerdict::TooLate;
        result.retryAfter = retryAfter(offer);
        return result;
    }
    const auto full = result.isSurging ? m_options.surgingFullPressure : m_options.fullPressure;
    const auto room = std::clamp((full - result.pressure) / m_options.pressureRamp, 0.0, 1.0);
    // A power leaves every priority some share while it orders them.
    result.share = std::pow(room, 1.0 + m_options.priorityExponentStep * offer.priority);
    if (offer.admissionDraw < result.share)
        return result;
    result.verdict = SheddingVerdict::Overloaded;
    result.retryAfter = retryAfter(offer);
    return result;
}

void LoadShedder::recordServiceTime(std::string_view route, Duration time)
{
    // Routes come and go with configurations; those in use are measured again at once.
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
    // Requests that wait are worked off at the rate of slots over service time.
    const double queue = m_meanServiceTime > 0.0 ? m_options.queueShare * m_meanObjective / m_meanServiceTime : 0.0;
    return load.slots * (1.0 + queue) * m_boundFactor;
}

void LoadShedder::advanceBaselineClock(double pressure, TimePoint now)
{
    if (!m_isBaselineRunning)
        m_baselinePausedTime += now - m_baselineAdvancedAt;
    m_baselineAdvancedAt = now;
    // A surge must not become the usual.
    m_isBaselineRunning = pressure < m_options.baselinePressure;
}

LoadShedder::Flow& LoadShedder::flowOf(std::string_view organisation, TimePoint now)
{
    // Beyond the limit the rest shares one flow.
    std::string key(organisation);
    if (m_flows.size() >= m_options.flowLimit && !m_flows.contains(key))
        key.clear();
    auto& flow = m_flows[key];
    flow.seenAt = now;
    return flow;
}

double LoadShedder::expectedWork(std::string_view route) const
{
    const auto found = m_serviceTimes.find(std::string(route));
    return found == m_serviceTimes.end() ? defaultServiceTime : found->second;
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
    // A few requests more than usual are chance, where a daemon sees little of an organisation.
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
    const bool areLate = all * toSeconds(m_options.firstByteWindow) >= m_options.minimumFirstBytes
        && late > m_options.lateShareLimit * all;
    // Late answers of runners that are not busy have other causes, which refusals would not mend.
    if (areLate && isBusy)
        m_boundFactor = std::max(m_options.minimumBoundFactor, m_boundFactor * m_options.boundDecrease);
    else if (!areLate)
        m_boundFactor = std::min(1.0, m_boundFactor * m_options.boundIncrease);
}

Duration LoadShedder::retryAfter(const AdmissionRequest& offer) const
{
    // Returns are spread from the time in which a slot becomes free to the last moment that leaves time for an answer.
    const auto latest = std::max(fromSeconds(toSeconds(offer.timeLeft) * m_options.retryShare), minimumRetryAfter);
    const auto earliest = std::clamp(fromSeconds(m_meanServiceTime), minimumRetryAfter, latest);
    return earliest + fromSeconds(toSeconds(latest - earliest) * offer.retryDraw);
}

}
