#pragma once

#include "admission/WorkAdmission.h"
#include "runners/Registry.h"
#include "telemetry/Metrics.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrassford::proxy {

/// @brief Tracks the load of each service and refuses requests that it cannot serve in time.
///
/// A service admits by work (admission::WorkAdmission) if it is switched on for it, otherwise by pressure alone
/// (admission::LoadShedder).
class OverloadControl {
public:
    explicit OverloadControl(const runners::Registry& registry)
        : m_registry(registry)
    {
    }

    /// @brief Decides whether a service admits a request, and logs a refusal.
    /// @param requestId identifies the request in the log
    /// @return the time after which the caller should try again if the request is refused; nothing if it is admitted
    std::optional<Duration> refuseIfOverloaded(const std::string& service, std::string_view requestId,
        const admission::AdmissionRequest& request, TimePoint now);
    /// @brief Records that the first byte of a response was sent, or that none came within the latency objective.
    /// @param isLate whether the latency objective of the route was exceeded
    void recordFirstByte(const std::string& service, bool isLate, TimePoint now);
    /// @brief Records the time for which a runner worked on a request that it served.
    void recordServiceTime(const std::string& service, std::string_view route, Duration time, TimePoint now);
    /// @brief Switches admission by work on or off for all services.
    void setWorkAware(bool isWorkAware) { m_areAllWorkAware = isWorkAware; }
    /// @brief Switches admission by work on or off for one service, such as one whose runners report their speed.
    void setWorkAware(const std::string& service, bool isWorkAware);
    /// @brief Whether a service admits by work.
    bool isWorkAware(const std::string& service) const
    {
        return m_areAllWorkAware || m_workAwareServices.contains(service);
    }
    /// @brief Work that the callers of this daemon request, for the messages to the other daemons.
    std::vector<admission::ServiceDemand> demand(TimePoint now) const;
    /// @brief Sets what the other daemons report of their demand.
    /// @param clockLead time by which the clock of the fleet is ahead of this daemon's
    void setPeerDemand(std::span<const admission::ServiceDemand> demands, Duration clockLead, TimePoint now);
    /// @brief Detects services that are no longer overloaded; call a few times a second.
    void sweep(TimePoint now);
    /// @brief Updates the load gauges of every service.
    void updateMetrics(telemetry::Metrics& metrics, TimePoint now);

private:
    struct Service {
        admission::LoadShedder shedder;
        admission::WorkAdmission workAdmission;
        /// Refusals by verdict.
        std::map<std::string, std::uint64_t> refusals;
        admission::ServiceLoad load;
        std::optional<TimePoint> loadRefreshedAt;
        /// Whether a request was refused since the load of the service was last within its baseline.
        bool isOverloaded = false;
    };

    Service& serviceOf(const std::string& name, TimePoint now);
    admission::WorkDecision decide(
        const std::string& name, Service& service, const admission::AdmissionRequest& request, TimePoint now);
    /// Whether a runner that limits its rate can take a request now.
    bool hasRateRoom(std::string_view service, TimePoint now) const;
    /// Sums up the load of the usable runners without a limit of their rate, unless the last sum is recent enough.
    void refreshLoad(const std::string& name, Service& service, TimePoint now) const;

    const runners::Registry& m_registry;
    std::map<std::string, Service> m_services;
    bool m_areAllWorkAware = false;
    std::set<std::string> m_workAwareServices;
    Duration m_clockLead {};
};

}
