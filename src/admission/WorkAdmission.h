#pragma once

#include "admission/AdmissionWindow.h"
#include "admission/LoadShedder.h"
#include "admission/OrganisationShares.h"

namespace eelgrassford::admission {

/// @brief A decision with what explains it in the log.
struct WorkDecision : SheddingDecision {
    /// Distance of the request from the beginning of the window; it is admitted below the share.
    double position = 0.0;
    std::uint64_t epoch = 0;
    /// Admitted work over the demand of all organisations.
    double meanShare = 1.0;
    /// Work that all callers request, in slots.
    double demand = 0.0;
};

/// @brief Decides which requests of one service to refuse, by the work that organisations request over the whole fleet
/// and by urgency. Does no I/O.
///
/// LoadShedder states how loaded the service is, OrganisationShares what share of a flow is admitted, AdmissionWindow
/// which requests belong to that share. The share follows from the demand, so that it falls before the queues at the
/// runners have grown, and is corrected by the load, since the demand is an estimate.
class WorkAdmission {
public:
    struct Options {
        /// Part of the slots in use below which nothing is refused.
        double idleLoad = 0.5;
        /// Time for which a division of the capacity is used.
        Duration divisionInterval = std::chrono::milliseconds(50);
        /// Age of the load that a daemon knows, of the reports of runners and of digests.
        Duration loadAge = std::chrono::milliseconds(400);
        /// Limits of the change of the capacity for a change of the pressure.
        double minimumGain = 1.0;
        double maximumGain = 3.0;
        /// Longest time after which a refused caller is asked to return. Shares change within seconds; and kinds whose
        /// callers can wait longer than others would be reached by more windows, and so be served before more urgent
        /// ones (in the replay of 112 daemons batch 0.405, assist 0.402).
        Duration latestReturn = std::chrono::seconds(4);
        AdmissionWindow::Options window;
        OrganisationShares::Options shares;
    };

    WorkAdmission()
        : WorkAdmission(Options {})
    {
    }
    explicit WorkAdmission(const Options& options);

    /// @brief Decides on a request and counts it towards its organisation's work.
    /// @param fleetTime see fleet::FleetClock
    WorkDecision decide(const AdmissionRequest& request, const ServiceLoad& load, LoadShedder& shedder,
        Duration fleetTime, TimePoint now);

    OrganisationShares& shares() { return m_shares; }
    const OrganisationShares& shares() const { return m_shares; }

private:
    /// Work per second that may be admitted, in slots.
    double capacity(const ServiceLoad& load, const LoadAssessment& assessment, const LoadShedder& shedder) const;

    Options m_options;
    AdmissionWindow m_window;
    OrganisationShares m_shares;
    TimePoint m_nextDivisionAt {};
};

}
