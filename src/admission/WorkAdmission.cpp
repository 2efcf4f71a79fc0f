#include "admission/WorkAdmission.h"

#include <algorithm>

namespace eelgrassford::admission {

WorkAdmission::WorkAdmission(const Options& options)
    : m_options(options)
    , m_window(options.window)
    , m_shares(options.shares)
{
}

double WorkAdmission::capacity(
    const ServiceLoad& load, const LoadAssessment& assessment, const LoadShedder& shedder) const
{
    // The load answers to what is admitted within the time that requests stay, and is known late. A stronger correction
    // of short requests would make all daemons admit too much and too little in turn.
    const auto stay = shedder.meanServiceSeconds() * assessment.bound / load.slots;
    const auto gain
        = std::clamp(stay / (2.0 * toSeconds(m_options.loadAge)), m_options.minimumGain, m_options.maximumGain);
    return load.slots * std::max(0.0, 1.0 + gain * (1.0 - assessment.pressure));
}

WorkDecision WorkAdmission::decide(
    const AdmissionRequest& request, const ServiceLoad& load, LoadShedder& shedder, Duration fleetTime, TimePoint now)
{
    const auto assessment = shedder.assess(request, load, now);
    const auto flow = flowKeyOf(request.organisation, request.priority);
    m_shares.record(flow, shedder.expectedServiceSeconds(request.route), now);
    WorkDecision result;
    result.pressure = assessment.pressure;
    result.expectedWait = assessment.expectedWait;
    result.epoch = m_window.epochAt(fleetTime);
    result.position = AdmissionWindow::positionOf(request.hash, result.epoch);
    if (load.inFlight < m_options.idleLoad * load.slots || load.slots <= 0.0) {
        m_shares.admitAll();
        m_nextDivisionAt = now;
        return result;
    }
    if (now >= m_nextDivisionAt) {
        m_nextDivisionAt = now + m_options.divisionInterval;
        m_shares.divide(capacity(load, assessment, shedder), assessment.largestShare, now);
    }
    result.share = m_shares.shareOf(flow);
    result.meanShare = m_shares.meanShare();
    result.demand = m_shares.demand();
    result.isSurging = result.share < m_shares.shareOfLightFlows(priorityOf(flow));
    if (result.expectedWait >= request.timeLeft)
        result.verdict = SheddingVerdict::TooLate;
    else if (result.position >= result.share)
        result.verdict = result.isSurging ? SheddingVerdict::OverShare : SheddingVerdict::Overloaded;
    if (result.verdict != SheddingVerdict::Admitted) {
        const auto latest = std::min(shedder.latestRetry(request), m_options.latestReturn);
        result.retryAfter = m_window.retryAfter(request.hash, result.share, fleetTime, latest, request.retryDraw);
    }
    return result;
}

}
