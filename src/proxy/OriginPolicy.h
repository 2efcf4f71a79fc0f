#pragma once

#include "dispatch/StreamOrigins.h"
#include "routing/RouteTable.h"
#include "runners/VersionHistory.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Decides which evidence tells what software began a stream, for the daemon that begins the stream and for
/// those that continue it alike. No I/O.
///
/// Load pattern: a caller returns to another daemon than the one that began its stream, which may have been killed with
/// most others, while configurations, releases and restarts change what each daemon knows. The evidence, in the order
/// in which it is used:
///
/// | evidence | who knows it | lost with | holds |
/// |---|---|---|---|
/// | record | the daemon that sent the first event, and those that it told | these daemons |
/// StreamOrigins::Options::lifetime from the last record on | | sole version | each daemon that read the listing for
/// the window, or was told by one that did | nothing but the proof of the listing | while one version alone has served
/// the only service of the route for the window | | caches | the runners that read the prompt | the cached prompt, and
/// departed runners of other versions | while all runners of other versions can be asked |
///
/// Every stream is recorded, since what a daemon can derive may have changed when it is asked. Only the number of
/// records depends on what can be derived.
class OriginPolicy {
public:
    /// @param versions must outlive the object
    explicit OriginPolicy(const runners::VersionHistory& versions)
        : m_versions(versions)
    {
    }

    /// @brief Records that a configuration replaces another one, whose streams may be continued for a while.
    void recordRoutes(const routing::RouteTable& before, const routing::RouteTable& after, TimePoint now);

    /// @brief The services whose runners may have begun a stream of a route: its destinations, and former ones while
    /// their streams may be continued.
    std::vector<std::string> servicesOf(const routing::Route& route, TimePoint now) const;
    /// @brief The software that began every stream of a route; empty if there may be several.
    std::optional<std::uint64_t> deriveSoftware(const routing::Route& route, TimePoint now) const;

    /// @brief At how many daemons the origin of a stream is kept that a runner of a service begins now.
    dispatch::OriginCopies copiesFor(std::string_view service, TimePoint now) const;
    /// @brief Software whose streams had few copies, and need many from now on, since the call before.
    std::vector<std::uint64_t> takeUnderivable(TimePoint now);

private:
    /// Former destinations with the time at which a route left them.
    using FormerServices = std::map<std::string, TimePoint, std::less<>>;

    const runners::VersionHistory& m_versions;
    /// By host and path prefix.
    std::map<std::pair<std::string, std::string>, FormerServices> m_formerServices;
    std::set<std::uint64_t> m_derivable;
};

}
