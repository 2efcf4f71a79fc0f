#pragma once

#include "runners/Placement.h"
#include "work/CostModel.h"
#include "work/RemainingWork.h"
#include <map>
#include <string>
#include <vector>

namespace eelgrassford::runners {

/// @brief Likely cost of one request.
struct RequestCost {
    /// Tokens of the whole prompt, and of the part that it shares with others.
    double promptTokens = 0.0;
    double prefixTokens = 0.0;
    /// Time of the output, or of the work of an application, at the usual speed, in milliseconds.
    double outputMs = 0.0;
    /// Tokens that the request takes of a runner's memory.
    double residentTokens = 0.0;
    /// Whether the response arrives event by event.
    bool isStream = true;
    /// Target time to the response, or to the first event of a stream.
    Duration latencyObjective = std::chrono::seconds(1);
};

/// @brief What placement by work knows of a service.
struct ServiceProfile {
    work::Rates rates;
    /// Tokens that a runner can hold; 0 if not stated.
    double kvCapacityTokens = 0.0;
    /// Whether requests stay in the data centre of the daemon, since others may be cut off from it.
    bool keepsDataCentre = false;
};

/// @brief Weights and thresholds of placement by work.
struct WorkPlacementOptions {
    PlacementOptions bound;
    /// Part of the latency objective that a request must gain to be sent to another data centre.
    double leavingShare = 0.125;
    /// The same within the holding time after a request was sent there, so that the decision does not flap.
    double leftShare = 0.0625;
    Duration leavingHold = std::chrono::seconds(1);
    /// Part of the slots that stays free for requests that are not known yet, rounded up.
    double reservedSlots = 1.0 / 16.0;
    /// Part of the memory that may be filled.
    double memoryShare = 0.9;
    /// Cost of the output of a stream in relation to time before its first event: later events are read one by one.
    double outputWeight = 0.25;
    /// Increase of the time of output from an empty runner to a full one.
    double batchSlowdown = 1.0;
    /// Cost of a prefix that is fetched from another runner, in relation to computing it.
    double fetchShare = 0.2;
    /// Tokens of a prefix below which it is computed again.
    double minTokensToFetch = 1024.0;
    /// Cost of another data centre, in milliseconds.
    double distanceMs = 5.0;
    /// Cost of a certain failure, in latency objectives.
    double failureCost = 2.0;
    /// Runners that are compared besides those that probably have the prefix cached. Reports are older than many
    /// decisions, so daemons that read the same one and all took the best runner would overload it.
    std::size_t choices = 3;
    /// Tokens of a shared prefix from which the runners that have it cached are preferred.
    double minTokensToShare = 128.0;
    /// Part of the latency objective that a request must gain to leave the runners that have its prefix cached. Without
    /// it small differences of load spread each prefix over all runners, and each of them computes it.
    double spillShare = 0.0625;
    /// Time until this daemon learns of a request of another one.
    Duration reportDelay = std::chrono::milliseconds(200);
    /// Time for which a runner to which this daemon sent a prefix is assumed to have it cached.
    Duration copyLifetime = std::chrono::seconds(30);
};

/// @brief Chooses runners by the time that a request, and those that it delays, would wait there. Does no I/O.
///
/// The cost of a runner is the wait for a slot, the prompts that are pending there, the request's own uncached prompt,
/// its output at the speed of the runner, the delay of the requests there by its prompt, failures and distance. The
/// best of a few runners that are drawn at random, and of those that have the prefix cached, is chosen. The other
/// daemons are assumed to send as much to a runner as this one, which is not reported yet. A runner without free slots,
/// memory or room below the load bound is chosen only if none has room.
///
/// Where requests keep to their data centre, a shared prefix has its own order of the runners of each data centre, so
/// each holds its own copy.
/// @complexity linear in the runners of the service
class WorkPlacement {
public:
    explicit WorkPlacement(const WorkPlacementOptions& options = {})
        : m_options(options)
        , m_copies(copySlots)
    {
    }

    void setBound(const PlacementOptions& bound) { m_options.bound = bound; }
    /// @brief Chooses the runner for a request. Only remembers, by service, when one was sent to another data centre.
    Placement place(const Registry& registry, const work::RemainingWork& remaining, const PlacementRequest& request,
        const RequestCost& cost, const ServiceProfile& profile, TimePoint now);
    /// @brief Records that a request with a shared prefix was sent to a runner.
    void recordSent(std::uint64_t affinityKey, const Runner& runner, TimePoint now);

private:
    struct Candidate {
        Runner* runner = nullptr;
        double cost = 0.0;
        /// Time before the first event, in milliseconds.
        double wait = 0.0;
        double load = 0.0;
        /// The load with requests of other daemons that are not reported yet.
        double expectedLoad = 0.0;
        work::RemainingWork::View view;
        bool hasRoom = false;
        bool isLocal = false;
        /// It served the same session last.
        bool isReturning = false;
        /// The runner probably has the shared prefix cached.
        bool isWarm = false;
        /// It comes second in the order of the prefix, and gets it if the first one is too busy.
        bool isSecond = false;
    };
    /// The first candidates in the order of a prefix.
    struct Order {
        Candidate* first = nullptr;
        Candidate* second = nullptr;
        std::uint64_t firstScore = 0;
        std::uint64_t secondScore = 0;
    };
    /// A copy of a prefix that this daemon caused.
    struct Copy {
        std::uint64_t key = 0;
        TimePoint at {};
    };
    /// Copies that are remembered; each takes 16 bytes. A newer one replaces an older one of the same place.
    static constexpr std::size_t copySlots = 8192;

    bool hasCopy(std::uint64_t affinityKey, const Runner& runner, TimePoint now) const;
    void collect(const Registry& registry, const work::RemainingWork& remaining, const PlacementRequest& request,
        bool keepsDataCentre, TimePoint now);
    /// Finds the candidates that probably have the prefix cached, and the first ones in its order.
    void findWarm(const Registry& registry, const PlacementRequest& request, bool keepsDataCentre, TimePoint now);
    /// Finds the runner from which the chosen one fetches the prefix, unless it probably has it.
    void findSource(const Registry& registry, const PlacementRequest& request, const ServiceProfile& profile,
        TimePoint now, Placement& result) const;
    /// Tokens of the prompt that a candidate probably lacks.
    double uncachedTokens(const Candidate& candidate, const RequestCost& cost) const;
    /// Computes the cost of a candidate, and the part of it that comes before the first event.
    void estimate(Candidate& candidate, const PlacementRequest& request, const RequestCost& cost,
        const ServiceProfile& profile) const;
    bool hasRoom(
        const Candidate& candidate, const RequestCost& cost, const ServiceProfile& profile, double bound) const;
    /// The candidate to take of those for which @a isEligible holds; null if there is none.
    template <typename Predicate>
    const Candidate* choose(const PlacementRequest& request, const RequestCost& cost, Predicate isEligible) const;

    WorkPlacementOptions m_options;
    /// Reused by all decisions, so that none allocates memory.
    std::vector<Candidate> m_candidates;
    std::vector<std::string_view> m_dataCentres;
    /// By data centre where requests keep to theirs, otherwise one.
    std::vector<Order> m_orders;
    std::vector<Copy> m_copies;
    /// Time until which the lower threshold for leaving the data centre holds, by service.
    std::map<std::string, TimePoint, std::less<>> m_leavingUntil;
};

}
