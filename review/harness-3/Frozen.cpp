// A release begins while one daemon stands still. Streams begin at the new version through another daemon, which is
// killed; their requesters take them up at the daemon that wakes.

#include "Harness.h"
#include <set>

using namespace review;

namespace {

constexpr int streams = 36;
/// Time after which the version counts as the only one of the service.
constexpr double settledMs = 64000;

std::set<std::string> versionsOf(const std::string& body)
{
    std::set<std::string> result;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("event: "))
            result.insert(line.substr(7));
    }
    return result;
}

int eventsOf(const std::string& body)
{
    int events = 0;
    for (std::size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2)
        ++events;
    return events;
}

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
    for (int number : { 1, 2, 3, 4 }) {
        if (!startRunner(number, "v1"))
            return exitNotRun;
    }
    site.startHeartbeats();
    for (int number : { 1, 2, 3 })
        site.startDaemon(number);
    for (int number : { 1, 2, 3 }) {
        if (!site.waitFor("a daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    sleepMs(settledMs);
    if (hasTrouble()) {
        site.signal("daemon-1", SIGSTOP);
        site.record.line("daemon 1 stands still");
    }
    // Some runners write their heartbeats.
    sleepMs(600);
    for (int number : { 5, 6, 7, 8 }) {
        if (!startRunner(number, "v2"))
            return exitNotRun;
    }
    site.record.line("runners of v2 serve beside those of v1");
    sleepMs(300);
    std::atomic<int> broken = 0;
    std::atomic<int> joined = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
        callers.emplace_back([&, i] {
            const auto id = "s-" + std::to_string(i);
            auto answer
                = Channel(site.daemon(2), callerPort).ask("POST", "/stream/1", streamHeaders(id, "k1", i), "x", 15000);
            const int events = eventsOf(answer.body);
            site.record.line(id + " at daemon 2: " + std::to_string(answer.status) + " from "
                + answer.header("Eelgrassford-Runner") + ", " + std::to_string(events) + " events, "
                + (answer.isComplete ? "complete" : "broken off"));
            if (answer.isComplete || events == 0)
                return;
            ++broken;
            auto headers = streamHeaders(id + "-again", "k1", i);
            headers.emplace_back("Resumes", id);
            headers.emplace_back("Last-Event-Id", std::to_string(events));
            const auto rest = Channel(site.daemon(1), callerPort).ask("POST", "/stream/1", headers, "x", 15000);
            const auto versions = versionsOf(answer.body + rest.body);
            joined += versions.size() > 1 ? 1 : 0;
            site.record.line(id + "-again at daemon 1: " + std::to_string(rest.status) + " from "
                + rest.header("Eelgrassford-Runner") + ", " + std::to_string(eventsOf(rest.body)) + " events"
                + (versions.size() > 1 ? "; events of both versions" : ""));
        });
    sleepMs(700);
    if (hasTrouble()) {
        site.signal("daemon-2", SIGKILL);
        site.record.line("daemon 2 is killed");
    }
    sleepMs(300);
    if (hasTrouble()) {
        site.signal("daemon-1", SIGCONT);
        site.record.line("daemon 1 goes on");
    }
    for (auto& caller : callers)
        caller.join();
    std::array<char, 200> text {};
    std::snprintf(text.data(), text.size(), "%d streams taken up again; %d hold events of two versions", broken.load(),
        joined.load());
    site.record.line(text.data());
    std::printf("%s\n", text.data());
    return joined > 2 ? exitBroken : exitHeld;
}
