#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::membership {

using HostId = std::string;

enum class HostRole { Entry, ModelRunner, ApplicationRunner };

/// @brief What the host list says of a host.
enum class ListedState { Live, Leaving };

/// @brief One line of the host list.
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
    /// Models that a model runner holds.
    std::vector<std::string> models;
    /// Services that an application runner serves.
    std::vector<std::string> services;
    /// Relative capacity.
    double weight = 1.0;
    bool operator==(const Host&) const = default;
};

/// @brief The platform's list of hosts at one revision.
struct HostList {
    std::uint64_t revision = 0;
    std::vector<Host> hosts;
    bool operator==(const HostList&) const = default;
};

/// @brief A host list that could not be read.
struct HostListError {
    std::string what;
    std::string message() const { return "[membership.201] host list: " + what; }
};

/// @brief Reads the platform's JSON host list.
tl::expected<HostList, HostListError> parseHostList(std::string_view text);

/// @brief Writes a host list as JSON, as peers pass it on.
std::string serialize(const HostList& list);

}
