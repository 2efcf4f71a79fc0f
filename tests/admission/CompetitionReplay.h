#pragma once

#include "admission/LoadShedder.h"
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace eelgrassford::tests {

/// What a caller does after a refusal.
enum class Caller {
    Leaves,
    /// Sends the request three more times, one immediately after the other.
    RepeatsAtOnce,
    /// Comes back once after the Retry-After, if that is within a third of the time it has left.
    ReturnsAsTold,
};

/// A kind of request of one service.
struct Kind {
    std::string name;
    std::size_t service = 0;
    std::uint32_t priority = 0;
    double perSecond = 0.0;
    double workSeconds = 0.0;
    double objectiveSeconds = 0.0;
    double deadlineSeconds = 0.0;
};

/// Load pattern of many organisations that compete for the slots of a model service and an application service.
struct Competition {
    std::size_t daemons = 60;
    std::size_t dataCentres = 3;
    /// Slots by service; the first service is the model service.
    std::vector<double> slots { 960.0, 100.0 };
    std::vector<Kind> kinds;
    /// Share of the traffic by organisation.
    std::vector<double> organisations;
    /// Factor on all traffic, on that of one organisation and on that of one data centre between the two times.
    double factor = 1.0;
    double organisationFactor = 1.0;
    std::size_t heavyOrganisation = 1;
    double dataCentreFactor = 1.0;
    /// Amplitude of the load waves, shifted in phase by data centre.
    double wave = 0.0;
    bool areDaemonsKilled = false;
    /// Whether the daemons share demand and clock and decide by work, or each by pressure alone.
    bool isWorkAware = true;
    /// Whether the messages between daemons are lost while the load pattern lasts.
    bool areMessagesLost = false;
    /// Whether some callers repeat at once or return as told; otherwise all of them leave.
    bool doCallersReturn = true;
    double from = 4.0;
    double until = 14.0;
    double seconds = 16.0;
};

/// The load that most of the tests modify: 24 organisations, three kinds of model requests, two of an application.
Competition usualCompetition(std::size_t daemons);

struct Tally {
    std::size_t sent = 0;
    /// Ended before the deadline.
    std::size_t served = 0;
    std::size_t expired = 0;
    /// First tries and tries of callers that returned as told, and how many of them were admitted.
    std::size_t firstTries = 0;
    std::size_t firstAdmitted = 0;
    std::size_t returns = 0;
    std::size_t returnsAdmitted = 0;

    static double share(std::size_t part, std::size_t all)
    {
        return all == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(all);
    }
    double servedShare() const { return share(served, sent); }
};

/// Counts the requests that were first sent while the load pattern lasted.
struct CompetitionReport {
    std::map<std::string, Tally> byKind;
    /// Requests of the model service.
    std::vector<Tally> byOrganisation;
    std::map<Caller, Tally> byCaller;
    Tally all;
    /// Work that ended in time between the two times over the work that the slots can do, by service.
    std::vector<double> goodput;
    /// Refusals while fewer than half of the slots of the service were known to be taken.
    std::size_t refusedWhileIdle = 0;
};

/// Replays a competition against pools of slots behind daemons whose messages take 150 ms. Runners serve queued
/// requests in order of arrival and work on each until its deadline. Advances in steps of 5 ms.
CompetitionReport replay(const Competition& load, std::uint64_t seed);

}
