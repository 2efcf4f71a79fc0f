#include "fleet/ReaderElection.h"

#include <doctest/doctest.h>
#include <queue>
#include <random>
#include <set>

using namespace eelgrassford;
using fleet::FreshnessReply;
using fleet::ReaderElection;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

std::vector<std::string> addresses(int count)
{
    std::vector<std::string> result;
    for (int i = 0; i < count; ++i)
        result.push_back("10.0.0." + std::to_string(i + 1));
    return result;
}

std::vector<std::string> allBut(const std::vector<std::string>& ips, const std::string& own)
{
    auto result = ips;
    std::erase(result, own);
    return result;
}

}

TEST_CASE("daemons that hear each other elect the same few readers, more of them in a large fleet")
{
    for (const auto& [count, readers] : { std::pair { 1, 1 }, { 2, 2 }, { 7, 3 }, { 74, 3 }, { 100, 4 } }) {
        const auto ips = addresses(count);
        int elected = 0;
        for (const auto& ip : ips) {
            ReaderElection readership(ip, 1);
            readership.update(allBut(ips, ip));
            elected += readership.isElected() ? 1 : 0;
        }
        CHECK(elected == readers);
    }
}

TEST_CASE("a daemon that hears nobody reads, and so does one whose proof grows old")
{
    const auto ips = addresses(20);
    for (const auto& ip : ips) {
        ReaderElection readership(ip, 1);
        CHECK(readership.isReader(std::nullopt, start));
        readership.update(allBut(ips, ip));
        CHECK(readership.isReader(std::nullopt, start));
        if (readership.isElected())
            continue;
        CHECK_FALSE(readership.isReader(start, start + milliseconds(2700)));
        CHECK(readership.isReader(start, start + milliseconds(2701)));
    }
}

TEST_CASE("readers are asked in turn, so that a silent one costs one question")
{
    const auto ips = addresses(20);
    std::set<std::string> asked;
    for (const auto& ip : ips) {
        ReaderElection readership(ip, 1);
        readership.update(allBut(ips, ip));
        if (readership.isElected())
            continue;
        for (int i = 0; i < 3; ++i)
            asked.insert(readership.nextRequest(start + milliseconds(600) * i)->ip);
        CHECK_FALSE(readership.nextRequest(start + milliseconds(1300)));
        break;
    }
    CHECK(asked.size() == 3);
}

TEST_CASE("an answer that was not asked for, or comes twice, is nothing")
{
    const auto ips = addresses(20);
    for (const auto& ip : ips) {
        ReaderElection readership(ip, 500);
        readership.update(allBut(ips, ip));
        const auto question = readership.nextRequest(start);
        if (!question)
            continue;
        CHECK_FALSE(readership.receive({ 7, 0, 1 }));
        CHECK(readership.receive({ question->request.nonce, 0, 1 }));
        CHECK_FALSE(readership.receive({ question->request.nonce, 0, 1 }));
    }
}

namespace {

/// Runs a seeded schedule: a daemon without contact asks another, over a network that delays for seconds, while it is
/// suspended at times with datagrams waiting in its socket.
/// @param isNaive counts the age from the arrival of the answer, as a deliberately broken variant
/// @return number of times a vouched proof was newer than any that the other daemon had
int countFalseProofs(std::uint64_t seed, bool isNaive)
{
    struct Datagram {
        TimePoint arrivesAt;
        std::uint64_t nonce;
        std::optional<FreshnessReply> reply;
        TimePoint proofAtReply;
        bool operator<(const Datagram& other) const { return arrivesAt > other.arrivesAt; }
    };
    std::mt19937_64 random(seed);
    const auto ips = addresses(20);
    std::optional<ReaderElection> cut;
    for (const auto& ip : ips) {
        cut.emplace(ip, 1);
        cut->update(allBut(ips, ip));
        if (!cut->isElected())
            break;
    }
    std::priority_queue<Datagram> network;
    TimePoint provenAt = start;
    TimePoint suspendedUntil = start;
    int violations = 0;
    for (int step = 0; step < 600; ++step) {
        const auto now = start + milliseconds(25) * step;
        if (random() % 60 == 0)
            suspendedUntil = now + milliseconds(random() % 4000);
        if (random() % 40 == 0)
            provenAt = now;
        const auto delay = [&] { return milliseconds(random() % (random() % 5 == 0 ? 3000 : 20)); };
        std::vector<Datagram> kept;
        while (!network.empty() && network.top().arrivesAt <= now) {
            auto datagram = network.top();
            network.pop();
            if (!datagram.reply) {
                const auto age = std::chrono::ceil<milliseconds>(now - provenAt).count();
                network.push({ now + delay(), datagram.nonce, FreshnessReply { datagram.nonce, age, 4 }, provenAt });
                continue;
            }
            if (now < suspendedUntil) {
                kept.push_back(datagram);
                continue;
            }
            const auto answer = cut->receive(*datagram.reply);
            if (!answer)
                continue;
            const auto proof = isNaive ? now - milliseconds(datagram.reply->proofAgeMs) : *answer->provenAt;
            violations += proof > datagram.proofAtReply ? 1 : 0;
        }
        for (auto& datagram : kept)
            network.push(datagram);
        if (now < suspendedUntil)
            continue;
        if (const auto question = cut->nextRequest(now))
            network.push({ now + delay(), question->request.nonce, std::nullopt, start });
    }
    return violations;
}

}

TEST_CASE("a vouched proof of contact is never newer than the true one, whatever is delayed or suspended")
{
    int naive = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CHECK(countFalseProofs(seed, false) == 0);
        naive += countFalseProofs(seed, true);
    }
    // The checker catches a variant that ignores the time on the way.
    CHECK(naive > 0);
}
