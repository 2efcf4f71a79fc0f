#include "proxy/Router.h"

#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

void Router::setEvacuatedDataCentres(const std::set<std::string>& dataCentres)
{
    for (const auto& change : m_registry.setEvacuated(dataCentres, m_clock())) {
        std::uint64_t inFlight = 0;
        for (const auto* runner : change.runners)
            inFlight += runner->ownLoad;
        if (change.isEvacuated && change.runners.empty())
            telemetry::logWarning("data-centre-unknown", { { "data_centre", change.dataCentre } });
        else
            telemetry::logWarning(change.isEvacuated ? "data-centre-evacuated" : "data-centre-returned",
                { { "data_centre", change.dataCentre },
                    { "runners", static_cast<std::uint64_t>(change.runners.size()) }, { "requests", inFlight } });
        if (!change.isEvacuated)
            continue;
        for (const auto* runner : change.runners)
            recallRequests(runner->entry.id, "its data centre is evacuated");
    }
    m_metrics.setGauge("eelgrassford_evacuated_data_centres", static_cast<double>(dataCentres.size()));
}

}
