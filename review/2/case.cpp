// Some callers leave before their answers are there, by a reset of their channels; the others stay.
#include "../harness/harness.h"

using namespace review;

namespace {

constexpr double duration = 75.0;
constexpr int callers = 96;
constexpr int tagEvents = 5;
constexpr int queryEvents = 40;
/// Share of the requests whose callers leave, and length of each time in which they do, as `give_up` in the site file.
constexpr double leavingShare = 0.2;
constexpr double leavingS = 5.5;
constexpr double pauseS = 1.0;
constexpr const char* key = "n2ctnfzs989anu6wsjnb";

std::string configuration()
{
    return "{\"version\":1,\"routes\":["
           "{\"name\":\"tag\",\"host\":\"a.example\",\"pathPrefix\":\"/tag/"
           "\",\"kind\":\"streaming\",\"timeoutMs\":3000,"
           "\"targetLatencyMs\":1500,\"gapTargetMs\":400,\"priority\":2,\"service\":\"pool\",\"maxAttempts\":1},"
           "{\"name\":\"query\",\"host\":\"a.example\",\"pathPrefix\":\"/query/"
           "\",\"kind\":\"streaming\",\"timeoutMs\":15000,"
           "\"targetLatencyMs\":800,\"gapTargetMs\":400,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":1},"
           "{\"name\":\"booking\",\"host\":\"a.example\",\"pathPrefix\":\"/booking/\",\"kind\":\"non_idempotent\","
           "\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"works\",\"maxAttempts\":1}],"
           "\"services\":[{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConnections\":360},"
           "{\"name\":\"works\",\"healthPath\":\"/health\",\"maxConnections\":100}],"
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
    static thread_local std::mt19937 random(std::random_device {}());
    sleepFor(0.010 + 0.0001 * static_cast<double>(random() % 200));
    const std::string headers = "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + digest() + "\r\n";
    if (request.target().starts_with("/booking/"))
        return channel.send(answer(200, headers, std::string(800, 'b')));
    channel.send(
        "HTTP/1.1 200 OK\r\n" + headers + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const bool isQuery = request.target().starts_with("/query/");
    const int events = isQuery ? queryEvents : tagEvents;
    for (int i = 1; i <= events; ++i) {
        const auto text = "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!channel.send(size + text + "\r\n" + (i == events ? "0\r\n\r\n" : "")))
            return false;
        if (i < events)
            sleepFor(isQuery ? 0.015 : 0.004);
    }
    return true;
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::get().open(argc > 1 ? argv[1] : "record.txt");
    Installation site(3);
    std::vector<std::unique_ptr<Server>> runners;
    site.store.put("op/config", configuration());
    for (int i = 1; i <= 6; ++i) {
        const std::string service = i <= 3 ? "pool" : "works";
        runners.push_back(std::make_unique<Server>());
        runners.back()->start(site.prefix + "2." + std::to_string(i), runnerAnswer);
        site.store.put("servers/i-" + std::to_string(i),
            runnerEntry(
                service, runners.back()->address(), site.daemons[static_cast<std::size_t>(i - 1) % 3]->zone, 64));
    }
    site.startAll();
    site.awaitReady();
    std::vector<Lost> results(site.daemons.size());
    std::atomic<long> left { 0 };
    std::atomic<bool> isOver { false };
    const double begin = seconds();
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
            const auto unit = [&] { return static_cast<double>(random() % 1000000) / 1e6; };
            const auto index = static_cast<std::size_t>(number) % site.daemons.size();
            std::unique_ptr<Channel> channel;
            bool isKept = false;
            while (!isOver) {
                if (!channel) {
                    channel = Channel::connectTo(site.daemons[index]->ip, site.daemons[index]->front);
                    isKept = false;
                    if (!channel) {
                        sleepFor(0.1);
                        continue;
                    }
                }
                const auto id = std::to_string(number) + "-" + std::to_string(random() % 1000000000);
                const auto draw = random() % 10;
                const std::string kind = draw < 4 ? "booking" : draw < 8 ? "tag" : "query";
                const double phase = seconds() - begin - 1.0;
                const bool isLeavingTime = phase > 0 && std::fmod(phase, leavingS + pauseS) < leavingS;
                const bool leaves = hasTrouble() && isLeavingTime && unit() < leavingShare;
                auto head = "POST /" + kind + "/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 2500\r\nX-Key: " + key + "\r\n";
                if (kind != "booking")
                    head += "X-Model: m\r\nX-Token-Usage: 2401,25\r\nX-Prompt-Prefix: 5c1e07a2:2041,"
                        + std::to_string(number + 16) + ":360\r\n";
                const std::string body = "request " + id;
                channel->send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                auto& result = results[index];
                ++result.sent;
                if (leaves) {
                    sleepFor(unit() * 0.05);
                    // An abortive close: the caller's host resets the channel.
                    const linger abort { 1, 0 };
                    setsockopt(channel->fd(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
                    channel.reset();
                    ++left;
                    continue;
                }
                const double until = seconds() + 2.5;
                auto response = channel->readHead(until);
                if (response && channel->readBody(*response, until)) {
                    ++(response->status() == 200 ? result.whole : result.refused);
                    isKept = true;
                    sleepFor(unit() * 0.1);
                    continue;
                }
                ++result.unanswered;
                const int runs = ledger.runs(id);
                if (isKept && runs > 0) {
                    ++result.lost;
                    RECORD("%s %s at %s: kept channel closed without a whole answer, runs %d", kind.c_str(), id.c_str(),
                        site.daemons[index]->name.c_str(), runs);
                }
                channel.reset();
            }
        });
    }
    while (seconds() - begin < duration) {
        sleepFor(0.02);
        site.restartEnded();
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    RECORD("%ld callers left", left.load());
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
