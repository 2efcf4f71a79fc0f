// A route is split over three services, each of which has had one software version for more than a minute. One daemon
// is killed; requesters take its streams up again at the others.

#include "Harness.h"

using namespace review;

namespace {

constexpr int daemons = 7;
constexpr int runners = 6;
constexpr int streams = 48;
constexpr int newStreams = 24;
constexpr int leastStreams = 12;
/// Time after which each version counts as the only one of its service.
constexpr double settledMs = 64000;
constexpr std::array<const char*, 3> services { "pool-a", "pool-b", "pool-c" };

int eventsOf(const std::string& body)
{
    int events = 0;
    for (std::size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2)
        ++events;
    return events;
}

std::string splitConfiguration()
{
    std::string text
        = R"({"version":1,"routes":[{"name":"report","host":"a.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"trafficSplit":[{"service":"pool-a","weight":34},{"service":"pool-b","weight":33},{"service":"pool-c","weight":33}],"maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapTargetMs":400}],"services":[)";
    for (const auto* service : services)
        text += std::string(service == services[0] ? "" : ",") + R"({"name":")" + service
            + R"(","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":546534,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":5,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}})";
    return text
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"yard","apiKeys":["k1"]}]})";
}

}

int main(int, char** arguments)
{
    Installation site(arguments[1]);
    site.startStore();
    if (!site.waitFor("the store serves", 5000, [&] { return site.isStoreUp(); }))
        return exitNotRun;
    site.put("op/config", splitConfiguration());
    for (int number = 1; number <= runners; ++number) {
        site.startRunner(number, { "--version", "v1", "--run-seconds", "0.05", "--events", "100" });
        if (!site.waitFor("runner", 3000, [&] { return site.runnerCommand(number, "/fault?name=none"); }))
            return exitNotRun;
        site.list(number, { services[static_cast<std::size_t>(number) % services.size()], "v1", "ready", 1000 });
    }
    site.startHeartbeats();
    for (int number = 1; number <= daemons; ++number)
        site.startDaemon(number);
    for (int number = 1; number <= daemons; ++number) {
        if (!site.waitFor("a daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    sleepMs(settledMs);
    std::atomic<int> broken = 0;
    std::atomic<int> wentOn = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < streams; ++i)
        callers.emplace_back([&, i] {
            const auto id = "s-" + std::to_string(i);
            auto answer = Channel(site.daemon(daemons), callerPort)
                              .ask("POST", "/stream/1", streamHeaders(id, "k1", i), "x", 15000);
            const int events = eventsOf(answer.body);
            site.record.line(id + ": " + std::to_string(answer.status) + " from " + answer.header("Eelgrassford-Runner")
                + ", " + std::to_string(events) + " events, " + (answer.isComplete ? "complete" : "broken off"));
            if (answer.isComplete || events == 0)
                return;
            ++broken;
            auto headers = streamHeaders(id + "-again", "k1", i);
            headers.emplace_back("Resumes", id);
            headers.emplace_back("Last-Event-Id", std::to_string(events));
            const int daemon = 1 + i % (daemons - 1);
            const auto rest = Channel(site.daemon(daemon), callerPort).ask("POST", "/stream/1", headers, "x", 15000);
            const bool isOn = rest.status == 200 && eventsOf(rest.body) > 0;
            wentOn += isOn ? 1 : 0;
            site.record.line(id + "-again at daemon " + std::to_string(daemon) + ": " + std::to_string(rest.status)
                + (isOn ? " from " + rest.header("Eelgrassford-Runner") : " " + rest.body.substr(0, 20)));
        });
    sleepMs(2000);
    if (hasTrouble()) {
        site.record.line("daemon " + std::to_string(daemons) + " is killed");
        site.signal("daemon-" + std::to_string(daemons), SIGKILL);
    }
    std::atomic<int> begun = 0;
    std::vector<std::thread> others;
    for (int i = 0; i < newStreams; ++i)
        others.emplace_back([&, i] {
            sleepMs(20.0 * i);
            const auto answer
                = Channel(site.daemon(1 + i % (daemons - 1)), callerPort)
                      .ask("POST", "/stream/1", streamHeaders("n-" + std::to_string(i), "k1", 500 + i), "x", 15000);
            begun += answer.status == 200 ? 1 : 0;
            site.record.line("new stream n-" + std::to_string(i) + ": " + std::to_string(answer.status));
        });
    for (auto& caller : callers)
        caller.join();
    for (auto& other : others)
        other.join();
    std::array<char, 200> text {};
    std::snprintf(text.data(), text.size(), "%d streams taken up again, %d went on; %d of %d new ones began",
        broken.load(), wentOn.load(), begun.load(), newStreams);
    site.record.line(text.data());
    std::printf("%s\n", text.data());
    if (begun == 0)
        return exitNotRun;
    const double share = broken > 0 ? static_cast<double>(wentOn) / broken : 1.0;
    return broken >= leastStreams && share < 0.5 * begun / newStreams ? exitBroken : exitHeld;
}
