#pragma once

#include "common/Time.h"
#include "runners/Runner.h"
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace eelgrassford::runners {

/// @brief The last runner of a software version that left the listing, as a daemon tells others.
struct Departure {
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// See softwareOf().
    std::uint64_t software = unknownSoftware;
    /// Time since it left.
    Duration age {};
    bool operator==(const Departure&) const = default;
};

/// @brief Remembers runners that left the listing while callers may continue the streams that they began.
///
/// Load pattern: the runners of a version drain and leave during a release, daemons are killed and started again, and
/// callers continue streams of that version at a daemon that never saw it listed.
class Departures {
public:
    /// Identity and software of the runners that are listed now.
    using Listed = std::set<std::pair<std::uint64_t, std::uint64_t>>;

    /// @param window time for which a runner is remembered
    explicit Departures(Duration window)
        : m_window(window)
    {
    }

    /// @brief Records that this daemon has a listing; only runners that left before its first one are adopted.
    void recordListing(TimePoint now);
    /// @brief Records that a runner leaves the listing, or is replaced by another lifetime of it.
    void record(const Runner& runner, TimePoint now);
    /// @brief Takes from another daemon what left before the first listing of this one.
    void adopt(std::span<const Departure> departures, TimePoint now);

    /// @brief The software of those that left a service. One that is listed again in the same lifetime, as after its
    /// entry lapsed, has not left.
    /// @param service hash of the service's name
    std::set<std::uint64_t> softwareOf(std::uint64_t service, const Listed& listed, TimePoint now);
    /// @brief What other daemons are told: one departure for each software version.
    std::vector<Departure> summary(const Listed& listed, TimePoint now);
    bool isEmpty() const { return m_departed.empty(); }

private:
    struct Departed {
        std::uint64_t service = 0;
        /// 0 if another daemon told of it.
        std::uint64_t identity = 0;
        std::uint64_t software = unknownSoftware;
        TimePoint leftAt {};
    };

    void dropExpired(TimePoint now);

    Duration m_window;
    std::optional<TimePoint> m_listedSince;
    std::vector<Departed> m_departed;
};

}
