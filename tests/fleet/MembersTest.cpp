#include "fleet/Members.h"

#include <doctest/doctest.h>
#include <memory>
#include <queue>
#include <random>

using namespace eelgrassford;
using fleet::Digest;
using fleet::Members;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

Digest digest(const std::string& ip, std::uint64_t incarnation, std::uint64_t sequence)
{
    Digest result;
    result.ip = ip;
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

/// Daemons that exchange digests over a network that loses and delays them.
struct Network {
    struct Daemon {
        std::string ip;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::unique_ptr<Members> members;
    };
    std::mt19937_64 random;
    std::vector<Daemon> daemons;
    double loss = 0.0;

    Network(std::size_t count, std::uint64_t seed, const std::vector<std::string>& seeds)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Daemon daemon { "10.0.0." + std::to_string(i + 1), 1000 + i, 0, nullptr };
            daemon.members = std::make_unique<Members>(daemon.ip, daemon.incarnation);
            daemon.members->addSeeds(seeds, start);
            daemons.push_back(std::move(daemon));
        }
    }

    void step(TimePoint now)
    {
        for (auto& sender : daemons) {
            auto message = digest(sender.ip, sender.incarnation, ++sender.sequence);
            message.members = sender.members->nameSome();
            for (const auto& ip : sender.members->due(now)) {
                for (auto& receiver : daemons) {
                    if (receiver.ip == ip && std::uniform_real_distribution<double>()(random) >= loss)
                        receiver.members->receive(message, now);
                }
            }
        }
    }
};

}

TEST_CASE("daemons that know one living seed among stale ones all meet, with a third of the datagrams lost")
{
    Network network(12, 20261204, { "10.0.0.77", "10.0.0.3", "10.0.0.88" });
    network.loss = 0.33;
    for (int i = 0; i < 100; ++i)
        network.step(start + milliseconds(50) * i);
    for (const auto& daemon : network.daemons)
        CHECK(daemon.members->heard(start + milliseconds(5000)) == 11);
}

TEST_CASE("an older digest of the same life changes nothing, one of a new life does")
{
    Members members("10.0.0.1", 1);
    CHECK(members.receive(digest("10.0.0.2", 5, 10), start));
    CHECK_FALSE(members.receive(digest("10.0.0.2", 5, 9), start));
    CHECK_FALSE(members.receive(digest("10.0.0.2", 5, 10), start));
    CHECK(members.receive(digest("10.0.0.2", 6, 1), start));
    CHECK_FALSE(members.receive(digest("10.0.0.1", 9, 1), start));
}

TEST_CASE("what a daemon said of runners is dropped when it falls silent or leaves")
{
    Members members("10.0.0.1", 1);
    auto word = digest("10.0.0.2", 5, 1);
    word.runners = { { 77, 4, 20, 10, 500 } };
    members.receive(word, start);
    const auto summary = members.summarize(start).at(77);
    CHECK(summary.underWay == 4);
    CHECK(summary.served == 2.0);
    CHECK(summary.failed == 1.0);
    CHECK(summary.suspendedBy == 1);
    CHECK(members.summarize(start + milliseconds(600)).at(77).suspendedBy == 0);
    CHECK(members.summarize(start + milliseconds(1600)).empty());
    word.sequence = 2;
    word.isLeaving = true;
    members.receive(word, start);
    CHECK(members.summarize(start).empty());
}

TEST_CASE("a silent daemon is asked seldom and forgotten in the end")
{
    Members members("10.0.0.1", 1);
    const std::vector<std::string> seeds { "10.0.0.2" };
    members.addSeeds(seeds, start);
    int asked = 0;
    for (int i = 0; i < 590; ++i)
        asked += static_cast<int>(members.due(start + milliseconds(100) * i).size());
    CHECK(asked < 100);
    members.due(start + std::chrono::seconds(61));
    CHECK(members.known() == 0);
}

TEST_CASE("a digest survives its encoding, and bytes that are none are refused")
{
    auto word = digest("10.0.0.2", 5, 1);
    word.host = "edge-1";
    word.region = "south";
    word.configurationRevision = 9;
    word.proofAgeMs = 250;
    word.members = { { "10.0.0.3", 7, 8 } };
    word.runners = { { 77, 4, 20, 10, 500 } };
    word.crashes = { { 3, { 1, 2 } } };
    const auto decoded = fleet::decodeDigest(fleet::encode(word));
    REQUIRE(decoded);
    CHECK(decoded->host == word.host);
    CHECK(decoded->members == word.members);
    CHECK(decoded->runners == word.runners);
    CHECK(decoded->crashes.at(0).runners == word.crashes.at(0).runners);
    CHECK_FALSE(fleet::decodeDigest("garbage"));
    CHECK_FALSE(fleet::decodeDigest(""));
}

namespace {

/// Runs seeded schedules of two daemons, one of which has contact, over a network that delays for seconds.
/// @param isNaive counts a proof's age from the arrival of the digest, as a deliberately broken variant
/// @return number of times a vouched proof was newer than the true one
int countFalseProofs(std::uint64_t seed, bool isNaive)
{
    struct Datagram {
        TimePoint arrivesAt;
        bool isToCut;
        Digest digest;
        bool operator<(const Datagram& other) const { return arrivesAt > other.arrivesAt; }
    };
    std::mt19937_64 random(seed);
    Members cut("10.0.0.1", 1);
    Members inContact("10.0.0.2", 2);
    std::uint64_t cutSequence = 0;
    std::uint64_t contactSequence = 0;
    std::priority_queue<Datagram> network;
    TimePoint provenAt = start;
    TimePoint pausedUntil = start;
    int violations = 0;
    for (int step = 0; step < 400; ++step) {
        const auto now = start + milliseconds(50) * step;
        if (random() % 30 == 0)
            pausedUntil = now + milliseconds(random() % 4000);
        if (random() % 20 == 0)
            provenAt = now;
        const auto delay = [&] { return milliseconds(random() % (random() % 5 == 0 ? 3000 : 20)); };
        // Datagrams wait in the socket of the suspended daemon; they are read when it goes on.
        while (!network.empty() && network.top().arrivesAt <= now && (now >= pausedUntil || !network.top().isToCut)) {
            auto datagram = network.top();
            network.pop();
            (datagram.isToCut ? cut : inContact).receive(datagram.digest, now);
        }
        auto vouching = digest("10.0.0.2", 2, ++contactSequence);
        vouching.configurationRevision = 4;
        vouching.proofAgeMs = std::chrono::ceil<milliseconds>(now - provenAt).count();
        vouching.members = inContact.nameSome();
        network.push({ now + delay(), true, vouching });
        if (now < pausedUntil)
            continue;
        auto asking = digest("10.0.0.1", 1, ++cutSequence);
        cut.recordSent(cutSequence, now);
        asking.members = cut.nameSome();
        network.push({ now + delay(), false, asking });
        auto proof = cut.vouchedProof(4, now);
        if (isNaive && proof)
            proof = now - milliseconds(vouching.proofAgeMs) + milliseconds(1);
        // The newest proof that the other daemon ever had bounds what it may vouch for.
        violations += proof && *proof > provenAt ? 1 : 0;
    }
    return violations;
}

}

TEST_CASE("a vouched proof of contact is never newer than the true one, whatever is delayed or suspended")
{
    int naive = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CHECK(countFalseProofs(seed, false) == 0);
        naive += countFalseProofs(seed, true);
    }
    // The checker catches a variant that ignores the time on the way.
    CHECK(naive > 0);
}

TEST_CASE("a daemon with another configuration does not vouch")
{
    Members members("10.0.0.1", 1);
    members.recordSent(1, start);
    auto word = digest("10.0.0.2", 5, 1);
    word.configurationRevision = 9;
    word.proofAgeMs = 0;
    word.members = { { "10.0.0.1", 1, 1 } };
    members.receive(word, start);
    CHECK(members.vouchedProof(9, start) == start);
    CHECK_FALSE(members.vouchedProof(8, start));
    CHECK_FALSE(members.vouchedProof(10, start));
}
