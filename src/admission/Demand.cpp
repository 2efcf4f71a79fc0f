#include "admission/Demand.h"

#include "common/Hash.h"
#include <algorithm>
#include <numeric>

namespace eelgrassford::admission {

FlowKey flowKeyOf(std::string_view organisation, std::uint32_t priority)
{
    const auto index = std::min<std::uint32_t>(priority, priorityCount - 1);
    return static_cast<FlowKey>(hash64(organisation)) / priorityCount * priorityCount + index;
}

std::uint32_t serviceKeyOf(std::string_view service) { return static_cast<std::uint32_t>(hash64(service)); }

Work ServiceDemand::total() const { return std::accumulate(byPriority.begin(), byPriority.end(), Work { 0 }); }

void keepHeaviest(std::vector<FlowDemand>& flows, std::size_t count)
{
    const auto isHeavier = [](const FlowDemand& left, const FlowDemand& right) {
        return left.work != right.work ? left.work > right.work : left.flow < right.flow;
    };
    const auto kept = std::min(count, flows.size());
    std::partial_sort(flows.begin(), flows.begin() + static_cast<std::ptrdiff_t>(kept), flows.end(), isHeavier);
    flows.resize(kept);
}

void DemandSum::add(std::span<const ServiceDemand> demands)
{
    for (const auto& demand : demands) {
        auto& sum = m_services[demand.service];
        for (std::size_t i = 0; i < priorityCount; ++i)
            sum.byPriority[i] += demand.byPriority[i];
        for (const auto& flow : demand.flows)
            sum.flows[flow.flow] += flow.work;
    }
}

void DemandSum::subtract(std::span<const ServiceDemand> demands)
{
    const auto reduce = [](Work& value, Work part) { value -= std::min(value, part); };
    for (const auto& demand : demands) {
        const auto found = m_services.find(demand.service);
        if (found == m_services.end())
            continue;
        for (std::size_t i = 0; i < priorityCount; ++i)
            reduce(found->second.byPriority[i], demand.byPriority[i]);
        for (const auto& flow : demand.flows) {
            if (const auto known = found->second.flows.find(flow.flow); known != found->second.flows.end())
                reduce(known->second, flow.work);
        }
    }
}

std::vector<ServiceDemand> DemandSum::take(std::size_t flowsPerService) const
{
    std::vector<ServiceDemand> result;
    for (const auto& [service, sum] : m_services) {
        auto& demand = result.emplace_back(ServiceDemand { service, sum.byPriority, {} });
        for (const auto& [flow, work] : sum.flows)
            demand.flows.push_back({ flow, work });
        keepHeaviest(demand.flows, flowsPerService);
    }
    return result;
}

}
