#include "soak/Checks.h"

#include <fstream>
#include <sstream>

namespace eelgrassford::soak {

namespace {

    /// Longest time for which a key that was taken away may still work.
    constexpr Duration revocationBound = std::chrono::seconds(5);

    using RunsById = std::map<std::string, std::vector<const Run*>>;

    bool isPromise(std::uint16_t status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    void check(
        const Record& record, const std::vector<const Run*>& runs, bool isPlannedOnly, std::vector<std::string>& broken)
    {
        const auto report = [&](const std::string& what) { broken.push_back(record.id + ": " + what); };
        if (!record.flaw.empty())
            report(record.flaw);
        if (record.kind == Kind::Booking && runs.size() > 1)
            report("a booking ran " + std::to_string(runs.size()) + " times");
        if (isPromise(record.status) && !runs.empty())
            report("refused with " + std::to_string(record.status) + " though it ran at " + runs.front()->runner);
        if (record.status == 200 && runs.empty())
            report("answered though nothing ran");
        if (!isPlannedOnly)
            return;
        if (record.isCut && !runs.empty())
            report("cut by planned work");
        const bool isDenied = record.status >= 400 && record.status < 500 && !isPromise(record.status);
        if (isDenied)
            report("denied with " + std::to_string(record.status));
        if (record.status == 502 || record.status == 504)
            report("failed with " + std::to_string(record.status) + " though nothing was disturbed");
    }

}

std::vector<Run> readRuns(const std::filesystem::path& path)
{
    std::vector<Run> result;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        Run run;
        std::int64_t nanoseconds = 0;
        if (words >> run.id >> run.runner >> nanoseconds) {
            run.at = TimePoint(Duration(nanoseconds));
            result.push_back(run);
        }
    }
    return result;
}

std::vector<std::string> brokenPromises(const Evidence& evidence)
{
    RunsById runs;
    for (const auto& run : evidence.runs)
        runs[run.id].push_back(&run);
    std::vector<std::string> broken;
    for (const auto& record : evidence.records) {
        check(record, runs[record.id], evidence.isPlannedOnly, broken);
        for (const auto& revocation : evidence.revocations) {
            const bool isTooLate = record.key == revocation.key && record.sentAt > revocation.at + revocationBound;
            if (isTooLate && !runs[record.id].empty())
                broken.push_back(record.id + ": ran with a key that had been taken away");
        }
    }
    return broken;
}

}
