// The store comes back from a copy that is some seconds old while a daemon is stopped and started in turn.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double revokeS = 5.0;
constexpr const char* keptKey = "k-kept-1";
constexpr const char* revokedKey = "k-revoked-1";

std::string configuration(int version, bool hasKey)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":[{\"name\":\"booking\",\"host\":\"a.example\",\"pathPrefix\":\"/booking/\","
          "\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"works\","
          "\"maxAttempts\":1}],\"services\":[{\"name\":\"works\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
          "\"tenants\":[{\"name\":\"yard\",\"apiKeys\":[\""
        + keptKey + "\"]},{\"name\":\"lab\",\"apiKeys\":[" + (hasKey ? "\"" + std::string(revokedKey) + "\"" : "")
        + "]}]," + limitsJson() + "}";
}

Ledger ledger;

bool runnerAnswer(Channel& channel, const Message& request)
{
    const auto id = request.header("X-Attempt-Id");
    if (request.target().starts_with("/health"))
        return channel.send(answer(200, "X-Instance-Id: x\r\n", ""));
    ledger.ran(id);
    RECORD("runner: request %s runs, X-Tenant '%s'", id.c_str(), request.header("X-Tenant").c_str());
    sleepFor(0.03);
    return channel.send(answer(200, "X-Attempt-Id: " + id + "\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
        std::string(800, 'b')));
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    Installation site(3);
    std::vector<std::unique_ptr<Server>> runners;
    site.store.put("op/config", configuration(1, true));
    for (int i = 1; i <= 3; ++i) {
        runners.push_back(std::make_unique<Server>());
        runners.back()->start(site.prefix + "2." + std::to_string(i), runnerAnswer);
        site.store.put(
            "servers/i-" + std::to_string(i), runnerEntry("works", runners.back()->address(), "tas-south-a", 6));
    }
    site.startAll();
    site.awaitReady();
    int number = 0;
    const auto request = [&](Daemon& daemon, const std::string& key) {
        const auto id = "r-" + std::to_string(++number);
        const auto reply = ask(daemon,
            "POST /booking/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 2500\r\nX-Key: " + key + "\r\n",
            "hi", 2.5);
        RECORD("request %s with %s through %s: status %d, runs %d", id.c_str(), key.c_str(), daemon.name.c_str(),
            reply.status, ledger.runs(id));
        return ledger.runs(id);
    };
    for (auto& daemon : site.daemons) {
        if (request(*daemon, revokedKey) != 1)
            cannotRun("requests were not served before the disruption");
    }
    sleepFor(1.0);
    site.store.copy();
    sleepFor(0.5);
    const double confirmedAt = site.store.put("op/config", configuration(2, false));
    const auto until = [&](double after) {
        while (seconds() < confirmedAt + after)
            sleepFor(0.01);
    };
    auto& restarted = *site.daemons[1];
    int ranRevoked = 0;
    until(2.5);
    RECORD("%s gets SIGTERM", restarted.name.c_str());
    restarted.signal(SIGTERM);
    until(4.5);
    if (hasTrouble())
        site.store.goDown();
    until(5.5);
    if (hasTrouble())
        site.store.restore();
    // The platform starts the process again as soon as it has ended; here at the store's return or later.
    int status = 0;
    waitpid(restarted.pid, &status, 0);
    RECORD("%s has ended after SIGTERM", restarted.name.c_str());
    restarted.start();
    const double rewriteAt = seconds() + 2.0;
    bool isRewritten = false;
    const double end = seconds() + 5.0;
    while (seconds() < end) {
        if (hasTrouble() && !isRewritten && seconds() > rewriteAt) {
            site.store.put("op/config", configuration(2, false));
            isRewritten = true;
        }
        if (seconds() > confirmedAt + revokeS) {
            for (auto& daemon : site.daemons)
                ranRevoked += request(*daemon, revokedKey);
            request(restarted, keptKey);
        }
        sleepFor(0.1);
    }
    RECORD("%d requests ran whose key was taken away more than %.0f s before they were sent", ranRevoked, revokeS);
    site.leave(ranRevoked > 0 ? 1 : 0);
}
