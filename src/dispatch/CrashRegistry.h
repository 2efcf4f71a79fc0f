#pragma once

#include "common/Time.h"
#include "dispatch/QuarantineRegistry.h"
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrassford::dispatch {

/// @brief Something that may crash runners: a whole request, or a part of prompts that several requests share.
struct CrashSuspect {
    static constexpr std::uint32_t wholeRequest = std::numeric_limits<std::uint32_t>::max();

    RequestDigest digest = 0;
    /// Position of the part in the prompt; wholeRequest for a request. Fewer requests share a later part.
    std::uint32_t position = wholeRequest;

    bool isShared() const { return position != wholeRequest; }
};

/// @brief A suspect with the distinct runners that crashed under it, as one daemon tells another.
struct CrashRecord {
    RequestDigest suspect = 0;
    /// Identities of the runners that crashed since the suspect was last answered; equal on every daemon.
    std::vector<std::uint64_t> runners;
    /// See CrashSuspect::position.
    std::uint32_t position = CrashSuspect::wholeRequest;
    /// Time since the crash of each of the runners; 0 for those beyond its end.
    std::vector<Duration> crashAges {};
    /// Time since a request with the suspect was last answered, if one was.
    std::optional<Duration> servedAge {};
    bool isQuarantined = false;
};

/// @brief Detects requests, and parts of prompts, that crash the runners that execute them, from the crashes observed
/// by all daemons.
///
/// Callers may retry a request through any daemon, so each daemon may observe only one of its crashes. Unlike
/// QuarantineRegistry, which evaluates the crashes observed by one daemon, this registry counts distinct runners
/// across the fleet and merges records by set union.
///
/// Load patterns: one request that is repeated; many requests, no two alike, that have one part of their prompts in
/// common, beside sound requests that share their other parts. Each crash has several suspects, most of them innocent:
/// - An answer to a request clears it and its parts of all crashes before.
/// - A suspect with more crashes is likelier. Of those with nearly as many it is the one that fewer requests share:
///   a part, and not the common beginning of the prompts that contain it.
/// - Crashes under a suspect that is quarantined are explained by it, and do not count against less likely ones.
/// - Of crashes at about the same time only one counts against a part: several runners may fail together.
class CrashRegistry {
public:
    struct Options {
        /// Number of distinct crashed runners from which a suspect is refused.
        std::size_t quarantineThreshold = 3;
        /// The same for crashes of which many were at about the same time; they must not all have been.
        std::size_t burstThreshold = 5;
        /// Time between crashes from which they count separately against a part of prompts.
        Duration crashSpacing = std::chrono::milliseconds(500);
        /// Time after a crash from which it counts against a part. By then the daemons have told each other of all
        /// requests that the runner had, among them the cause.
        Duration settlingTime = std::chrono::milliseconds(400);
        /// Time after the last new crash after which a record is removed.
        Duration retention = std::chrono::minutes(10);
        /// The same for a part that was quarantined while no prompt at all was answered: every runner may have been
        /// failing.
        Duration provisionalRetention = std::chrono::seconds(20);
        /// Largest number of records sent to other daemons: first those in quarantine, then those that changed
        /// recently, by their crashes, then the newest.
        std::size_t maxSharedRecords = 32;
        /// Time for which a change counts as recent.
        Duration sharingTime = std::chrono::seconds(5);
        /// Largest number of records that are kept; each takes a few hundred bytes.
        std::size_t maxRecords = 2048;
        /// Time for which an answer to a prompt is remembered, in case a daemon tells of an earlier crash.
        Duration servedRetention = std::chrono::seconds(10);
        /// Largest number of parts whose answers are remembered.
        std::size_t maxServedParts = 8192;
    };

    explicit CrashRegistry(const Options& options);
    CrashRegistry();

    /// @brief Records that a runner crashed while it executed a request.
    /// @param suspects the request and the parts of its prompt that may be the cause
    void recordCrash(std::span<const CrashSuspect> suspects, std::uint64_t runner, TimePoint now);
    /// @brief Clears suspects of a request that a runner has answered, unless they are quarantined.
    void recordServed(std::span<const CrashSuspect> suspects, TimePoint now);
    /// @brief Adds the crashes that another daemon knows of.
    void merge(std::span<const CrashRecord> records, TimePoint now);
    /// @brief The first of some suspects that has crashed enough runners to be refused, if any.
    std::optional<CrashSuspect> findQuarantined(std::span<const CrashSuspect> suspects, TimePoint now);
    bool isQuarantined(RequestDigest suspect) const;
    /// @brief The records to be sent to other daemons.
    std::vector<CrashRecord> records(TimePoint now) const;
    /// @brief Removes expired records.
    void tick(TimePoint now);
    /// @brief Number of suspects with a record.
    std::size_t size() const { return m_records.size(); }

private:
    enum class Verdict {
        None,
        /// Quarantined while no prompt was answered; not sent to other daemons as quarantined.
        Provisional,
        Quarantined,
    };

    struct Record {
        std::uint32_t position = CrashSuspect::wholeRequest;
        /// Times of the crashes, by the identities of the runners.
        std::map<std::uint64_t, TimePoint> crashes;
        /// Last time at which a request with the suspect was answered by any daemon.
        std::optional<TimePoint> servedAt;
        Verdict verdict = Verdict::None;
        TimePoint changedAt {};

        bool isCounted(TimePoint crashedAt) const { return !servedAt || crashedAt > *servedAt; }
    };

    using Records = std::map<RequestDigest, Record>;
    using Candidates = std::vector<Records::iterator>;

    /// The record of a suspect, which is created if there is none.
    Record& recordOf(const CrashSuspect& suspect, TimePoint now);
    void evictOldest();
    static bool addCrash(Record& record, std::uint64_t runner, TimePoint crashedAt, TimePoint now);
    /// Notes a crash for evaluations until it has settled.
    void scheduleEvaluations(TimePoint now);
    /// Decides which suspects are quarantined.
    void evaluate(TimePoint now);
    void evaluateIfDue(TimePoint now);
    /// The likeliest of some suspects, of which there must be one.
    Candidates::const_iterator findLikeliest(
        const Candidates& candidates, const std::set<std::uint64_t>& explained, TimePoint now) const;
    /// Times of the crashes under a suspect since it was last answered.
    /// @param explained runners whose crashes likelier suspects explain
    std::vector<TimePoint> unexplainedCrashes(
        const Record& record, const std::set<std::uint64_t>& explained, TimePoint now) const;
    /// Whether there are enough such crashes for a quarantine.
    bool isConspicuous(const Record& record, const std::set<std::uint64_t>& explained, TimePoint now) const;
    Verdict verdictOn(const Record& record, TimePoint now) const;
    static CrashRecord toShared(RequestDigest suspect, const Record& record, TimePoint now);

    Options m_options;
    Records m_records;
    /// Times at which this daemon last answered requests, by the digests of their shared parts.
    std::unordered_map<RequestDigest, TimePoint> m_servedAt;
    /// Last time at which this daemon answered a request with shared parts.
    std::optional<TimePoint> m_lastServedAt;
    /// Time at which the newest crash has settled, and time of the next evaluation until then.
    TimePoint m_settlesAt {};
    std::optional<TimePoint> m_nextEvaluationAt;
};

}
