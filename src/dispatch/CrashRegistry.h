#pragma once

#include "common/Time.h"
#include "dispatch/QuarantineRegistry.h"
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace eelgrassford::dispatch {

/// @brief A request with the runners that it was seen to crash.
struct CrashRecord {
    RequestDigest request = 0;
    std::vector<std::uint64_t> runners;
};

/// @brief Finds requests that crash the runners that run them, from what all daemons see.
///
/// A request comes back through any daemon, so that each may see one crash only. Unlike QuarantineRegistry, which
/// weighs the deaths that one daemon sees, this one counts distinct runners over the fleet and merges by union.
class CrashRegistry {
public:
    struct Options {
        /// Distinct runners that a request may crash before it is refused.
        std::size_t quarantineThreshold = 3;
        Duration retention = std::chrono::minutes(10);
        /// Newest records that are told to other daemons.
        std::size_t maxSharedRecords = 32;
    };

    explicit CrashRegistry(const Options& options);
    CrashRegistry();

    /// @brief A runner was found dead while it ran a request.
    void recordCrash(RequestDigest request, std::uint64_t runner, TimePoint now);
    /// @brief A runner answered the request: the crashes were not its fault.
    void recordServed(RequestDigest request);
    /// @brief Takes what another daemon saw.
    void merge(const CrashRecord& record, TimePoint now);
    bool isQuarantined(RequestDigest request) const;
    /// @brief The newest records, for other daemons.
    std::vector<CrashRecord> records() const;
    void tick(TimePoint now);
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
