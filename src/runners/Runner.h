#pragma once

#include "common/Time.h"
#include "runners/ColdShare.h"
#include "runners/StatedLimit.h"
#include "runners/TokenBucket.h"
#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassford::runners {

/// @brief A runner as the platform lists it.
struct RunnerEntry {
    std::string id;
    std::string service;
    std::string ip;
    std::uint16_t port = 0;
    std::string dataCentre;
    /// Requests that it can run at once.
    std::uint32_t slots = 1;
    /// It accepts no new requests and is about to stop.
    bool isLeaving = false;
    /// Start of this lifetime in Unix milliseconds, 0 if not stated; tells a restarted runner from the previous one
    /// with the same id.
    std::uint64_t startedAtMs = 0;
    /// Version of its software, apart from that of the weights that it serves; empty if not stated.
    std::string version;
    /// Time for which it stays cold as stated with this entry; empty if that is not stated, or not usable.
    std::optional<Duration> coldRemaining {};
    /// Revision of the entry if it states that the runner is cold, otherwise 0: an entry that is written again states
    /// anew what it states.
    std::uint64_t coldRevision = 0;
    /// The time that it states cannot be used.
    bool hasUnusableColdTime = false;
    bool operator==(const RunnerEntry&) const = default;
};

/// Software of runners that do not state its version.
constexpr std::uint64_t unknownSoftware = 0;

/// @brief Hash of service and software version, equal on every daemon; unknownSoftware if the entry states no version.
std::uint64_t softwareOf(const RunnerEntry& entry);

/// @brief Load that a runner reported in a response.
struct ReportedLoad {
    /// Requests that it runs.
    std::uint32_t running = 0;
    /// Requests that wait for a slot.
    std::uint32_t waiting = 0;
    /// Requests that it can run at once.
    std::uint32_t slots = 0;
    /// Time that work takes on it now, as a multiple of the usual; empty if it does not report that.
    std::optional<double> slowdown;
};

/// @brief Evidence of a runner's health from an attempt or a probe.
enum class Observation {
    /// It answered with a success, or with an error caused by the request itself.
    Served,
    /// It answered a request that it ran with a 5xx status.
    Failed,
    /// It refused the request for lack of capacity.
    Declined,
    /// The connection broke while a request was in flight.
    ConnectionLost,
    /// No connection could be established.
    CannotConnect,
    /// No byte arrived within the time allowed.
    Silent,
    /// Its address now belongs to another runner, or to a later lifetime of the same one.
    Replaced,
    /// No conclusion is possible, for example because the caller left.
    None,
};

/// @brief A runner with its load and health as known to this daemon.
struct Runner {
    RunnerEntry entry;
    /// Hash of id and start time, equal on every daemon.
    std::uint64_t identity = 0;
    /// Software that it runs, as softwareOf() tells.
    std::uint64_t software = unknownSoftware;
    /// Requests from this daemon in flight to the runner.
    std::uint32_t ownLoad = 0;
    /// Requests from the other daemons in flight to the runner, as they report them.
    std::uint32_t peerLoad = 0;
    /// Latest load that the runner itself reported.
    ReportedLoad reported;
    TimePoint reportedAt {};
    /// Value of ownLoad when the runner reported its load.
    std::uint32_t ownLoadAtReport = 0;
    /// Newest known statement of the request rate that it accepts.
    StatedLimit limit;
    /// Whether a response to this daemon stated it; otherwise another daemon told of it.
    bool isLimitOwn = false;
    /// This daemon's share of the limit; empty without a limit.
    std::optional<TokenBucket> rateShare;
    /// Requests that this daemon sent to it while its rate was limited, since they were last logged.
    std::uint32_t sentWhileLimited = 0;

    /// Lost and failed connections since the last request that it served or failed.
    std::uint32_t consecutiveConnectionFailures = 0;
    /// Requests of this daemon that it served and failed, decayed exponentially up to decayedAt.
    double served = 0.0;
    double failed = 0.0;
    TimePoint decayedAt {};
    /// Last time at which it served a request of this daemon.
    TimePoint lastServedAt {};
    /// Served and failed requests as counted by the other daemons, and the number of daemons that suspend it now.
    double peerServed = 0.0;
    double peerFailed = 0.0;
    std::uint32_t suspendedByPeers = 0;
    TimePoint suspendedUntil {};
    /// Start of the last suspension.
    std::optional<TimePoint> suspendedAt;
    /// Length of the next suspension after a connection failure; doubles each time until the runner serves again.
    Duration nextSuspension {};
    /// Last time at which no connection to it could be established.
    std::optional<TimePoint> unconnectedAt;
    /// Time at which its idle connections were closed, until a probe shows that it goes on.
    std::optional<TimePoint> disconnectedAt;
    /// Set by a suspension and cleared when the runner serves a request; meanwhile it gets one request at a time.
    bool isOnProbation = false;
    /// Last time at which a byte arrived from it, or at which it got a request while it had none in flight.
    TimePoint lastActivityAt {};
    /// A probe of its reachability is in progress.
    bool isBeingProbed = false;
    /// Time at which it stated in a response that it leaves; nothing but a new lifetime ends that.
    std::optional<TimePoint> statedLeavingAt;
    /// Whether it stated so to this daemon; otherwise another daemon told of it.
    bool isLeavingOwn = false;
    /// Time at which the platform's listing first showed it as leaving.
    std::optional<TimePoint> listedLeavingSince;
    /// Time at which the platform's listing first contained it.
    TimePoint listedSince {};
    /// Time at which this daemon learnt that its data centre is evacuated; empty while it is in service.
    std::optional<TimePoint> evacuatedSince;
    /// Last time at which it is known to have lost its cached prompts without a new listing.
    std::optional<TimePoint> cacheLostAt;

    /// Cold start of its service; empty if the service has none, and then the runner is never cold.
    std::optional<ColdStart> coldStart;
    /// Time until which it is, or may be, cold, and time at which it was last found to be so.
    TimePoint coldUntil {};
    TimePoint coldSince {};
    /// Shortest time between requests of this daemon while it is cold; empty to send none.
    std::optional<Duration> coldInterval;
    /// Time from which this daemon sends to cold runners.
    TimePoint coldRequestsFrom {};
    TimePoint lastDispatchAt {};
    /// An unusable time for which it is cold was logged.
    bool isUnusableColdTimeLogged = false;

    /// End of the pause that it asked for, when it refused requests, and time of the response that did so last.
    TimePoint pausedUntil {};
    std::optional<TimePoint> pausedAt;
    /// Time from which this daemon sends to it again after the pause.
    TimePoint returnsAt {};
    /// No request was sent to it since the pause.
    bool isReturning = false;
    /// An unusable time that it asked for was logged.
    bool isUnusablePauseLogged = false;

    /// @brief Whether it is about to stop, as the platform lists or as it stated itself.
    bool isLeaving() const { return entry.isLeaving || statedLeavingAt; }
    bool isCold(TimePoint now) const { return coldStart && now < coldUntil; }
    /// @brief Requests in flight from all daemons, as the daemons count them.
    std::uint32_t knownLoad() const { return ownLoad + peerLoad; }
    /// @brief Served and failed requests of all daemons, decayed.
    double samples() const { return served + failed + peerServed + peerFailed; }
    /// @brief Share of failed requests among the samples; 0 without samples.
    double failureRate() const { return samples() > 0.0 ? (failed + peerFailed) / samples() : 0.0; }
};

}
