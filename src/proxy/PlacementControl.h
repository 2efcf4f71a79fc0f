#pragma once

#include "fleet/Digest.h"
#include "fleet/Members.h"
#include "proxy/Codec.h"
#include "proxy/PromptIndex.h"
#include "routing/Configuration.h"
#include "runners/WorkPlacement.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::proxy {

/// @brief What the cost of a request depends on.
struct WorkRequest {
    const routing::Route& route;
    /// Null if the configuration does not describe the service.
    const routing::Service* service;
    const std::string& serviceName;
    std::string_view organisation;
    const RequestMetadata& metadata;
    const PromptAffinity& affinity;
};

/// @brief Work of one attempt at a runner that was chosen by work.
struct AttemptWork {
    work::RemainingWork::Dispatched dispatched;
    /// Prompt tokens that the runner computes for it, and those that were pending there before.
    double prefillTokens = 0.0;
    double pendingTokens = 0.0;
    /// Usual time of the whole output, in milliseconds.
    double outputMs = 0.0;
    std::uint64_t events = 0;
    TimePoint sentAt {};
    TimePoint lastEventAt {};
};

/// @brief Chooses between the placement strategies for each service, and learns what placement by work needs.
///
/// A service is placed by work if its deployment must tolerate the loss of data centres, or if its runners report how
/// long work takes on them. All other services are placed by load and prompt prefix alone.
class PlacementControl {
public:
    struct Options {
        runners::PlacementOptions bound;
        /// Data centres whose loss the deployment must tolerate.
        std::uint32_t toleratedDataCentreLosses = 0;
        /// Whether services whose runners report how long work takes on them are placed by work.
        bool followsReports = true;
        /// Whether all services admit by work, otherwise those whose runners report how long work takes on them.
        bool admitsAllByWork = false;
    };

    PlacementControl(const runners::Registry& registry, const Options& options);

    void setOptions(const Options& options);
    /// @brief Chooses the runner for a request.
    runners::Placement place(const runners::PlacementRequest& request, const WorkRequest& work, TimePoint now);
    /// @brief Records that a request is sent to the runner that was chosen for it.
    /// @return empty if its service is not placed by work
    std::optional<AttemptWork> begin(const runners::PlacementRequest& request, const WorkRequest& work,
        const runners::Placement& placement, TimePoint now);
    /// @brief Records that events of the response arrived.
    /// @param events number of all its events so far
    void recordEvents(
        std::optional<AttemptWork>& attempt, const WorkRequest& work, std::uint64_t events, TimePoint now);
    /// @brief Records the end of an attempt, and what it says of the cost of such requests.
    void end(
        std::optional<AttemptWork>& attempt, const WorkRequest& work, runners::Observation observation, TimePoint now);
    /// @brief Takes the slowdown that a runner reports.
    void recordReport(const runners::Runner& runner, const runners::ReportedLoad& load, TimePoint now);

    /// @brief Work that is left of this daemon's requests at a runner.
    fleet::RemainingWork remaining(const runners::Runner& runner) const;
    /// @brief Replaces what the other daemons report.
    void setPeers(const std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary>& summaries);
    /// @brief Drops the state of removed runners; call a few times a second.
    void sweep(TimePoint now) { m_remaining.removeIdle(now); }
    /// @brief Whether a service is placed by work now.
    bool isByWork(std::string_view service, TimePoint now) const;
    /// @brief Whether a service divides its capacity by the work that callers request.
    bool admitsByWork(std::string_view service, TimePoint now) const;

private:
    /// Whether a runner of the service reported lately how long work takes on it.
    bool hasReport(std::string_view service, TimePoint now) const;
    runners::RequestCost costOf(const WorkRequest& work, const work::Rates& rates) const;
    /// Output that the caller expects, in events; empty if it states none.
    static std::optional<double> hintOf(const WorkRequest& work);

    const runners::Registry& m_registry;
    Options m_options;
    work::CostModel m_costs;
    work::RemainingWork m_remaining;
    runners::WorkPlacement m_byWork;
    /// Last time at which a runner of a service reported its slowdown.
    std::map<std::string, TimePoint, std::less<>> m_slowdownReportedAt;
};

}
