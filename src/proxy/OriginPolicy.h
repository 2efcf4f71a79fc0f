#pragma once

#include "dispatch/StreamOrigins.h"
#include "routing/RouteTable.h"
#include "runners/VersionHistory.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Decides which evidence tells what software began a stream, for the daemon that begins the stream and for
/// those that continue it alike. No I/O.
///
/// Load pattern: a caller returns to another daemon than the one that began its stream, which may have been killed with
/// most others, while configurations, releases and restarts change what each daemon knows. The evidence, in the order
/// in which it is used:
///
/// - Records, at the daemon that sent the first event and at those that it told, for the lifetime of
///   StreamOrigins::Options. They are lost with these daemons.
/// - A sole version, at each daemon that read the listing for the window or was told by one that did, while this
///   version alone has served the only service of the route for the window and the listing is proven to be current.
/// - The caches of the runners, while the prompt is kept, all runners of other versions can be asked, and none has
///   left within the window.
///
/// Every stream is recorded, since what a daemon can derive may have changed when it is asked. Only the number of
/// records depends on what else may tell.
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

    /// @brief At how many daemons the origin of a stream is kept that a software begins now.
    dispatch::OriginCopies copiesFor(std::uint64_t software, TimePoint now) const;
    /// @brief Software whose streams had few copies, and need many since another version of its service was listed, or
    /// was replaced, after the call before.
    std::vector<std::uint64_t> takeContested(TimePoint now);

private:
    /// Former destinations with the time at which a route left them.
    using FormerServices = std::map<std::string, TimePoint, std::less<>>;

    const runners::VersionHistory& m_versions;
    /// By host and path prefix.
    std::map<std::pair<std::string, std::string>, FormerServices> m_formerServices;
    std::set<std::uint64_t> m_single;
};

}
