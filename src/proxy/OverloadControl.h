#pragma once

#include "admission/LoadShedder.h"
#include "runners/Registry.h"
#include "telemetry/Metrics.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassford::proxy {

/// @brief Measures the load of each service and refuses what it cannot serve in time.
class OverloadControl {
public:
    explicit OverloadControl(const runners::Registry& registry)
        : m_registry(registry)
    {
    }

    /// @brief Decides on a request.
    /// @return when the caller should come back, if the request is refused
    std::optional<Duration> refuse(const std::string& service, std::string_view requestId,
        const admission::AdmissionRequest& offer, TimePoint now);
    void recordFirstByte(const std::string& service, bool isLate, TimePoint now);
    void recordService(const std::string& service, std::string_view route, Duration time, TimePoint now);
    /// @brief Notes services that are no longer overloaded; call a few times a second.
    void sweep(TimePoint now);
    void updateMetrics(telemetry::Metrics& metrics, TimePoint now);

private:
    struct Service {
        admission::LoadShedder shedder;
        admission::ServiceLoad load;
        std::optional<TimePoint> measuredAt;
        bool isOverloaded = false;
    };

    Service& serviceOf(const std::string& name, TimePoint now);
    void measure(const std::string& name, Service& service, TimePoint now) const;

    const runners::Registry& m_registry;
    std::map<std::string, Service> m_services;
};

}
