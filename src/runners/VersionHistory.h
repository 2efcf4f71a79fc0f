#pragma once

#include "common/Time.h"
#include "runners/Runner.h"
#include "runners/SoleVersion.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace eelgrassford::runners {

/// @brief Durations that decide for how long, and how reliably, the software versions of services are known.
struct VersionHistoryOptions {
    /// Time for which callers may continue a stream after it began. It covers several requests of a caller, each as
    /// long as the longest timeout of usual routes.
    Duration window = std::chrono::seconds(60);
    /// Longest time between two proofs that the listing is current. In a longer one a version may have come and gone.
    Duration maxProofGap = std::chrono::seconds(5);
};

/// @brief Software versions that served each service lately.
///
/// Load pattern: during a rolling release several versions serve one service for some ten seconds; otherwise there is
/// one. If there was only one for as long as a stream may be continued, it is the one that began every stream, so that
/// no daemon needs to know where single streams began.
class VersionHistory {
public:
    explicit VersionHistory(const VersionHistoryOptions& options = {})
        : m_options(options)
    {
    }

    /// @brief Records the runners that the platform lists from now on.
    void recordListing(std::span<const RunnerEntry> entries, TimePoint now);
    /// @brief Records that the listing was current at a time.
    void recordProof(TimePoint provenAt);
    /// @brief Takes from another daemon that one version alone has served a service for a time, if all that this daemon
    /// saw itself agrees.
    void adopt(const SoleVersion& told, TimePoint now);

    /// @brief The version that began every stream of the service that can still be continued; empty if there were
    /// several, if its runners do not state it, or if this daemon does not know for long enough.
    std::optional<std::uint64_t> soleVersion(std::string_view service, TimePoint now) const;
    /// @brief Time for which callers may continue a stream after it began.
    Duration window() const { return m_options.window; }
    /// @brief The software of services that are not known to have had several versions within the window, however long
    /// they are known and whether the listing is current or not.
    std::set<std::uint64_t> singleVersions(TimePoint now) const;
    /// @brief The services that one version alone serves as far as this daemon knows, however short that is.
    std::vector<SoleVersion> soleVersions(TimePoint now) const;

private:
    struct Service {
        std::set<std::uint64_t> listed;
        /// Versions that are not listed any more, with the last time at which they were.
        std::map<std::uint64_t, TimePoint> gone;
        /// Start of the time without a gap for which the versions are known.
        TimePoint knownSince {};
    };

    /// Versions that are listed, or were within the window.
    std::set<std::uint64_t> recentVersions(const Service& service, TimePoint now) const;
    std::optional<SoleVersion> soleVersion(std::uint64_t key, const Service& service, TimePoint now) const;

    VersionHistoryOptions m_options;
    /// By the hash of the service's name.
    std::map<std::uint64_t, Service> m_services;
    std::optional<TimePoint> m_provenAt;
};

}
