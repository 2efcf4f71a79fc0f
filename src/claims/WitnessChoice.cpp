#include "claims/WitnessChoice.h"

#include "common/Hash.h"
#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace eelgrassford::claims {

std::vector<HostId> chooseWitnesses(std::span<const EntryHost> hosts, std::uint32_t group, std::size_t count)
{
    struct Ranked {
        const EntryHost* host;
        std::uint64_t score;
        std::size_t rankInDataCentre;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(hosts.size());
    for (const auto& host : hosts)
        ranked.push_back({ &host, hash64(host.id, group), 0 });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        return std::tie(left.score, left.host->id) < std::tie(right.score, right.host->id);
    });
    std::map<std::string_view, std::size_t> hostsPerDataCentre;
    for (auto& item : ranked)
        item.rankInDataCentre = hostsPerDataCentre[item.host->dataCentre]++;
    std::stable_sort(ranked.begin(), ranked.end(),
        [](const Ranked& left, const Ranked& right) { return left.rankInDataCentre < right.rankInDataCentre; });
    std::vector<HostId> chosen;
    for (std::size_t i = 0; i < ranked.size() && i < count; ++i)
        chosen.push_back(ranked[i].host->id);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}
