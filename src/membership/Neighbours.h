#pragma once

#include "membership/HostList.h"
#include <set>

namespace eelgrassford::membership {

/// @brief Chooses the entry hosts with which a daemon exchanges heartbeats and digests.
///
/// A small fleet forms a full mesh. A large one forms a full mesh within each data centre; rendezvous hashing adds a
/// few links to other data centres of the region and to other regions. Links are symmetric: each side also computes
/// which hosts choose it.
std::set<HostId> chooseNeighbours(const HostList& list, const HostId& self);

/// @brief Whether a daemon is one of the few in its data centre that read the configuration service themselves.
///
/// Also true for a host that the list does not name.
bool isConfigurationReader(const HostList& list, const HostId& self);

}
