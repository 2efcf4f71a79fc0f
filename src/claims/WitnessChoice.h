#pragma once

#include "claims/Messages.h"
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::claims {

/// @brief An entry host of the host list.
struct EntryHost {
    HostId id;
    std::string dataCentre;
};

/// @brief Chooses the witnesses of a group by rendezvous hashing, spread over data centres.
/// @param hosts all entry hosts of the host list
/// @param group index of the group of keys
/// @param count number of witnesses; all hosts are chosen if there are fewer
/// @return the ids of the witnesses, sorted
/// @complexity O(n log n) in the number of hosts
std::vector<HostId> chooseWitnesses(std::span<const EntryHost> hosts, std::uint32_t group, std::size_t count);

}
