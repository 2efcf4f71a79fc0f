#include "fleet/ReaderElection.h"

#include <doctest/doctest.h>
#include <map>
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

std::vector<std::string> withoutOwn(const std::vector<std::string>& ips, const std::string& own)
{
    auto result = ips;
    std::erase(result, own);
    return result;
}

}

TEST_CASE("daemons with the same live members elect the same three readers in a fleet of any size")
{
    for (const auto& [count, readers] :
        { std::pair { 1, 1 }, { 2, 2 }, { 7, 3 }, { 74, 3 }, { 100, 3 }, { 1000, 3 } }) {
        const auto ips = addresses(count);
        int elected = 0;
        for (const auto& ip : ips) {
            ReaderElection election(ip, 1);
            election.update(withoutOwn(ips, ip));
            elected += election.isElected() ? 1 : 0;
        }
        CHECK(elected == readers);
    }
}

TEST_CASE("a daemon without live members reads the store, and so does one whose newest proof is too old")
{
    const auto ips = addresses(20);
    for (const auto& ip : ips) {
        ReaderElection election(ip, 1);
        CHECK(election.isReader(std::nullopt, start));
        election.update(withoutOwn(ips, ip));
        CHECK(election.isReader(std::nullopt, start));
        if (election.isElected())
            continue;
        CHECK_FALSE(election.isReader(start, start + milliseconds(1600)));
        CHECK(election.isReader(start, start + milliseconds(1601)));
    }
}

TEST_CASE("requests go to the readers in turn, so that a silent reader costs one request")
{
    const auto ips = addresses(20);
    std::set<std::string> askedReaders;
    for (const auto& ip : ips) {
        ReaderElection election(ip, 1);
        election.update(withoutOwn(ips, ip));
        if (election.isElected())
            continue;
        for (int i = 0; i < 3; ++i)
            askedReaders.insert(election.nextRequest(start + milliseconds(300) * i)->ip);
        CHECK_FALSE(election.nextRequest(start + milliseconds(899)));
        break;
    }
    CHECK(askedReaders.size() == 3);
}

TEST_CASE("an aggregator asks more often, since its proofs grow older on their way to other daemons")
{
    const auto ips = addresses(20);
    for (const auto& ip : ips) {
        ReaderElection election(ip, 1);
        election.update(withoutOwn(ips, ip));
        if (election.isElected())
            continue;
        CHECK(election.nextRequest(start, true));
        CHECK_FALSE(election.nextRequest(start + milliseconds(199), true));
        CHECK(election.nextRequest(start + milliseconds(200), true));
    }
}

TEST_CASE("a reply without a pending request, or a repeated one, is ignored")
{
    const auto ips = addresses(20);
    for (const auto& ip : ips) {
        ReaderElection election(ip, 500);
        election.update(withoutOwn(ips, ip));
        const auto outgoing = election.nextRequest(start);
        if (!outgoing)
            continue;
        CHECK_FALSE(election.receive({ 7, 0, 1 }));
        CHECK(election.receive({ outgoing->request.nonce, 0, 1 }));
        CHECK_FALSE(election.receive({ outgoing->request.nonce, 0, 1 }));
    }
}

namespace {

/// Runs a seeded schedule: a daemon that cannot reach the store requests proofs from a reader, over a network that
/// delays datagrams by seconds. The daemon is suspended at times, with datagrams waiting in its socket.
/// @param isNaive subtracts the age from the arrival time of the reply, as a deliberately broken variant
/// @return number of replies from which the daemon derived a newer proof than the reader had when it replied
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
    std::optional<ReaderElection> follower;
    for (const auto& ip : ips) {
        follower.emplace(ip, 1);
        follower->update(withoutOwn(ips, ip));
        if (!follower->isElected())
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
        std::vector<Datagram> held;
        while (!network.empty() && network.top().arrivesAt <= now) {
            auto datagram = network.top();
            network.pop();
            if (!datagram.reply) {
                const auto age = std::chrono::ceil<milliseconds>(now - provenAt).count();
                network.push({ now + delay(), datagram.nonce, FreshnessReply { datagram.nonce, age, 4 }, provenAt });
                continue;
            }
            if (now < suspendedUntil) {
                held.push_back(datagram);
                continue;
            }
            const auto status = follower->receive(*datagram.reply);
            if (!status)
                continue;
            const auto proof = isNaive ? now - milliseconds(datagram.reply->proofAgeMs) : *status->provenAt;
            violations += proof > datagram.proofAtReply ? 1 : 0;
        }
        for (auto& datagram : held)
            network.push(datagram);
        if (now < suspendedUntil)
            continue;
        if (const auto outgoing = follower->nextRequest(now))
            network.push({ now + delay(), outgoing->request.nonce, std::nullopt, start });
    }
    return violations;
}

}

TEST_CASE("a proof from a reader is never newer than the reader's own under any delay or suspension")
{
    int naive = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CHECK(countFalseProofs(seed, false) == 0);
        naive += countFalseProofs(seed, true);
    }
    // The check detects a variant that ignores the network delay.
    CHECK(naive > 0);
}

namespace {

/// Replays a daemon that is not elected, beside readers that each prove their mirrors once in a watch of a second.
struct Follower {
    static constexpr Duration tick = milliseconds(75);
    static constexpr Duration watchWait = milliseconds(1000);
    static constexpr Duration roundTrip = milliseconds(10);

    std::mt19937_64 random;
    std::optional<ReaderElection> election;
    std::optional<TimePoint> provenAt;
    /// Phase of each reader's watch.
    std::map<std::string, Duration> phases;

    explicit Follower(std::uint64_t seed)
        : random(seed)
    {
        const auto ips = addresses(7);
        for (const auto& ip : ips) {
            phases[ip] = milliseconds(random() % 1000);
            election.emplace(ip, 1);
            election->update(withoutOwn(ips, ip));
            if (!election->isElected())
                return;
        }
    }

    /// Requests a proof if one is due.
    /// @param lostAt time at which all readers lose the store
    void request(TimePoint now, TimePoint lostAt)
    {
        const auto outgoing = election->nextRequest(now);
        if (!outgoing)
            return;
        const auto provenUntil = std::min(now, lostAt);
        const auto age = (now - provenUntil) + (provenUntil.time_since_epoch() + phases[outgoing->ip]) % watchWait;
        const auto status = election->receive({ outgoing->request.nonce, age / milliseconds(1) + 1, 4 });
        if (!provenAt || *status->provenAt > *provenAt)
            provenAt = status->provenAt;
    }

    /// Time of the first tick, from the start until the end, at which the daemon reads the store itself.
    std::optional<TimePoint> firstRead(TimePoint lostAt, TimePoint end)
    {
        auto now = start;
        request(now, lostAt);
        for (; now < end; now += tick) {
            request(now - roundTrip, lostAt);
            if (election->isReader(provenAt, now))
                return now;
        }
        return std::nullopt;
    }
};

}

TEST_CASE("the age of proofs and the time between requests follow the deadline, up to their limits")
{
    const auto two = ReaderElection::Options::forDeadline(std::chrono::seconds(2));
    CHECK(two.maxProofAge == milliseconds(1600));
    CHECK(two.requestInterval == milliseconds(300));
    const auto fifteen = ReaderElection::Options::forDeadline(std::chrono::seconds(15));
    CHECK(fifteen.maxProofAge == milliseconds(2700));
    CHECK(fifteen.requestInterval == milliseconds(600));
}

TEST_CASE("a change is in force in time although all readers lose the store just before it")
{
    // The platform's deadline, and the time that a query and the adoption take on a loaded host.
    constexpr Duration deadline = std::chrono::seconds(2);
    constexpr Duration adoptionTime = milliseconds(200);
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        Follower follower(seed);
        const auto lostAt = start + std::chrono::seconds(10) + milliseconds(seed * 7);
        const auto readAt = follower.firstRead(lostAt, lostAt + std::chrono::seconds(5));
        REQUIRE(readAt);
        CHECK(*readAt > lostAt);
        CHECK(*readAt + adoptionTime - lostAt <= deadline);
    }
}
