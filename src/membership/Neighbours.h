#pragma once

#include "membership/HostList.h"
#include <set>

namespace eelgrassford::membership {

/// @brief Chooses the entry hosts with which a daemon exchanges heartbeats and digests.
///
/// Small fleets are full. A large one is full within each data centre, with a few links by rendezvous to other data
/// centres of the region and to other regions. Links are symmetric: each side computes the other's choice too.
std::set<HostId> chooseNeighbours(const HostList& list, const HostId& self);

/// @brief Whether a daemon is one of the readers of the configuration service in its data centre.
bool isConfigurationReader(const HostList& list, const HostId& self);

}
