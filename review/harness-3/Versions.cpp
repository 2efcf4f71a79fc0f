// A runner crashes while it is idle, starts again as a newer version under its id, and crashes once more before its
// next heartbeat: streams that it began go on at runners of the version before.

#include "Harness.h"
#include <set>

using namespace review;

namespace {

constexpr int runners = 6;
constexpr int restarted = 2;
constexpr int streams = 36;
constexpr double heartbeatMs = 1200;

/// Versions of the runners whose events an answer holds.
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

bool startRunner(Installation& site, int number, const std::string& version)
{
    site.startRunner(number, { "--version", version, "--run-seconds", "0.03", "--events", "60" });
    return site.waitFor("runner " + std::to_string(number) + " serves", 3000,
        [&] { return site.runnerCommand(number, "/fault?name=none"); });
}

}

int main(int, char** arguments)
{
    Installation site(arguments[1]);
    site.startStore();
    if (!site.waitFor("the store serves", 5000, [&] { return site.isStoreUp(); }))
        return exitNotRun;
    site.put("op/config", configuration(1, "\"k1\""));
    for (int number = 1; number <= runners; ++number) {
        if (!startRunner(site, number, "v1"))
            return exitNotRun;
        site.list(number, { "pool", "v1", "ready", 1000 });
    }
    site.startHeartbeats();
    for (int number : { 1, 2, 3 })
        site.startDaemon(number);
    for (int number : { 1, 2, 3 }) {
        if (!site.waitFor("daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    // Usual traffic.
    std::atomic<int> warm = 0;
    std::vector<std::thread> usual;
    for (int i = 0; i < 12; ++i)
        usual.emplace_back([&, i] {
            const auto id = "warm-" + std::to_string(i);
            const auto answer = Channel(site.daemon(1), callerPort)
                                    .ask("POST", "/stream/1", streamHeaders(id, "k1", 900 + i), "x", 8000);
            site.record.line("sent " + id + ", answered " + std::to_string(answer.status));
            warm += answer.isComplete ? 1 : 0;
        });
    for (auto& caller : usual)
        caller.join();
    if (warm != 12)
        return exitNotRun;
    // The streams have ended: no request is at the runner when it crashes.
    sleepMs(500);
    const auto name = "runner-" + std::to_string(restarted);
    const auto crash = [&] {
        site.kill(name);
        site.stopListing(restarted);
        site.record.line(name + " crashes");
    };
    if (hasTrouble()) {
        crash();
        sleepMs(100);
        if (!startRunner(site, restarted, "v2"))
            return exitNotRun;
        site.record.line(
            name + " serves again as v2, under the same id; its entry is written with its first heartbeat");
    }
    const auto startedAt = nowMs();
    sleepMs(150);
    std::vector<Answer> answers(streams);
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
        callers.emplace_back([&, i] {
            const auto id = "s-" + std::to_string(i);
            site.record.line("sent " + id + " to daemon 1");
            answers[i]
                = Channel(site.daemon(1), callerPort).ask("POST", "/stream/1", streamHeaders(id, "k1", i), "x", 15000);
        });
    sleepMs(550);
    if (hasTrouble()) {
        crash();
        sleepMs(100);
        if (!startRunner(site, restarted, "v2"))
            return exitNotRun;
        sleepMs(std::max(0.0, startedAt + heartbeatMs - 50 - nowMs()));
        site.list(restarted, { "pool", "v2", "ready", 2000 });
        site.record.line(
            "its entry is written, " + std::to_string(nowMs() - startedAt) + " ms after it first served as v2");
    }
    for (auto& caller : callers)
        caller.join();
    int joined = 0;
    int whole = 0;
    for (int i = 0; i < streams; ++i) {
        const auto versions = versionsOf(answers[i].body);
        std::string text;
        for (const auto& version : versions)
            text += " " + version;
        joined += versions.size() > 1 ? 1 : 0;
        whole += answers[i].isComplete ? 1 : 0;
        site.record.line("s-" + std::to_string(i) + " answered " + std::to_string(answers[i].status)
            + (answers[i].isComplete ? ", complete" : ", broken off") + ", events of" + text);
    }
    const auto result = std::to_string(joined) + " of " + std::to_string(streams)
        + " streams hold events of two versions; " + std::to_string(whole) + " are complete";
    site.record.line(result);
    std::printf("%s\n", result.c_str());
    return joined > 2 ? exitBroken : exitHeld;
}
