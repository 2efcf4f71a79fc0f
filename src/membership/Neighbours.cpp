#include "membership/Neighbours.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::membership {

namespace {

    constexpr std::size_t fullFleetSize = 32;
    constexpr std::size_t linksInRegion = 3;
    constexpr std::size_t linksToOtherRegions = 3;
    constexpr std::size_t readersPerDataCentre = 2;

    std::vector<const Host*> entryHosts(const HostList& list)
    {
        std::vector<const Host*> hosts;
        for (const auto& host : list.hosts) {
            if (host.role == HostRole::Entry)
                hosts.push_back(&host);
        }
        return hosts;
    }

    const Host* findHost(const std::vector<const Host*>& hosts, const HostId& id)
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const Host* host) { return host->id == id; });
        return found == hosts.end() ? nullptr : *found;
    }

    /// The hosts that one host picks outside its data centre.
    std::set<HostId> pickLinks(const std::vector<const Host*>& hosts, const Host& from)
    {
        const auto seed = hash64(from.id);
        std::vector<const Host*> ranked = hosts;
        std::sort(ranked.begin(), ranked.end(), [&](const Host* left, const Host* right) {
            return mix64(seed, hash64(left->id)) < mix64(seed, hash64(right->id));
        });
        std::set<HostId> links;
        std::size_t inRegion = 0;
        std::size_t elsewhere = 0;
        for (const auto* host : ranked) {
            if (host->region == from.region && host->dataCentre == from.dataCentre)
                continue;
            auto& count = host->region == from.region ? inRegion : elsewhere;
            if (count++ < (host->region == from.region ? linksInRegion : linksToOtherRegions))
                links.insert(host->id);
        }
        return links;
    }

}

std::set<HostId> chooseNeighbours(const HostList& list, const HostId& self)
{
    const auto hosts = entryHosts(list);
    std::set<HostId> neighbours;
    const auto* own = findHost(hosts, self);
    for (const auto* host : hosts) {
        const bool isNear = own && host->region == own->region && host->dataCentre == own->dataCentre;
        const bool isLinked
            = hosts.size() <= fullFleetSize || isNear || (own && pickLinks(hosts, *host).contains(self));
        if (isLinked)
            neighbours.insert(host->id);
    }
    if (own && hosts.size() > fullFleetSize)
        neighbours.merge(pickLinks(hosts, *own));
    neighbours.erase(self);
    return neighbours;
}

bool isConfigurationReader(const HostList& list, const HostId& self)
{
    const auto hosts = entryHosts(list);
    const auto* own = findHost(hosts, self);
    if (!own)
        return true;
    const auto earlier = std::count_if(hosts.begin(), hosts.end(), [&](const Host* host) {
        return host->dataCentre == own->dataCentre && host->state == ListedState::Live
            && hash64(host->id) < hash64(self);
    });
    return static_cast<std::size_t>(earlier) < readersPerDataCentre;
}

}
