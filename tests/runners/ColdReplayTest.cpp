#include "common/Hash.h"
#include "runners/Registry.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace eelgrassford;
using runners::Registry;
using runners::RunnerEntry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start { seconds(100) };
constexpr double coldPerSecond = 10.0;
/// Requests that a cold runner may get within any second: 10 x 1.5 + 5.
constexpr std::size_t bound = 20;

/// Replays daemons that all send to the runners of a service as often as they may. Seeded, without sockets or clocks.
///
/// Load pattern: far more demand than cold runners sustain; listings reach each daemon with a delay of its own.
class ColdReplay {
public:
    ColdReplay(std::size_t daemonCount, std::size_t runnerCount, std::uint64_t seed)
        : m_random(seed)
        , m_sent(runnerCount)
    {
        for (std::size_t i = 0; i < runnerCount; ++i)
            entries.push_back({ "r-" + std::to_string(i), "pool", "127.0.0.1", 8000, i % 2 == 0 ? "a" : "b", 12, false,
                1, "v1", Duration::zero() });
        for (std::size_t i = 0; i < daemonCount; ++i)
            startDaemon(i);
    }

    /// Starts a daemon, or starts it again. It knows no other one.
    void startDaemon(std::size_t index)
    {
        if (index >= daemons.size())
            daemons.resize(index + 1);
        runners::RegistryOptions options;
        options.coldShare = { 1.5, 5.0 };
        daemons[index] = { std::make_unique<Registry>(options), m_random() % 400 };
        daemons[index].registry->setColdStarts({ { "pool", { seconds(3), coldPerSecond } } });
        setView(index, {});
        apply(index);
    }
    /// Sets which other daemons one knows.
    void setView(std::size_t index, const std::vector<std::size_t>& others)
    {
        runners::FleetView view { hash64(std::to_string(index)), {} };
        for (const auto other : others) {
            if (other != index)
                view.others.push_back(hash64(std::to_string(other)));
        }
        daemons[index].registry->setFleet(std::move(view), now);
    }
    /// Lets every daemon from @a begin up to @a end know the others among them.
    void connect(std::size_t begin, std::size_t end)
    {
        std::vector<std::size_t> members;
        for (auto i = begin; i < end; ++i)
            members.push_back(i);
        for (const auto i : members)
            setView(i, members);
    }
    void apply(std::size_t index)
    {
        daemons[index].registry->apply(entries, now, [](const std::string&) {});
    }

    /// Lets time pass; @a event is called for each daemon once the delay of its news since now has passed.
    template <typename Event> void run(Duration length, Event event)
    {
        const auto begin = now;
        std::vector<bool> isTold(daemons.size(), false);
        for (; now < begin + length; now += milliseconds(5)) {
            std::vector<std::size_t> order(daemons.size());
            for (std::size_t i = 0; i < order.size(); ++i)
                order[i] = i;
            std::shuffle(order.begin(), order.end(), m_random);
            for (const auto i : order) {
                if (!isTold[i] && now - begin >= milliseconds(daemons[i].delayMs)) {
                    isTold[i] = true;
                    event(i);
                }
                for (std::size_t runner = 0; runner < entries.size(); ++runner)
                    send(*daemons[i].registry, runner);
            }
        }
    }
    void run(Duration length)
    {
        run(length, [](std::size_t) {});
    }

    /// Largest number of requests that a runner got within a second that begins at @a from or later.
    std::size_t worstSecond(TimePoint from = start) const
    {
        std::size_t worst = 0;
        for (const auto& sent : m_sent) {
            auto first = std::lower_bound(sent.begin(), sent.end(), from);
            for (auto last = first; last != sent.end(); ++last) {
                while (*last - *first > seconds(1))
                    ++first;
                worst = std::max(worst, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return worst;
    }
    /// Smallest mean rate of a runner in a span of time.
    double lowestRate(TimePoint from, TimePoint to) const
    {
        double lowest = 1e9;
        for (const auto& sent : m_sent) {
            const auto count
                = std::lower_bound(sent.begin(), sent.end(), to) - std::lower_bound(sent.begin(), sent.end(), from);
            lowest = std::min(lowest, static_cast<double>(count) / toSeconds(to - from));
        }
        return lowest;
    }
    /// States with the entry of each runner that it is cold.
    void becomeCold(Duration remaining)
    {
        for (auto& entry : entries) {
            entry.coldRemaining = remaining;
            ++entry.coldRevision;
        }
    }

    struct Daemon {
        std::unique_ptr<Registry> registry;
        /// Time until news of the store reach it.
        std::uint64_t delayMs = 0;
    };
    std::vector<RunnerEntry> entries;
    std::vector<Daemon> daemons;
    TimePoint now = start;

private:
    void send(Registry& registry, std::size_t index)
    {
        auto* runner = registry.find(entries[index].id);
        // Warm runners are not of interest: none is sent more than the replay needs to fail.
        if (!registry.isUsable(*runner, now) || !runner->isCold(now))
            return;
        registry.recordDispatch(*runner, now);
        registry.recordCompletion(*runner, runners::Observation::Served, now);
        m_sent[index].push_back(now);
    }

    std::mt19937_64 m_random;
    std::vector<std::vector<TimePoint>> m_sent;
};

}

// Guards against a hundred daemons that each send a cold runner what it sustains from all of them.
TEST_CASE("all daemons together keep a cold runner within its bound, and use half of their rate at least")
{
    for (const std::size_t count : { 1u, 2u, 3u, 6u, 7u, 10u, 11u, 60u, 112u }) {
        CAPTURE(count);
        ColdReplay replay(count, 2, count);
        replay.connect(0, count);
        replay.run(seconds(5));
        replay.becomeCold(seconds(8));
        const auto begin = replay.now;
        replay.run(seconds(8), [&](std::size_t i) { replay.apply(i); });
        CHECK(replay.worstSecond() <= bound / 2);
        CHECK(replay.lowestRate(begin + seconds(1), begin + seconds(7)) >= coldPerSecond / 2);
    }
}

TEST_CASE("two halves of the fleet that do not know each other keep a cold runner within its bound")
{
    ColdReplay replay(60, 4, 1);
    replay.connect(0, 30);
    replay.connect(30, 60);
    replay.run(seconds(4));
    replay.becomeCold(seconds(8));
    replay.run(seconds(4), [&](std::size_t i) { replay.apply(i); });
    CHECK(replay.worstSecond() > bound / 2);
    // The halves find each other, each daemon at its own time.
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < 60; ++i)
        all.push_back(i);
    replay.run(seconds(4), [&](std::size_t i) { replay.setView(i, all); });
    CHECK(replay.worstSecond() <= bound);
}

// Guards against daemons that take themselves for the whole fleet until they know the others.
TEST_CASE("the bound holds while half of the daemons start and know nobody yet")
{
    for (const auto until : { milliseconds(0), milliseconds(600), milliseconds(2500) }) {
        CAPTURE(until.count());
        ColdReplay replay(60, 4, 2);
        replay.connect(0, 60);
        replay.run(seconds(4));
        replay.becomeCold(seconds(9));
        replay.run(seconds(1), [&](std::size_t i) { replay.apply(i); });
        for (std::size_t i = 30; i < 60; ++i)
            replay.startDaemon(i);
        // The others drop them, and get to know them again.
        replay.connect(0, 30);
        replay.run(until);
        replay.run(milliseconds(500), [&](std::size_t i) { replay.connect(0, std::max<std::size_t>(30, i + 1)); });
        replay.connect(0, 60);
        replay.run(seconds(6));
        CHECK(replay.worstSecond() <= bound);
    }
}

TEST_CASE("a data centre that returns is paced before its runners say that they are cold, and until they are warm")
{
    ColdReplay replay(60, 70, 3);
    replay.connect(0, 60);
    replay.run(seconds(4));
    for (auto& daemon : replay.daemons)
        daemon.registry->setEvacuated({ "a", "b" }, replay.now);
    replay.run(seconds(1));
    const auto begin = replay.now;
    // The entries follow a heartbeat later.
    replay.run(milliseconds(1200), [&](std::size_t i) { replay.daemons[i].registry->setEvacuated({}, replay.now); });
    replay.becomeCold(milliseconds(1800));
    replay.run(milliseconds(1800), [&](std::size_t i) { replay.apply(i); });
    CHECK(replay.worstSecond() <= bound / 2);
    CHECK(replay.lowestRate(begin + milliseconds(500), begin + seconds(3)) >= coldPerSecond / 2);
    replay.run(seconds(2));
    for (auto& daemon : replay.daemons)
        CHECK_FALSE(daemon.registry->find("r-0")->isCold(replay.now));
}
