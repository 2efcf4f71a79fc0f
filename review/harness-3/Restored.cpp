// A key is taken away. Later the store comes back from a copy that is older than that, while a daemon is started again:
// the daemon admits the key until the operator has written the configuration once more.

#include "Harness.h"

using namespace review;

namespace {

constexpr double revokeMs = 5000;
/// Time after which the operator has written again what the store has lost.
constexpr double rewriteMs = 1000;

}

int main(int, char** arguments)
{
    Installation site(arguments[1]);
    site.startStore();
    if (!site.waitFor("the store serves", 5000, [&] { return site.isStoreUp(); }))
        return exitNotRun;
    site.put("op/config", configuration(1, "\"k1\",\"k2\""));
    for (int number : { 1, 2 }) {
        site.startRunner(number, { "--run-seconds", "0.03" });
        if (!site.waitFor("runner", 3000, [&] { return site.runnerCommand(number, "/fault?name=none"); }))
            return exitNotRun;
        site.list(number, { "desk", "v1", "ready", 1000 });
    }
    site.startHeartbeats();
    for (int number : { 1, 2, 3 })
        site.startDaemon(number);
    for (int number : { 1, 2, 3 }) {
        if (!site.waitFor("a daemon is ready", 8000, [&] { return site.isReady(number); }))
            return exitNotRun;
    }
    int asked = 0;
    const auto book = [&](int daemon, const std::string& key) {
        const auto id = "b-" + std::to_string(asked++);
        const Headers headers { { "Host", "a.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "2500" },
            { "X-Key", key } };
        const auto answer = Channel(site.daemon(daemon), callerPort).ask("POST", "/book/1", headers, "drums=3", 3000);
        site.record.line(id + " with " + key + " at daemon " + std::to_string(daemon) + ": "
            + std::to_string(answer.status) + (answer.header("X-Response-Signature").empty() ? "" : ", has run"));
        return answer;
    };
    for (int daemon : { 1, 2, 3 }) {
        if (book(daemon, "k2").status != 200)
            return exitNotRun;
    }
    site.storeCommand("/save");
    site.record.line("the copy of the store is made");
    sleepMs(300);
    const auto revoked = configuration(2, "\"k1\"");
    if (!site.put("op/config", revoked))
        return exitNotRun;
    const auto revokedAt = nowMs();
    site.record.line("the store has confirmed version 2, which takes k2 away");
    sleepMs(revokeMs + 500);
    for (int daemon : { 1, 2, 3 }) {
        if (book(daemon, "k2").status != 401 || book(daemon, "k1").status != 200)
            return exitNotRun;
    }
    if (hasTrouble()) {
        site.storeCommand("/fault?name=down");
        site.kill("daemon-2");
        site.record.line("the store is away; daemon 2 is killed");
        sleepMs(300);
        site.storeCommand("/restore");
        site.storeCommand("/fault?name=none");
        site.record.line("the store is back from its copy");
        site.startDaemon(2);
    }
    const auto backAt = nowMs();
    int ran = 0;
    if (!site.waitFor("daemon 2 is ready again", 5000, [&] { return site.isReady(2); }))
        return exitNotRun;
    bool isWritten = false;
    while (nowMs() < backAt + rewriteMs + 1500) {
        if (!isWritten && nowMs() > backAt + rewriteMs) {
            site.put("op/config", revoked);
            site.record.line("the operator has written version 2 again");
            isWritten = true;
        }
        const auto sentAt = nowMs();
        for (int daemon : { 1, 2, 3 }) {
            const auto answer = book(daemon, "k2");
            if (answer.status == 200 && sentAt > revokedAt + revokeMs)
                ++ran;
        }
        sleepMs(100);
    }
    const auto result = std::to_string(ran) + " requests ran whose key had been taken away more than 5 s before";
    site.record.line(result);
    std::printf("%s\n", result.c_str());
    return ran > 0 ? exitBroken : exitHeld;
}
