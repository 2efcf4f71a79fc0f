#pragma once

#include "common/Time.h"
#include "dispatch/QuarantineRegistry.h"
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace eelgrassford::dispatch {

/// @brief A request with the distinct runners that crashed while they ran it.
struct CrashRecord {
    RequestDigest request = 0;
    /// Identities of the runners, equal on every daemon.
    std::vector<std::uint64_t> runners;
};

/// @brief Detects requests that crash the runners that execute them, from the crashes observed by all daemons.
///
/// Callers may retry a request through any daemon, so each daemon may observe only one of its crashes. Unlike
/// QuarantineRegistry, which evaluates the crashes observed by one daemon, this registry counts distinct runners
/// across the fleet and merges records by set union.
class CrashRegistry {
public:
    struct Options {
        /// Number of distinct crashed runners from which a request is refused.
        std::size_t quarantineThreshold = 3;
        /// Time after the last new crash after which a record is removed.
        Duration retention = std::chrono::minutes(10);
        /// Largest number of records sent to other daemons; the newest are sent.
        std::size_t maxSharedRecords = 32;
    };

    explicit CrashRegistry(const Options& options);
    CrashRegistry();

    /// @brief Records that a runner crashed while it executed a request.
    void recordCrash(RequestDigest request, std::uint64_t runner, TimePoint now);
    /// @brief Removes the record of a request that a runner has answered, unless it is quarantined.
    void recordServed(RequestDigest request);
    /// @brief Adds the crashes that another daemon observed.
    void merge(const CrashRecord& record, TimePoint now);
    /// @brief Whether a request has crashed enough runners to be refused.
    bool isQuarantined(RequestDigest request) const;
    /// @brief The newest records, to be sent to other daemons.
    std::vector<CrashRecord> records() const;
    /// @brief Removes expired records.
    void tick(TimePoint now);
    /// @brief Number of requests with a record.
    std::size_t size() const { return m_records.size(); }

private:
    struct Record {
        std::set<std::uint64_t> runners;
        TimePoint changedAt {};
    };

    Options m_options;
    std::map<RequestDigest, Record> m_records;
};

}
