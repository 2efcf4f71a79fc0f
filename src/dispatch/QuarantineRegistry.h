#pragma once

#include "common/Time.h"
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::dispatch {

/// Digest of a request's content.
using RequestDigest = std::uint64_t;

/// @brief Finds requests that crash the upstreams that run them, and keeps them out for a time.
///
/// Every request on a dead upstream is a suspect. When a second upstream dies, only its suspects are struck again;
/// a lone suspect is quarantined at once, several need one more death, so that bystanders are not blamed.
class QuarantineRegistry {
public:
    struct Options {
        Duration quarantineDuration = std::chrono::minutes(10);
        /// Time after which a strike is forgotten.
        Duration strikeRetention = std::chrono::minutes(30);
    };

    explicit QuarantineRegistry(const Options& options);
    QuarantineRegistry();

    /// @brief An upstream died with these requests on it.
    /// @return the requests that are quarantined from now on
    std::vector<RequestDigest> recordUpstreamDeath(std::span<const RequestDigest> running, TimePoint now);
    /// @brief Takes a quarantine from a peer.
    void quarantine(RequestDigest digest, TimePoint now);
    bool isQuarantined(RequestDigest digest, TimePoint now) const;
    /// @brief Time until a quarantined request may come back.
    Duration remaining(RequestDigest digest, TimePoint now) const;
    void tick(TimePoint now);
    std::size_t size() const { return m_until.size(); }

private:
    struct Strikes {
        std::uint32_t count = 0;
        TimePoint lastAt {};
    };

    Options m_options;
    std::map<RequestDigest, Strikes> m_strikes;
    std::map<RequestDigest, TimePoint> m_until;
};

}
