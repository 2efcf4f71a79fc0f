#include "fleet/StreamDirectory.h"
#include "common/Hash.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>

using namespace eelgrassford;
using fleet::StreamDirectory;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(1000) };
constexpr Duration tickInterval = milliseconds(75);

/// Directories of several daemons, and datagrams between them, some of which are lost.
class Fleet {
public:
    explicit Fleet(std::size_t count, double loss = 0.0, std::uint64_t seed = 1)
        : m_loss(loss)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_ips.push_back("10.0.0." + std::to_string(i + 1));
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
    }

    StreamDirectory& daemon(std::size_t index) { return *m_daemons.at(m_ips[index]); }
    const std::string& ip(std::size_t index) const { return m_ips[index]; }

    void kill(std::size_t index) { m_daemons.erase(m_ips[index]); }
    void restart(std::size_t index)
    {
        m_daemons[m_ips[index]]
            = std::make_unique<StreamDirectory>(m_ips[index], m_random(), StreamDirectory::Options {});
        auto others = m_ips;
        std::erase(others, m_ips[index]);
        daemon(index).setMembers(others);
    }
    /// A daemon learns that another one has ended.
    void forget(std::size_t index, const std::vector<std::size_t>& ended)
    {
        std::vector<std::string> others;
        for (std::size_t i = 0; i < m_ips.size(); ++i) {
            if (i != index && std::find(ended.begin(), ended.end(), i) == ended.end())
                others.push_back(m_ips[i]);
        }
        daemon(index).setMembers(others);
    }

    void deliver(const std::string& from, const std::vector<StreamDirectory::Outgoing>& outgoing)
    {
        for (const auto& datagram : outgoing) {
            m_bytes += datagram.bytes.size();
            const auto to = m_daemons.find(datagram.ip);
            if (to == m_daemons.end() || std::uniform_real_distribution<double>()(m_random) < m_loss)
                continue;
            const auto message = fleet::decode(datagram.bytes);
            REQUIRE(message);
            if (const auto* list = std::get_if<fleet::StreamOriginList>(&*message))
                to->second->receive(*list, now);
            else if (const auto* question = std::get_if<fleet::StreamQuestion>(&*message))
                deliver(datagram.ip, to->second->receive(from, *question, now));
            else if (const auto* answer = std::get_if<fleet::StreamAnswer>(&*message))
                to->second->receive(from, *answer);
        }
    }

    void publish(std::size_t index, dispatch::StreamOrigin origin)
    {
        const std::vector<dispatch::StreamOrigin> origins { origin };
        deliver(m_ips[index], daemon(index).publish(origins, now));
    }

    /// Asks, and lets time pass until the question is concluded.
    std::optional<std::uint64_t> find(std::size_t index, dispatch::StreamKey stream)
    {
        std::optional<std::uint64_t> result;
        int conclusions = 0;
        deliver(m_ips[index],
            daemon(index).find(
                stream,
                [&](std::optional<std::uint64_t> software) {
                    result = software;
                    ++conclusions;
                },
                now));
        for (int tick = 0; tick < 8; ++tick) {
            now += tickInterval;
            deliver(m_ips[index], daemon(index).tick(now));
        }
        CHECK(conclusions == 1);
        return result;
    }

    TimePoint now = start;
    std::size_t bytes() const { return m_bytes; }

private:
    double m_loss;
    std::mt19937_64 m_random;
    std::vector<std::string> m_ips;
    std::map<std::string, std::unique_ptr<StreamDirectory>> m_daemons;
    std::size_t m_bytes = 0;
};

}

// Guards against streams that nobody can continue after the daemon that began them was killed.
TEST_CASE("which software began a stream is known at every daemon, also after the one that relayed it was killed")
{
    Fleet fleet(7);
    for (std::uint64_t stream = 1; stream <= 50; ++stream)
        fleet.publish(0, { stream, 100 + stream });
    fleet.kill(0);
    for (std::uint64_t stream = 1; stream <= 50; ++stream)
        CHECK(fleet.find(1 + stream % 6, stream) == 100 + stream);
    CHECK_FALSE(fleet.find(1, 51));
}

TEST_CASE("a daemon that stops hands over the origins that it keeps")
{
    Fleet fleet(5);
    for (std::uint64_t stream = 1; stream <= 50; ++stream)
        fleet.publish(0, { stream, 7 });
    // All of the keepers leave one after the other, each known to have ended when the next one stops.
    for (std::size_t leaving = 0; leaving < 3; ++leaving) {
        fleet.deliver(fleet.ip(leaving), fleet.daemon(leaving).handOver(fleet.now));
        fleet.kill(leaving);
        for (std::size_t other = leaving + 1; other < 5; ++other)
            fleet.forget(other, { 0, leaving, std::min<std::size_t>(leaving, 1) });
    }
    for (std::uint64_t stream = 1; stream <= 50; ++stream)
        CHECK(fleet.find(4, stream) == 7);
}

TEST_CASE("a daemon without others answers from what it keeps itself, at once")
{
    Fleet fleet(1);
    fleet.publish(0, { 1, 7 });
    CHECK(fleet.find(0, 1) == 7);
    CHECK_FALSE(fleet.find(0, 2));
}

TEST_CASE("an answer that nobody was asked for, or to a question of an earlier start, is ignored")
{
    Fleet fleet(3);
    std::optional<std::uint64_t> result;
    bool isConcluded = false;
    fleet.daemon(0).find(
        1,
        [&](std::optional<std::uint64_t> software) {
            result = software;
            isConcluded = true;
        },
        fleet.now);
    for (std::uint64_t nonce = 0; nonce < 100; ++nonce)
        fleet.daemon(0).receive("10.0.0.2", { nonce, 9, {} });
    CHECK_FALSE(isConcluded);
    fleet.daemon(0).tick(fleet.now + seconds(1));
    CHECK(isConcluded);
    CHECK_FALSE(result);
}

TEST_CASE("a daemon asks others for the history of versions until it knows it for long enough")
{
    Fleet fleet(2);
    CHECK(fleet.daemon(0).tick(fleet.now).empty());
    fleet.daemon(0).setSoleVersions({ { 1, 2, seconds(5) } });
    CHECK(fleet.daemon(0).tick(fleet.now).size() == 1);
    CHECK(fleet.daemon(0).tick(fleet.now + seconds(1)).empty());
    fleet.daemon(0).setSoleVersions({ { 1, 2, seconds(90) } });
    CHECK(fleet.daemon(0).tick(fleet.now + seconds(3)).empty());
}

TEST_CASE("in random orders of losses, kills and restarts no stream gets another origin, and nearly all are known")
{
    constexpr int seeds = 200;
    constexpr std::uint64_t streams = 30;
    int known = 0;
    std::size_t bytes = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const std::size_t daemons = 4 + random() % 6;
        Fleet fleet(daemons, 0.05, static_cast<std::uint64_t>(seed));
        for (std::uint64_t stream = 1; stream <= streams; ++stream)
            fleet.publish(0, { stream, 100 + stream % 3 });
        const std::size_t second = 1 + random() % (daemons - 1);
        fleet.kill(0);
        if (random() % 2 == 0)
            fleet.kill(second);
        else
            fleet.restart(second);
        std::size_t asking = 1 + random() % (daemons - 1);
        if (asking == second)
            asking = second == 1 ? 2 : 1;
        if (random() % 2 == 0)
            fleet.forget(asking, { 0 });
        for (std::uint64_t stream = 1; stream <= streams; ++stream) {
            const auto software = fleet.find(asking, stream);
            CHECK((!software || *software == 100 + stream % 3));
            known += software ? 1 : 0;
        }
        bytes += fleet.bytes();
    }
    CHECK(known >= 0.98 * seeds * streams);
    MESSAGE("bytes sent per stream: ", bytes / (seeds * streams));
}
