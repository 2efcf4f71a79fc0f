#include "dispatch/CrashRegistry.h"

#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace eelgrassford;
using dispatch::CrashRecord;
using dispatch::CrashRegistry;
using dispatch::CrashSuspect;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Replays a fleet that shares its crash records, before runners that crash. Seeded, without sockets or clocks.
///
/// Load pattern: prompts of three shared parts, some first, 4 second below each, 2 third below each; a runner begins
/// its answers after 60 ms, or crashes then if the prompt holds the guilty part, and is back as another one after 3 s.
class CrashReplay {
public:
    struct Options {
        std::uint64_t seed = 1;
        /// Position of the guilty part; none without one.
        std::optional<std::uint32_t> guiltyPosition {};
        std::uint64_t firstParts = 20;
        double requestsPerSecond = 100.0;
        double guiltyPerSecond = 2.0;
        /// Time between failures of three runners at once, for another reason.
        std::optional<Duration> failureInterval {};
        Duration length = std::chrono::seconds(30);
    };

    explicit CrashReplay(const Options& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t i = 0; i < m_runners.size(); ++i)
            m_runners[i].identity = ++m_lastIdentity;
    }

    void run()
    {
        for (auto now = start; now < start + m_options.length; now += step) {
            if (isDue(m_options.requestsPerSecond))
                arrive(drawSoundPrompt(), now);
            if (m_options.guiltyPosition && isDue(m_options.guiltyPerSecond))
                arrive(drawGuiltyPrompt(), now);
            if (m_options.failureInterval && (now - start) % *m_options.failureInterval == Duration::zero()) {
                for (int i = 0; i < 3; ++i)
                    crash(m_random() % m_runners.size(), now);
            }
            answer(now);
            gossip(now);
        }
    }

    /// Guilty requests that were sent later than three seconds after the fifth crash.
    int guiltySentLate = 0;
    int crashes = 0;
    int soundRefused = 0;

private:
    static constexpr Duration step = milliseconds(5);
    static constexpr Duration answerTime = milliseconds(60);
    static constexpr Duration restartTime = std::chrono::seconds(3);
    static constexpr Duration gossipDelay = milliseconds(250);
    static constexpr Duration stabilityTime = std::chrono::seconds(3);

    struct Request {
        std::size_t daemon = 0;
        std::vector<CrashSuspect> suspects;
        bool isGuilty = false;
        TimePoint sentAt {};
    };
    struct Runner {
        std::uint64_t identity = 0;
        TimePoint usableAt {};
        std::vector<Request> waiting;
    };
    struct InTransit {
        TimePoint dueAt {};
        std::size_t from = 0;
        std::vector<CrashRecord> records;
    };

    bool isDue(double perSecond)
    {
        return std::uniform_real_distribution<double>()(m_random) < perSecond * toSeconds(step);
    }

    std::vector<CrashSuspect> promptOf(std::uint64_t first, std::uint64_t second, std::uint64_t third)
    {
        return { { 1000000 + ++m_lastRequest }, { 100 + first, 0 }, { 1000 + first * 10 + second, 1 },
            { 10000 + first * 100 + second * 10 + third, 2 } };
    }

    /// A prompt without the guilty part.
    std::vector<CrashSuspect> drawSoundPrompt()
    {
        while (true) {
            auto result = promptOf(m_random() % m_options.firstParts, m_random() % 4, m_random() % 2);
            if (!isGuilty(result))
                return result;
        }
    }

    /// A prompt with the guilty part: the later parts differ.
    std::vector<CrashSuspect> drawGuiltyPrompt()
    {
        const auto position = *m_options.guiltyPosition;
        return promptOf(0, position >= 1 ? 3 : m_random() % 4, position >= 2 ? 1 : m_random() % 2);
    }

    bool isGuilty(const std::vector<CrashSuspect>& suspects) const
    {
        constexpr std::uint64_t guiltyParts[] = { 100, 1003, 10031 };
        return m_options.guiltyPosition
            && suspects[*m_options.guiltyPosition + 1].digest == guiltyParts[*m_options.guiltyPosition];
    }

    void arrive(std::vector<CrashSuspect> suspects, TimePoint now)
    {
        const auto daemon = m_random() % m_daemons.size();
        const bool guilty = isGuilty(suspects);
        if (m_daemons[daemon].findQuarantined(suspects, now)) {
            soundRefused += guilty ? 0 : 1;
            return;
        }
        auto& runner = m_runners[m_random() % m_runners.size()];
        if (now < runner.usableAt)
            return;
        if (guilty && m_fifthCrashAt && now > *m_fifthCrashAt + stabilityTime)
            ++guiltySentLate;
        runner.waiting.push_back({ daemon, std::move(suspects), guilty, now });
    }

    void answer(TimePoint now)
    {
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            auto& waiting = m_runners[i].waiting;
            while (!waiting.empty() && now - waiting.front().sentAt >= answerTime) {
                if (waiting.front().isGuilty) {
                    crash(i, now);
                    break;
                }
                m_daemons[waiting.front().daemon].recordServed(waiting.front().suspects, now);
                waiting.erase(waiting.begin());
            }
        }
    }

    void crash(std::size_t index, TimePoint now)
    {
        auto& runner = m_runners[index];
        for (const auto& request : runner.waiting)
            m_daemons[request.daemon].recordCrash(request.suspects, runner.identity, now);
        runner = { ++m_lastIdentity, now + restartTime, {} };
        if (++crashes == 5)
            m_fifthCrashAt = now;
    }

    void gossip(TimePoint now)
    {
        if ((now - start) % milliseconds(150) == Duration::zero()) {
            for (std::size_t i = 0; i < m_daemons.size(); ++i)
                m_inTransit.push_back({ now + gossipDelay, i, m_daemons[i].records(now) });
        }
        for (; !m_inTransit.empty() && m_inTransit.front().dueAt <= now; m_inTransit.pop_front()) {
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (i != m_inTransit.front().from)
                    m_daemons[i].merge(m_inTransit.front().records, now);
            }
        }
    }

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<CrashRegistry> m_daemons { 7 };
    std::vector<Runner> m_runners { 18 };
    std::deque<InTransit> m_inTransit;
    std::uint64_t m_lastIdentity = 0;
    std::uint64_t m_lastRequest = 0;
    std::optional<TimePoint> m_fifthCrashAt;
};

}

namespace {

/// Seeds to replay; EELGRASSFORD_CRASH_SEEDS sets more for runs by hand.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 15;
    const auto* text = std::getenv("EELGRASSFORD_CRASH_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultCount;
}

}

TEST_CASE("a part that crashes runners stops reaching them, and no sound request is refused for it")
{
    const auto check = [](const CrashReplay::Options& options) {
        CAPTURE(*options.guiltyPosition);
        CAPTURE(options.seed);
        CAPTURE(options.guiltyPerSecond);
        CAPTURE(options.firstParts);
        CrashReplay replay(options);
        replay.run();
        CHECK(replay.crashes >= 3);
        CHECK(replay.guiltySentLate <= 3);
        CHECK(replay.soundRefused == 0);
    };
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const double rate : { 1.0, 2.0, 4.0 }) {
            for (const std::uint32_t position : { 0u, 1u, 2u })
                check({ .seed = seed, .guiltyPosition = position, .guiltyPerSecond = rate });
            // All prompts begin with the same part.
            for (const std::uint32_t position : { 1u, 2u })
                check({ .seed = seed, .guiltyPosition = position, .firstParts = 1, .guiltyPerSecond = rate });
        }
    }
}

TEST_CASE("runners that fail for another reason do not lead to a quarantine")
{
    for (const auto interval : { milliseconds(1000), milliseconds(2000), milliseconds(5000) }) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            for (const std::uint64_t firstParts : { 1u, 20u }) {
                CAPTURE(seed);
                CrashReplay replay({ .seed = seed, .firstParts = firstParts, .failureInterval = interval });
                replay.run();
                CHECK(replay.soundRefused == 0);
            }
        }
    }
}
