#include "membership/Neighbours.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::membership {

namespace {

    constexpr std::size_t fullFleetSize = 32;
    constexpr std::size_t linksInRegion = 3;
    constexpr std::size_t linksToOtherRegions = 3;
    constexpr std::size_t readersPerDataCentre = 2;

    /// An entry host and the hash of its name.
    struct Entry {
        const Host* host;
        std::uint64_t hash;
    };

    std::vector<Entry> entryHosts(const HostList& list)
    {
        std::vector<Entry> entries;
        for (const auto& host : list.hosts) {
            if (host.role == HostRole::Entry)
                entries.push_back({ &host, hash64(host.id) });
        }
        return entries;
    }

    const Entry* findEntry(const std::vector<Entry>& entries, const HostId& id)
    {
        const auto found
            = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.host->id == id; });
        return found == entries.end() ? nullptr : &*found;
    }

    bool isSameDataCentre(const Host& left, const Host& right)
    {
        return left.region == right.region && left.dataCentre == right.dataCentre;
    }

    /// The entries that one host picks outside its data centre: the few with the smallest mixed hashes.
    std::vector<const Entry*> pickLinks(const std::vector<Entry>& entries, const Entry& from)
    {
        using Scored = std::pair<std::uint64_t, const Entry*>;
        std::vector<Scored> inRegion;
        std::vector<Scored> elsewhere;
        auto offer = [](std::vector<Scored>& best, std::size_t limit, const Scored& candidate) {
            best.insert(std::upper_bound(best.begin(), best.end(), candidate), candidate);
            if (best.size() > limit)
                best.pop_back();
        };
        for (const auto& entry : entries) {
            if (isSameDataCentre(*entry.host, *from.host))
                continue;
            const Scored candidate { mix64(from.hash, entry.hash), &entry };
            if (entry.host->region == from.host->region)
                offer(inRegion, linksInRegion, candidate);
            else
                offer(elsewhere, linksToOtherRegions, candidate);
        }
        std::vector<const Entry*> links;
        for (const auto* best : { &inRegion, &elsewhere }) {
            for (const auto& [score, entry] : *best)
                links.push_back(entry);
        }
        return links;
    }

}

std::set<HostId> chooseNeighbours(const HostList& list, const HostId& self)
{
    const auto entries = entryHosts(list);
    const auto* own = findEntry(entries, self);
    std::set<HostId> neighbours;
    for (const auto& entry : entries) {
        if (entries.size() <= fullFleetSize || (own && isSameDataCentre(*entry.host, *own->host)))
            neighbours.insert(entry.host->id);
    }
    if (own && entries.size() > fullFleetSize) {
        for (const auto* link : pickLinks(entries, *own))
            neighbours.insert(link->host->id);
        for (const auto& entry : entries) {
            const auto links = pickLinks(entries, entry);
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
    const auto* own = findEntry(entries, self);
    if (!own)
        return true;
    const auto earlier = std::count_if(entries.begin(), entries.end(), [&](const Entry& entry) {
        return isSameDataCentre(*entry.host, *own->host) && entry.host->state == ListedState::Live
            && entry.hash < own->hash;
    });
    return static_cast<std::size_t>(earlier) < readersPerDataCentre;
}

}
