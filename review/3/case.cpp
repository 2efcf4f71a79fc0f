// A version of the configuration takes the last tenant away, and with it the key of connected requesters.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double revokeS = 5.0;
constexpr const char* heldKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* unknownKey = "key-that-nobody-holds";

std::string configuration(int version, bool hasTenant)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":[{\"name\":\"booking\",\"host\":\"a.example\",\"pathPrefix\":\"/booking/\","
          "\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"works\","
          "\"maxAttempts\":1}],\"services\":[{\"name\":\"works\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
          "\"tenants\":["
        + (hasTenant ? "{\"name\":\"yard\",\"apiKeys\":[\"" + std::string(heldKey) + "\"]}" : "") + "]," + limitsJson()
        + "}";
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
    const auto request = [&](const std::string& key) {
        const auto id = "r-" + std::to_string(++number);
        auto& daemon = *site.daemons[static_cast<std::size_t>(number) % site.daemons.size()];
        const auto reply = ask(daemon,
            "POST /booking/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 2500\r\nX-Key: " + key + "\r\n",
            "hi", 2.5);
        RECORD("request %s with %s through %s: status %d, runs %d", id.c_str(), key.c_str(), daemon.name.c_str(),
            reply.status, ledger.runs(id));
        return ledger.runs(id);
    };
    int ranBefore = 0;
    for (int i = 0; i < 12; ++i) {
        ranBefore += request(heldKey);
        if (request(unknownKey) > 0)
            cannotRun("a request with an unknown key ran before the disruption");
    }
    if (ranBefore != 12)
        cannotRun("requests with the key were not served before the disruption");
    double confirmedAt = seconds();
    if (hasTrouble())
        confirmedAt = site.store.put("op/config", configuration(2, false));
    while (seconds() < confirmedAt + revokeS + 0.5)
        sleepFor(0.05);
    int ranRevoked = 0;
    int ranUnknown = 0;
    for (int i = 0; i < 12; ++i) {
        const int runs = request(heldKey);
        ranRevoked += hasTrouble() ? runs : 0;
        ranUnknown += request(unknownKey);
    }
    RECORD(
        "%d requests with the key that was taken away, and %d with a key that nobody ever held, ran later than %.0f s "
        "after the confirmation",
        ranRevoked, ranUnknown, revokeS);
    site.leave(ranRevoked + ranUnknown > 0 ? 1 : 0);
}
