#include "admission/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassford::admission {

namespace {

    /// Weight of one new value in means over requests.
    constexpr double meanWeight = 0.05;
    /// Time at a runner of a request whose route has not been measured yet.
    constexpr double firstServiceTime = 0.1;
    constexpr Duration flowLifetime = std::chrono::seconds(60);
    constexpr Duration shortestReturn = std::chrono::milliseconds(50);

    void approach(double& mean, double value) { mean = mean == 0.0 ? value : mean + meanWeight * (value - mean); }

}

std::string_view nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Admitted:
        return "admitted";
    case Verdict::Overloaded:
        return "overloaded";
    case Verdict::TooLate:
        return "too-late";
    }
    return "admitted";
}

void LoadShedder::DecayingRate::add(double value, Duration window, TimePoint now)
{
    if (!std::exchange(m_hasBegun, true))
        m_begunAt = now;
    m_sum.add(value, window, now);
}

double LoadShedder::DecayingRate::perSecond(Duration window, TimePoint now) const
{
    if (!m_hasBegun)
        return 0.0;
    // Never over less than a tenth of the window.
    const double seconds = toSeconds(window);
    const double age = std::max(toSeconds(now - m_begunAt), seconds / 10.0);
    return m_sum.at(window, now) / (seconds * (1.0 - std::exp(-age / seconds)));
}

LoadShedder::LoadShedder(const Options& options, TimePoint now)
    : m_options(options)
    , m_adjustAt(now)
    , m_passedAt(now)
{
}

LoadShedder::LoadShedder(TimePoint now)
    : LoadShedder(Options {}, now)
{
}

AdmissionDecision LoadShedder::decide(const Offer& offer, const ServiceLoad& load, TimePoint now)
{
    approach(m_meanObjective, toSeconds(offer.latencyObjective));
    adjustBound(load, now);
    AdmissionDecision result;
    const auto allowed = bound(load);
    result.pressure = allowed > 0.0 ? load.underWay / allowed : 0.0;
    passTime(result.pressure, now);
    auto& flow = flowOf(offer.organisation, now);
    const auto work = workOf(offer.route);
    flow.present.add(work, m_options.presentWindow, now);
    if (m_isCalm)
        flow.usual.add(work, m_options.usualWindow, calmTime(now));
    result.isSurging = isSurging(flow, work, now);
    result.expectedWait = expectedWait(load);
    if (allowed > 0.0 && result.expectedWait >= offer.timeLeft) {
        result.verdict = Verdict::TooLate;
        result.retryAfter = retryAfter(offer);
        return result;
    }
    const auto full = result.isSurging ? m_options.fullPressureOfSurge : m_options.fullPressure;
    const auto room = std::clamp((full - result.pressure) / m_options.pressureRange, 0.0, 1.0);
    // A power leaves every priority some share while it orders them.
    result.share = std::pow(room, 1.0 + m_options.priorityStep * offer.priority);
    if (offer.draw < result.share)
        return result;
    result.verdict = Verdict::Overloaded;
    result.retryAfter = retryAfter(offer);
    return result;
}

void LoadShedder::recordService(std::string_view route, Duration time)
{
    // Routes come and go with configurations; those in use are measured again at once.
    if (m_serviceTimes.size() >= m_options.routeLimit)
        m_serviceTimes.clear();
    approach(m_serviceTimes[std::string(route)], toSeconds(time));
    approach(m_meanServiceTime, toSeconds(time));
}

void LoadShedder::recordFirstByte(bool isLate, TimePoint now)
{
    m_firstBytes.add(1.0, m_options.lateWindow, now);
    m_lateFirstBytes.add(isLate ? 1.0 : 0.0, m_options.lateWindow, now);
}

void LoadShedder::sweep(TimePoint now)
{
    std::erase_if(m_flows, [now](const auto& entry) { return now - entry.second.seenAt > flowLifetime; });
}

double LoadShedder::bound(const ServiceLoad& load) const
{
    // Requests that wait are worked off at the rate of slots over service time.
    const double queue = m_meanServiceTime > 0.0 ? m_options.queueShare * m_meanObjective / m_meanServiceTime : 0.0;
    return load.slots * (1.0 + queue) * m_boundFactor;
}

void LoadShedder::passTime(double pressure, TimePoint now)
{
    if (!m_isCalm)
        m_busyTime += now - m_passedAt;
    m_passedAt = now;
    // A surge must not become the usual.
    m_isCalm = pressure < m_options.usualPressure;
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

double LoadShedder::workOf(std::string_view route) const
{
    const auto found = m_serviceTimes.find(std::string(route));
    return found == m_serviceTimes.end() ? firstServiceTime : found->second;
}

Duration LoadShedder::expectedWait(const ServiceLoad& load) const
{
    if (load.slots <= 0.0 || load.underWay <= load.slots)
        return Duration::zero();
    return fromSeconds((load.underWay - load.slots) / load.slots * m_meanServiceTime);
}

bool LoadShedder::isSurging(const Flow& flow, double work, TimePoint now) const
{
    const auto present = flow.present.perSecond(m_options.presentWindow, now);
    const auto usual = flow.usual.perSecond(m_options.usualWindow, calmTime(now));
    // A few requests more than usual are chance, where a daemon sees little of an organisation.
    const auto chance = m_options.chanceRequests * work / toSeconds(m_options.presentWindow);
    return present > m_options.surgeFactor * usual + chance;
}

void LoadShedder::adjustBound(const ServiceLoad& load, TimePoint now)
{
    if (now < m_adjustAt)
        return;
    m_adjustAt = now + m_options.adjustInterval;
    const auto all = m_firstBytes.perSecond(m_options.lateWindow, now);
    const auto late = m_lateFirstBytes.perSecond(m_options.lateWindow, now);
    const bool isBusy = load.slots > 0.0 && load.underWay >= m_options.leastBound * load.slots;
    const bool areLate
        = all * toSeconds(m_options.lateWindow) >= m_options.lateSamples && late > m_options.lateShare * all;
    // Late answers of runners that are not busy have other causes, which refusals would not mend.
    if (areLate && isBusy)
        m_boundFactor = std::max(m_options.leastBound, m_boundFactor * m_options.boundCut);
    else if (!areLate)
        m_boundFactor = std::min(1.0, m_boundFactor * m_options.boundRecovery);
}

Duration LoadShedder::retryAfter(const Offer& offer) const
{
    // Returns are spread from the time in which a slot becomes free to the last moment that leaves time for an answer.
    const auto latest = std::max(fromSeconds(toSeconds(offer.timeLeft) * m_options.returnShare), shortestReturn);
    const auto earliest = std::clamp(fromSeconds(m_meanServiceTime), shortestReturn, latest);
    return earliest + fromSeconds(toSeconds(latest - earliest) * offer.returnDraw);
}

}
