#include "membership/Neighbours.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::membership {

namespace {

    /// Largest number of entry hosts that form a full mesh.
    constexpr std::size_t fullMeshLimit = 32;
    /// Links that each host chooses to other data centres of its region.
    constexpr std::size_t linksInRegion = 3;
    constexpr std::size_t linksToOtherRegions = 3;
    constexpr std::size_t readersPerDataCentre = 2;

    /// An entry host and the hash of its id.
    struct HashedHost {
        const Host* host;
        std::uint64_t hash;
    };

    std::vector<HashedHost> entryHosts(const HostList& list)
    {
        std::vector<HashedHost> entries;
        for (const auto& host : list.hosts) {
            if (host.role == HostRole::Entry)
                entries.push_back({ &host, hash64(host.id) });
        }
        return entries;
    }

    const HashedHost* findHost(const std::vector<HashedHost>& entries, const HostId& id)
    {
        const auto found = std::find_if(
            entries.begin(), entries.end(), [&](const HashedHost& entry) { return entry.host->id == id; });
        return found == entries.end() ? nullptr : &*found;
    }

    bool isSameDataCentre(const Host& left, const Host& right)
    {
        return left.region == right.region && left.dataCentre == right.dataCentre;
    }

    /// The links that one host chooses outside its data centre: the hosts with the smallest rendezvous scores.
    std::vector<const HashedHost*> chooseLinks(const std::vector<HashedHost>& entries, const HashedHost& from)
    {
        using ScoredHost = std::pair<std::uint64_t, const HashedHost*>;
        std::vector<ScoredHost> inRegion;
        std::vector<ScoredHost> otherRegions;
        auto keepSmallest = [](std::vector<ScoredHost>& best, std::size_t limit, const ScoredHost& candidate) {
            best.insert(std::upper_bound(best.begin(), best.end(), candidate), candidate);
            if (best.size() > limit)
                best.pop_back();
        };
        for (const auto& entry : entries) {
            if (isSameDataCentre(*entry.host, *from.host))
                continue;
            const ScoredHost candidate { mix64(from.hash, entry.hash), &entry };
            if (entry.host->region == from.host->region)
                keepSmallest(inRegion, linksInRegion, candidate);
            else
                keepSmallest(otherRegions, linksToOtherRegions, candidate);
        }
        std::vector<const HashedHost*> links;
        for (const auto* best : { &inRegion, &otherRegions }) {
            for (const auto& [score, entry] : *best)
                links.push_back(entry);
        }
        return links;
    }

}

std::set<HostId> chooseNeighbours(const HostList& list, const HostId& self)
{
    const auto entries = entryHosts(list);
    const auto* own = findHost(entries, self);
    std::set<HostId> neighbours;
    for (const auto& entry : entries) {
        if (entries.size() <= fullMeshLimit || (own && isSameDataCentre(*entry.host, *own->host)))
            neighbours.insert(entry.host->id);
    }
    if (own && entries.size() > fullMeshLimit) {
        for (const auto* link : chooseLinks(entries, *own))
            neighbours.insert(link->host->id);
        for (const auto& entry : entries) {
            const auto links = chooseLinks(entries, entry);
            if (std::find(links.begin(), links.end(), own) != links.end())
                neighbours.insert(entry.host->id);
        }
    }
    neighbours.erase(self);
    return neighbours;
}

bool isConfigurationReader(const HostList& list, const HostId& self)
{
    const auto entries = entryHosts(list);
    const auto* own = findHost(entries, self);
    if (!own)
        return true;
    const auto liveHostsBefore = std::count_if(entries.begin(), entries.end(), [&](const HashedHost& entry) {
        return isSameDataCentre(*entry.host, *own->host) && entry.host->state == ListedState::Live
            && entry.hash < own->hash;
    });
    return static_cast<std::size_t>(liveHostsBefore) < readersPerDataCentre;
}

}
