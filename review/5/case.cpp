// Two of a zone's three daemons are stopped in turn; bookings that arrive late in the grace period are cut off.
#include "../harness/harness.h"
#include <array>

using namespace review;

namespace {

constexpr double graceS = 8.0;
constexpr double timeLimitS = 2.5;
constexpr double longWorkS = 2.2;
constexpr const char* key = "n2ctnfzs989anu6wsjnb";

std::string configuration()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"booking\",\"host\":\"a.example\",\"pathPrefix\":\"/booking/\","
           "\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\"service\":"
           "\"works\","
           "\"maxAttempts\":1}],\"services\":[{\"name\":\"works\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
           "\"tenants\":[{\"name\":\"yard\",\"apiKeys\":[\""
        + std::string(key) + "\"]}]," + limitsJson() + "}";
}

Ledger ledger;
std::atomic<int> counter { 0 };

bool runnerAnswer(Channel& channel, const Message& request)
{
    const auto id = request.header("X-Attempt-Id");
    if (request.target().starts_with("/health"))
        return channel.send(answer(200, "X-Instance-Id: x\r\n", ""));
    ledger.ran(id);
    // One booking in ten takes long, though it ends before the route's timeout.
    sleepFor(++counter % 10 == 0 ? longWorkS : 0.03);
    return channel.send(
        answer(200, "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + digest() + "\r\n", std::string(800, 'b')));
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    Installation site(3, true);
    std::vector<std::unique_ptr<Server>> runners;
    site.store.put("op/config", configuration());
    for (int i = 1; i <= 3; ++i) {
        runners.push_back(std::make_unique<Server>());
        runners.back()->start(site.prefix + "2." + std::to_string(i), runnerAnswer);
        site.store.put(
            "servers/i-" + std::to_string(i), runnerEntry("works", runners.back()->address(), "tas-south-a", 16));
    }
    site.startAll();
    site.awaitReady();
    std::array<std::atomic<int>, 3> misses {};
    std::atomic<bool> isOver { false };
    std::array<std::atomic<double>, 3> termAt {};
    std::thread prober([&] {
        while (!isOver) {
            for (std::size_t i = 0; i < 3; ++i) {
                const bool isReady = site.daemons[i]->isReady();
                const int before = misses[i];
                misses[i] = isReady ? 0 : before + 1;
                if (!isReady && before == 1)
                    RECORD("platform: %s is out of rotation", site.daemons[i]->name.c_str());
            }
            sleepFor(1.0);
        }
    });
    std::atomic<int> lost { 0 }, sent { 0 };
    std::mutex randomMutex;
    std::mt19937_64 random(7);
    const auto choose = [&] {
        const std::lock_guard lock(randomMutex);
        std::vector<std::size_t> in;
        for (std::size_t i = 0; i < 3; ++i) {
            if (misses[i] < 2)
                in.push_back(i);
        }
        // Under half of the zone's daemons in rotation: all are used.
        if (in.size() * 2 < 3)
            in = { 0, 1, 2 };
        return in[random() % in.size()];
    };
    std::vector<std::thread> callers;
    for (int number = 0; number < 16; ++number) {
        callers.emplace_back([&, number] {
            for (int i = 0; !isOver; ++i) {
                const auto index = choose();
                auto& daemon = *site.daemons[index];
                const auto id = std::to_string(number) + "-" + std::to_string(i);
                const auto channel = Channel::connectTo(daemon.ip, daemon.front);
                if (!channel) {
                    sleepFor(0.05);
                    continue;
                }
                channel->send("POST /booking/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 2500\r\nX-Key: " + key + "\r\nContent-Length: 2\r\n\r\nhi");
                ++sent;
                const double sentAt = seconds();
                auto reply = channel->readHead(sentAt + timeLimitS);
                const bool isWhole = reply && channel->readBody(*reply, sentAt + timeLimitS);
                const double term = termAt[index];
                RECORD("booking %s sent at %.3f s to %s: status %d, runs %d", id.c_str(), sentAt, daemon.name.c_str(),
                    isWhole ? reply->status() : 0, ledger.runs(id));
                if (!isWhole && seconds() < sentAt + timeLimitS - 0.1 && ledger.runs(id) > 0 && term > 0
                    && sentAt > term + 3.0) {
                    ++lost;
                    RECORD("booking %s, sent %.2f s after the SIGTERM of %s: passed on, channel closed %.2f s later "
                           "without an answer",
                        id.c_str(), sentAt - term, daemon.name.c_str(), seconds() - sentAt);
                }
                sleepFor(0.05);
            }
        });
    }
    sleepFor(3.0);
    if (hasTrouble()) {
        for (std::size_t i = 0; i < 2; ++i) {
            RECORD("%s gets SIGTERM", site.daemons[i]->name.c_str());
            termAt[i] = seconds();
            site.daemons[i]->signal(SIGTERM);
            sleepFor(1.3);
        }
    }
    sleepFor(graceS + 1.0);
    isOver = true;
    for (auto& caller : callers)
        caller.join();
    prober.join();
    RECORD("sent %d, lost around the stops %d", sent.load(), lost.load());
    site.leave(lost > 0 ? 1 : 0);
}
