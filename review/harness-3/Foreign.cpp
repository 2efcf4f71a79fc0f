// Another writer writes an entry with fields missing under the id of an application runner; it names the service of the
// model runners.

#include "Harness.h"

using namespace review;

namespace {

constexpr int application = 4;
constexpr int streamsOfSession = 24;

}

int main(int, char** arguments)
{
    Installation site(arguments[1]);
    site.startStore();
    if (!site.waitFor("the store serves", 5000, [&] { return site.isStoreUp(); }))
        return exitNotRun;
    site.put("op/config", configuration(1, "\"k1\""));
    for (int number : { 1, 2, 3, application }) {
        site.startRunner(number, { "--version", "v1", "--run-seconds", "0.01", "--events", "10" });
        if (!site.waitFor("runner", 3000, [&] { return site.runnerCommand(number, "/fault?name=none"); }))
            return exitNotRun;
        site.list(number, { number == application ? "desk" : "pool", "v1", "ready", 1000 });
    }
    site.startHeartbeats();
    for (int number : { 1, 2, 3 })
        site.startDaemon(number);
    for (int number : { 1, 2, 3 }) {
        if (!site.waitFor("a daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    std::atomic<int> ran = 0;
    std::atomic<int> served = 0;
    std::atomic<int> asked = 0;
    // Sessions of one daemon each, one request after the other.
    std::vector<std::thread> sessions;
    for (int session = 0; session < 12; ++session)
        sessions.emplace_back([&, session] {
            for (int i = 0; i < streamsOfSession; ++i) {
                const auto id = "s-" + std::to_string(session) + "-" + std::to_string(i);
                const auto answer
                    = Channel(site.daemon(1 + session % 3), callerPort)
                          .ask("POST", "/stream/1", streamHeaders(id, "k1", session + 12 * i), "x", 15000);
                const auto runner = answer.header("Eelgrassford-Runner");
                site.record.line(id + ": " + std::to_string(answer.status) + ", run by " + runner);
                ++asked;
                served += answer.status == 200 ? 1 : 0;
                ran += runner == "i-" + std::to_string(application) ? 1 : 0;
            }
        });
    sleepMs(1500);
    if (hasTrouble()) {
        const auto entry = R"({"service":"pool","address":")"
            + Installation::address(site.runner(application), runnerPort)
            + R"(","zone":"south-a","slots":64,"state":"ready"})";
        site.put("servers/i-" + std::to_string(application), entry);
        site.record.line("another writer writes servers/i-4: " + entry);
    }
    for (auto& session : sessions)
        session.join();
    const auto result = std::to_string(ran.load()) + " of " + std::to_string(served.load())
        + " streams for the service pool were run by a runner of the service desk";
    site.record.line(result);
    std::printf("%s\n", result.c_str());
    if (served < asked / 2)
        return exitNotRun;
    return ran > 0 ? exitBroken : exitHeld;
}
