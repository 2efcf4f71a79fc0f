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

/// @brief Detects requests that crash the upstreams that execute them, and quarantines them for a time.
///
/// Each request on a crashed upstream gets a strike and becomes a suspect. When a further upstream crashes with
/// suspects on it, only these suspects get another strike. A single suspect is quarantined at its second strike,
/// several suspects at their third, so that requests that merely ran beside the cause are not quarantined.
class QuarantineRegistry {
public:
    struct Options {
        /// Time for which a request is quarantined.
        Duration quarantineDuration = std::chrono::minutes(10);
        /// Time after its last strike after which a request is no longer a suspect.
        Duration strikeRetention = std::chrono::minutes(30);
    };

    explicit QuarantineRegistry(const Options& options);
    QuarantineRegistry();

    /// @brief Records the crash of an upstream.
    /// @param running digests of the requests that the upstream was executing
    /// @return digests of the requests that are quarantined from now on
    std::vector<RequestDigest> recordUpstreamDeath(std::span<const RequestDigest> running, TimePoint now);
    /// @brief Quarantines a request, such as one that a peer has quarantined.
    void quarantine(RequestDigest digest, TimePoint now);
    bool isQuarantined(RequestDigest digest, TimePoint now) const;
    /// @brief Time until the quarantine of a request ends; 0 if it is not quarantined.
    Duration remaining(RequestDigest digest, TimePoint now) const;
    /// @brief Removes expired strikes and quarantines.
    void tick(TimePoint now);
    /// @brief Number of quarantined requests.
    std::size_t size() const { return m_quarantinedUntil.size(); }

private:
    struct Strikes {
        std::uint32_t count = 0;
        TimePoint lastAt {};
    };

    Options m_options;
    std::map<RequestDigest, Strikes> m_strikes;
    std::map<RequestDigest, TimePoint> m_quarantinedUntil;
};

}
