#pragma once

#include "common/DecayingSum.h"
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace eelgrassford::admission {

using Ticket = std::uint64_t;

/// @brief Limits of one organisation over the whole fleet.
struct OrganisationLimits {
    std::string name;
    double weight = 1.0;
    /// Requests a second; 0 means unlimited.
    double ratePerSecond = 0.0;
    /// Requests under way at once; 0 means unlimited.
    double concurrency = 0.0;
};

/// @brief A request that waits for its turn.
struct Submission {
    Ticket ticket = 0;
    std::string organisation;
    /// Higher goes first within its organisation.
    int priority = 0;
    /// A request that cannot start before this time is refused.
    TimePoint startBy {};
};

enum class Verdict {
    Admitted,
    RateLimited,
    QueueFull,
    DeadlineUnreachable,
};

/// @brief The verdict on one request, final unless admitted later from the queue.
struct Decision {
    Ticket ticket = 0;
    Verdict verdict = Verdict::Admitted;
    /// For refusals: when it makes sense to come back.
    Duration retryAfter {};
};

/// @brief An organisation's recent demand at one daemon, as peers tell each other.
struct Demand {
    std::string organisation;
    double requestsPerSecond = 0.0;
};

/// @brief Weighted fair admission under limits that hold over the whole fleet.
///
/// Each daemon enforces its share of a fleet-wide limit. Shares follow demand: a fixed part is split evenly among
/// the listed daemons and the rest in proportion to the demand that daemons tell each other, so the shares sum to
/// at most one; a daemon that hears nothing keeps the even split.
class AdmissionController {
public:
    struct Options {
        std::size_t queueLimit = 1000;
        /// Part of each limit that is split evenly.
        double evenShare = 0.3;
        Duration demandWindow = std::chrono::seconds(5);
        /// Age at which a peer's figure of demand no longer counts.
        Duration demandExpiry = std::chrono::seconds(10);
        /// Depth of the rate limiter's bucket.
        Duration burst = std::chrono::seconds(1);
    };

    AdmissionController(const Options& options, TimePoint now);

    /// @brief Takes the organisations in force; known ones keep their state.
    void setLimits(std::span<const OrganisationLimits> limits, TimePoint now);
    /// @brief Number of entry hosts that share the limits, this one included.
    void setFleetSize(std::size_t daemons) { m_fleetSize = daemons > 0 ? daemons : 1; }
    /// @brief Requests that this daemon may have under way in total.
    void setCapacity(double capacity) { m_capacity = capacity; }

    /// @brief Admits, queues or refuses a request.
    /// @return no decision while the request waits
    std::vector<Decision> submit(const Submission& submission, TimePoint now);
    /// @brief An admitted request ended.
    std::vector<Decision> finish(const std::string& organisation, TimePoint now);
    /// @brief The caller of a queued request went away.
    void cancel(Ticket ticket);
    /// @brief Refuses queued requests whose time is over and admits others.
    std::vector<Decision> tick(TimePoint now);

    /// @brief Takes a peer's figures.
    void recordPeerDemand(const std::string& peer, std::span<const Demand> demand, TimePoint now);
    /// @brief This daemon's figures, for its peers.
    std::vector<Demand> demand(TimePoint now) const;
    /// @brief This daemon's share of an organisation's limits, in (0, 1].
    double share(const std::string& organisation, TimePoint now) const;

    std::size_t queued() const { return m_queued; }
    std::size_t running() const { return m_running; }

private:
    struct Organisation {
        OrganisationLimits limits;
        std::size_t running = 0;
        double tokens = 1.0;
        TimePoint refilledAt {};
        DecayingSum arrivals;
        /// Virtual finish time of start-time fair queueing.
        double virtualFinish = 0.0;
        std::vector<Submission> queue;
    };
    struct PeerDemand {
        TimePoint at {};
        std::map<std::string, double> rates;
    };

    Organisation& organisation(const std::string& name, TimePoint now);
    double arrivalRate(const Organisation& entry, TimePoint now) const;
    void recordArrival(Organisation& entry, TimePoint now) const;
    bool takeRateToken(Organisation& entry, TimePoint now) const;
    bool hasCapacity(const Organisation& entry, TimePoint now) const;
    void start(Organisation& entry);
    void admitQueued(TimePoint now, std::vector<Decision>& decisions);
    Organisation* nextOrganisation(TimePoint now);

    Options m_options;
    std::map<std::string, Organisation> m_organisations;
    std::map<std::string, PeerDemand> m_peers;
    std::size_t m_fleetSize = 1;
    double m_capacity = 1e9;
    std::size_t m_running = 0;
    std::size_t m_queued = 0;
    double m_virtualTime = 0.0;
};

}
