#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::membership {

using HostId = std::string;

/// @brief What runs on a host: this router, or one of the two kinds of upstream.
enum class HostRole { Entry, ModelRunner, ApplicationRunner };

/// @brief State of a host as the platform declares it in the host list.
enum class ListedState { Live, Leaving };

/// @brief One host of the host list.
struct Host {
    HostId id;
    HostRole role = HostRole::Entry;
    std::string region;
    std::string dataCentre;
    /// "IP:PORT" for requests.
    std::string address;
    /// "IP:PORT" for the protocol between daemons; entry hosts only.
    std::string peerAddress;
    ListedState state = ListedState::Live;
    /// Names of the models that a model runner serves.
    std::vector<std::string> models;
    /// Names of the services that an application runner serves.
    std::vector<std::string> services;
    /// Capacity in relation to other hosts, in (0, 1e6].
    double weight = 1.0;
    bool operator==(const Host&) const = default;
};

/// @brief The platform's list of hosts at one revision.
struct HostList {
    std::uint64_t revision = 0;
    std::vector<Host> hosts;
    bool operator==(const HostList&) const = default;
};

/// @brief Reason why a host list was rejected.
struct HostListError {
    std::string what;
    std::string message() const { return "[membership.201] host list: " + what; }
};

/// @brief Parses and checks the platform's host list.
/// @param text JSON
/// @return the list, or the reason why it was rejected
tl::expected<HostList, HostListError> parseHostList(std::string_view text);

/// @brief Writes a host list as JSON, in the form that parseHostList() reads and peers exchange.
std::string serialize(const HostList& list);

}
