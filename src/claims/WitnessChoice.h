#pragma once

#include "claims/Messages.h"
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::claims {

/// @brief An entry host as the host list gives it.
struct EntryHost {
    HostId id;
    std::string dataCentre;
};

/// @brief Chooses the witnesses of a group by rendezvous, spread over data centres.
/// @param hosts all entry hosts that the list names
/// @param group the group of keys
/// @param count witnesses wanted; fewer hosts mean all of them
/// @complexity O(n log n) in the number of hosts
std::vector<HostId> chooseWitnesses(std::span<const EntryHost> hosts, std::uint32_t group, std::size_t count);

}
