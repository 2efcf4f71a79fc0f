#pragma once

#include "admission/Demand.h"
#include "dispatch/CrashRegistry.h"
#include "fleet/Digest.h"
#include "runners/Departures.h"
#include <vector>

namespace eelgrassford::proxy {

/// @brief What a daemon tells the others about the runners and the demand.
struct RunnerReport {
    /// Load and health as this daemon sees them.
    std::vector<fleet::RunnerState> states;
    /// Requests, and parts of prompts, that crashed runners.
    std::vector<dispatch::CrashRecord> crashes;
    /// What runners stated of themselves.
    std::vector<fleet::RunnerStatement> statements;
    /// Versions that alone serve a service, with the time for which that is known.
    std::vector<runners::SoleVersion> soleVersions;
    /// Versions whose runners left lately.
    std::vector<runners::Departure> departures;
    /// Work that the callers of this daemon request from services that admit by work.
    std::vector<admission::ServiceDemand> demands;
};

}
