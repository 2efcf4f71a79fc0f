#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassford::admission {

/// Work that callers request, in hundredths of a slot: the slots that are busy with it if all of it is admitted.
using Work = std::uint64_t;
constexpr double workPerSlot = 100.0;

/// Priorities that are told apart; less urgent ones count as the last.
constexpr std::size_t priorityCount = 8;

/// Identifies the requests of one priority of an organisation: the priority in the three lowest bits, a hash of the
/// organisation's name in the others.
using FlowKey = std::uint32_t;
FlowKey flowKeyOf(std::string_view organisation, std::uint32_t priority);
constexpr std::size_t priorityOf(FlowKey key) { return key % priorityCount; }

/// @brief Work of one organisation and priority.
struct FlowDemand {
    FlowKey flow = 0;
    Work work = 0;
    bool operator==(const FlowDemand&) const = default;
};

/// @brief Work that callers request from one service.
struct ServiceDemand {
    /// The lower half of the hash of the service's name.
    std::uint32_t service = 0;
    std::array<Work, priorityCount> byPriority {};
    /// The flows with the most work, which is contained in the sums above.
    std::vector<FlowDemand> flows;
    bool operator==(const ServiceDemand&) const = default;

    Work total() const;
};

/// Key of a service in the messages between daemons.
std::uint32_t serviceKeyOf(std::string_view service);

/// @brief Keeps the @a count flows with the most work, in order of their work.
void keepHeaviest(std::vector<FlowDemand>& flows, std::size_t count);

/// @brief Adds up what several daemons report.
class DemandSum {
public:
    void add(std::span<const ServiceDemand> demands);
    /// @brief Takes a part away, as far as the sum contains it: the sum may be older, or lack the lighter flows.
    void subtract(std::span<const ServiceDemand> demands);
    /// @brief The sums, with at most @a flowsPerService flows of each service.
    std::vector<ServiceDemand> take(std::size_t flowsPerService) const;

private:
    struct Sum {
        std::array<Work, priorityCount> byPriority {};
        std::unordered_map<FlowKey, Work> flows;
    };

    std::unordered_map<std::uint32_t, Sum> m_services;
};

}
