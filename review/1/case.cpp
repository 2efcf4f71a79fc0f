// An entry of another writer, whose address is a host name, comes among the runners of a service.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double duration = 14.0;
constexpr double troubleAt = 4.0;
constexpr int callers = 48;
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

bool runnerAnswer(Channel& channel, const Message& request)
{
    const auto id = request.header("X-Attempt-Id");
    if (request.target().starts_with("/health"))
        return channel.send(answer(200, "X-Instance-Id: x\r\n", ""));
    ledger.ran(id);
    sleepFor(0.03);
    return channel.send(
        answer(200, "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + digest() + "\r\n", std::string(800, 'b')));
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    Installation site(3);
    std::vector<std::unique_ptr<Server>> runners;
    site.store.put("op/config", configuration());
    for (int i = 1; i <= 3; ++i) {
        runners.push_back(std::make_unique<Server>());
        runners.back()->start(site.prefix + "2." + std::to_string(i), runnerAnswer);
        site.store.put("servers/i-" + std::to_string(i),
            runnerEntry("works", runners.back()->address(), site.daemons[static_cast<std::size_t>(i) - 1]->zone, 24));
    }
    site.startAll();
    site.awaitReady();
    std::vector<Lost> results(site.daemons.size());
    std::atomic<bool> isOver { false };
    const double begin = seconds();
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
            std::unique_ptr<Channel> channel;
            std::size_t index = 0;
            bool isKept = false;
            while (!isOver) {
                if (!channel) {
                    index = random() % site.daemons.size();
                    channel = Channel::connectTo(site.daemons[index]->ip, site.daemons[index]->front);
                    isKept = false;
                    if (!channel) {
                        sleepFor(0.2);
                        continue;
                    }
                }
                const auto id = std::to_string(number) + "-" + std::to_string(random() % 1000000000);
                channel->send("POST /booking/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 2500\r\nX-Key: " + key + "\r\nContent-Length: 2\r\n\r\nhi");
                auto& result = results[index];
                ++result.sent;
                const double until = seconds() + 2.5;
                auto response = channel->readHead(until);
                if (response && channel->readBody(*response, until)) {
                    ++(response->status() == 200 ? result.whole : result.refused);
                    isKept = true;
                    sleepFor(0.0005 * static_cast<double>(random() % 80));
                    continue;
                }
                ++result.unanswered;
                const int runs = ledger.runs(id);
                if (isKept && runs > 0)
                    ++result.lost;
                RECORD("booking %s at %s: %s channel closed without an answer, runs %d", id.c_str(),
                    site.daemons[index]->name.c_str(), isKept ? "kept" : "new", runs);
                channel.reset();
            }
        });
    }
    bool isPlayed = false;
    while (seconds() - begin < duration) {
        sleepFor(0.02);
        if (hasTrouble() && !isPlayed && seconds() - begin > troubleAt) {
            site.store.put("servers/i-9", runnerEntry("works", "works-9.tas-south-a:8708", "tas-south-a", 24));
            isPlayed = true;
        }
        site.restartEnded();
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    RECORD("runs at runners: %ld", ledger.total());
    bool isBroken = false;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& result = results[i];
        RECORD("%s: sent %ld, answered %ld, refused %ld, unanswered %ld, of these passed on from kept channels %ld; "
               "ended by itself %d times",
            site.daemons[i]->name.c_str(), result.sent.load(), result.whole.load(), result.refused.load(),
            result.unanswered.load(), result.lost.load(), site.daemons[i]->ends);
        isBroken = isBroken || result.lost > 3;
    }
    site.leave(isBroken ? 1 : 0);
}
