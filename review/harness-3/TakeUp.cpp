// The runners of a service are replaced by those of a newer version. Soon after the last old one has left, most daemons
// are killed at once; requesters take their streams up again at the daemon that is left.

#include "Harness.h"

using namespace review;

namespace {

constexpr int daemons = 10;
constexpr int oldRunners = 2;
constexpr int allRunners = 5;
constexpr int streams = 90;
constexpr int newStreams = 20;
constexpr int leastStreams = 12;
constexpr double drainMs = 2000;

int eventsOf(const std::string& body)
{
    int events = 0;
    for (std::size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2)
        ++events;
    return events;
}

bool hasEvents(const Answer& answer) { return answer.status == 200 && eventsOf(answer.body) > 0; }

}

int main(int, char** arguments)
{
    Installation site(arguments[1]);
    site.startStore();
    if (!site.waitFor("the store serves", 5000, [&] { return site.isStoreUp(); }))
        return exitNotRun;
    site.put("op/config", configuration(1, "\"k1\""));
    const auto startRunner = [&](int number, const std::string& version) {
        site.startRunner(number, { "--version", version, "--run-seconds", "0.05", "--events", "120" });
        return site.waitFor("a runner serves", 3000, [&] { return site.runnerCommand(number, "/fault?name=none"); })
            && site.list(number, { "pool", version, "ready", 1000 + number });
    };
    for (int number = 1; number <= oldRunners; ++number) {
        if (!startRunner(number, "v1"))
            return exitNotRun;
    }
    site.startHeartbeats();
    for (int number = 1; number <= daemons; ++number)
        site.startDaemon(number);
    for (int number = 1; number <= daemons; ++number) {
        if (!site.waitFor("a daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    // The release: new runners start first, then the old ones drain, leave and end.
    for (int number = oldRunners + 1; number <= allRunners; ++number) {
        if (!startRunner(number, "v2"))
            return exitNotRun;
    }
    site.record.line("runners of v2 serve; those of v1 report that they drain");
    for (int number = 1; number <= oldRunners; ++number)
        site.list(number, { "pool", "v1", "draining", 1000 + number });
    sleepMs(drainMs + 1000);
    for (int number = 1; number <= oldRunners; ++number) {
        site.stopListing(number);
        site.remove("servers/i-" + std::to_string(number));
        site.kill("runner-" + std::to_string(number));
    }
    site.record.line("the runners of v1 have left; " + std::to_string(allRunners - oldRunners) + " of v2 serve");
    // Longer than stabilityWindowMs.
    sleepMs(4000);

    std::atomic<bool> isKilled = false;
    std::atomic<int> broken = 0;
    std::atomic<int> wentOn = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
        callers.emplace_back([&, i] {
            const int daemon = 2 + i % (daemons - 1);
            const auto id = "s-" + std::to_string(i);
            auto answer = Channel(site.daemon(daemon), callerPort)
                              .ask("POST", "/stream/1", streamHeaders(id, "k1", i), "x", 15000);
            const int events = eventsOf(answer.body);
            site.record.line(id + " at daemon " + std::to_string(daemon) + ": " + std::to_string(answer.status) + ", "
                + std::to_string(events) + " events, " + (answer.isComplete ? "complete" : "broken off"));
            if (answer.isComplete || events == 0)
                return;
            ++broken;
            // The requester's time limit is 15 s; it honours Retry-After.
            for (int attempt = 1; attempt <= 3; ++attempt) {
                const auto again = id + "-again-" + std::to_string(attempt);
                auto headers = streamHeaders(again, "k1", i);
                headers.emplace_back("Resumes", id);
                headers.emplace_back("Last-Event-Id", std::to_string(events));
                const auto rest = Channel(site.daemon(1), callerPort).ask("POST", "/stream/1", headers, "x", 15000);
                site.record.line(again + " at daemon 1: " + std::to_string(rest.status) + " "
                    + (rest.status == 200 ? std::to_string(eventsOf(rest.body)) + " events" : rest.body.substr(0, 40))
                    + (rest.isComplete ? "" : ", broken off"));
                if (hasEvents(rest)) {
                    ++wentOn;
                    return;
                }
                if (rest.status == 503)
                    sleepMs(std::min(3000.0, 1000 * std::atof(rest.header("Retry-After").c_str())));
            }
            ++refused;
        });
    sleepMs(2500);
    if (hasTrouble()) {
        site.record.line("all daemons but the first are killed");
        for (int number = 2; number <= daemons; ++number)
            site.signal("daemon-" + std::to_string(number), SIGKILL);
    }
    std::atomic<int> begun = 0;
    std::vector<std::thread> others;
    for (int i = 0; i < newStreams; ++i)
        others.emplace_back([&, i] {
            sleepMs(100.0 * i);
            const auto answer
                = Channel(site.daemon(1), callerPort)
                      .ask("POST", "/stream/1", streamHeaders("n-" + std::to_string(i), "k1", 500 + i), "x", 15000);
            begun += hasEvents(answer) ? 1 : 0;
            site.record.line("new stream n-" + std::to_string(i) + " at daemon 1: " + std::to_string(answer.status));
        });
    for (auto& caller : callers)
        caller.join();
    for (auto& other : others)
        other.join();
    std::array<char, 200> text {};
    std::snprintf(text.data(), text.size(),
        "%d streams taken up again, %d went on, %d refused; %d of %d new ones began", broken.load(), wentOn.load(),
        refused.load(), begun.load(), newStreams);
    site.record.line(text.data());
    std::printf("%s\n", text.data());
    if (begun == 0)
        return exitNotRun;
    const double share = broken > 0 ? static_cast<double>(wentOn) / broken : 1.0;
    const bool isBroken = broken >= leastStreams && share < 0.5 * begun / newStreams;
    return isBroken ? exitBroken : exitHeld;
}
