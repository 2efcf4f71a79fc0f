#include "membership/HostList.h"

#include <nlohmann/json.hpp>
#include <set>

namespace eelgrassford::membership {

NLOHMANN_JSON_SERIALIZE_ENUM(HostRole,
    { { HostRole::Entry, "entry" }, { HostRole::ModelRunner, "model-runner" },
        { HostRole::ApplicationRunner, "application-runner" } })
NLOHMANN_JSON_SERIALIZE_ENUM(ListedState, { { ListedState::Live, "live" }, { ListedState::Leaving, "leaving" } })
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Host, id, role, region, dataCentre, address, peerAddress, state, models, services, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostList, revision, hosts)

tl::expected<HostList, HostListError> parseHostList(std::string_view text)
{
    HostList list;
    try {
        list = nlohmann::json::parse(text).get<HostList>();
    } catch (const nlohmann::json::exception& error) {
        return tl::make_unexpected(HostListError { error.what() });
    }
    std::set<HostId> ids;
    for (const auto& host : list.hosts) {
        if (host.id.empty() || host.address.empty())
            return tl::make_unexpected(HostListError { "a host has no id or no address" });
        if (!(host.weight > 0.0 && host.weight <= 1e6))
            return tl::make_unexpected(HostListError { "host '" + host.id + "' has a weight outside (0, 1e6]" });
        if (!ids.insert(host.id).second)
            return tl::make_unexpected(HostListError { "host '" + host.id + "' is listed twice" });
    }
    return list;
}

std::string serialize(const HostList& list) { return nlohmann::json(list).dump(); }

}
