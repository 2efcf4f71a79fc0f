#include "soak/Checks.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace eelgrassford::soak {

namespace {

    /// Maximum time for which a revoked key may still be accepted.
    constexpr Duration maxRevocationDelay = std::chrono::seconds(5);

    /// Maximum time after which a request may still reach a data centre that is evacuated.
    constexpr Duration maxEvacuationDelay = std::chrono::seconds(5);

    using ExecutionsById = std::map<std::string, std::vector<const Execution*>>;

    /// Whether a status tells the caller that no runner executed the request.
    bool isRefusedBeforeExecution(std::uint16_t status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    void check(const Record& record, const std::vector<const Execution*>& executions, bool isPlannedOnly,
        std::vector<std::string>& violations)
    {
        const auto report = [&](const std::string& what) { violations.push_back(record.id + ": " + what); };
        if (!record.responseError.empty())
            report(record.responseError);
        if (record.kind == RequestKind::Booking && executions.size() > 1)
            report("a booking was executed " + std::to_string(executions.size()) + " times");
        if (isRefusedBeforeExecution(record.status) && !executions.empty())
            report("refused with " + std::to_string(record.status) + " although it was executed by "
                + executions.front()->runner);
        if (record.status == 200 && executions.empty())
            report("answered with 200 although no runner executed it");
        if (!isPlannedOnly)
            return;
        if (record.isClosedWithoutResponse && !executions.empty())
            report("connection closed without a response during planned operations");
        const bool isDenied = record.status >= 400 && record.status < 500 && !isRefusedBeforeExecution(record.status);
        if (isDenied)
            report("denied with " + std::to_string(record.status));
        if (record.status == 502 || record.status == 504)
            report("failed with " + std::to_string(record.status) + " although there was no fault");
    }

    /// Reports executions, in an evacuated data centre, of requests that were sent when no daemon might use it any
    /// more. Requests that were sent before may have waited at a runner that was frozen.
    void checkEvacuation(const Record& record, const std::vector<const Execution*>& executions,
        const Evacuation& evacuation, std::vector<std::string>& violations)
    {
        if (record.sentAt <= evacuation.at + maxEvacuationDelay)
            return;
        for (const auto* execution : executions) {
            const bool isThere = std::find(evacuation.runners.begin(), evacuation.runners.end(), execution->runner)
                != evacuation.runners.end();
            if (isThere && (!evacuation.endsAt || execution->at < *evacuation.endsAt))
                violations.push_back(record.id + ": executed by " + execution->runner + " of an evacuated data centre");
        }
    }

}

std::vector<Execution> readExecutions(const std::filesystem::path& path)
{
    std::vector<Execution> result;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        Execution execution;
        std::int64_t nanoseconds = 0;
        if (words >> execution.id >> execution.runner >> nanoseconds) {
            execution.at = TimePoint(Duration(nanoseconds));
            result.push_back(execution);
        }
    }
    return result;
}

std::vector<std::string> findViolations(const Observations& observations)
{
    ExecutionsById executions;
    for (const auto& execution : observations.executions)
        executions[execution.id].push_back(&execution);
    std::vector<std::string> violations;
    for (const auto& record : observations.records) {
        check(record, executions[record.id], observations.isPlannedOnly, violations);
        for (const auto& evacuation : observations.evacuations)
            checkEvacuation(record, executions[record.id], evacuation, violations);
        for (const auto& revocation : observations.revocations) {
            const bool isTooLate = record.key == revocation.key && record.sentAt > revocation.at + maxRevocationDelay;
            if (isTooLate && !executions[record.id].empty())
                violations.push_back(record.id + ": executed with a revoked key");
        }
    }
    return violations;
}

}
