#include "common/Hash.h"
#include "runners/Placement.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace eelgrassford;
using runners::FleetView;
using runners::Registry;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/// Replays a fleet whose runners limit their request rates. Seeded, without sockets or clocks.
///
/// Load pattern: callers are spread unevenly over the daemons and send more than the limits allow, with a surge in the
/// middle. Responses state the limits, and the daemons tell each other with a delay. Some daemons restart meanwhile.
class LimitReplay {
public:
    struct Options {
        std::uint64_t seed = 1;
        std::size_t daemons = 7;
        std::size_t runners = 18;
        /// Mean limit of a runner in requests per second; empty limits have only a part of the runners.
        double limit = 3.4;
        double limitedShare = 0.7;
        /// Requests per second that the callers send, over the sum of all limits if every runner had one.
        double demand = 2.0;
        double surge = 8.0;
        /// Daemons that restart one after the other.
        std::size_t restarts = 0;
    };

    explicit LimitReplay(const Options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_daemons(options.daemons)
        , m_limits(options.runners, 0.0)
        , m_sent(options.runners, 0)
        , m_received(options.runners)
        , m_firstStatedAt(options.runners)
    {
        for (std::size_t runner = 0; runner < options.runners; ++runner) {
            if (draw() < options.limitedShare)
                m_limits[runner] = options.limit * (0.5 + draw());
        }
        double total = 0.0;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            m_daemons[i].weight = -std::log(1.0 - draw());
            total += m_daemons[i].weight;
        }
        for (auto& daemon : m_daemons)
            daemon.weight /= total;
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            restart(i, start);
    }

    void run(Duration length)
    {
        const double perSecond = m_options.demand * m_options.limit * static_cast<double>(m_options.runners);
        for (auto now = start; now < start + length; now += step) {
            const bool isSurge = now > start + length / 2 && now < start + length / 2 + std::chrono::seconds(2);
            const double rate = perSecond * (isSurge ? m_options.surge : 1.0);
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                std::poisson_distribution<int> arrivals(rate * m_daemons[i].weight * toSeconds(step));
                for (int count = arrivals(m_random); count > 0; --count)
                    arrive(i, now);
            }
            deliver(now);
            const auto second = (now - start) / std::chrono::seconds(1);
            const bool isWholeSecond = (now - start) % std::chrono::seconds(1) == Duration::zero();
            if (isWholeSecond && second >= 6 && static_cast<std::size_t>(second) < 6 + m_options.restarts)
                restart(static_cast<std::size_t>(second - 6) % m_daemons.size(), now);
        }
    }

    /// Largest number of requests in 4 s, over what the rule allows, at any runner.
    double worstExcess() const
    {
        double worst = -1e9;
        for (std::size_t runner = 0; runner < m_limits.size(); ++runner) {
            if (m_limits[runner] == 0.0 || !m_firstStatedAt[runner])
                continue;
            std::deque<TimePoint> window;
            for (const auto at : m_received[runner]) {
                if (at < *m_firstStatedAt[runner] + stabilityTime)
                    continue;
                window.push_back(at);
                while (at - window.front() > windowTime)
                    window.pop_front();
                worst = std::max(worst, static_cast<double>(window.size()) - (6.0 * m_limits[runner] + 5.0));
            }
        }
        return worst;
    }

    /// Requests at runners with limits, over what their limits allow.
    double usedShare(Duration length) const
    {
        double received = 0.0;
        double allowed = 0.0;
        for (std::size_t runner = 0; runner < m_limits.size(); ++runner) {
            if (m_limits[runner] == 0.0)
                continue;
            received += static_cast<double>(m_sent[runner]);
            allowed += m_limits[runner] * toSeconds(length);
        }
        return received / allowed;
    }

    int served = 0;
    int refused = 0;

private:
    static constexpr Duration step = milliseconds(5);
    static constexpr Duration windowTime = std::chrono::seconds(4);
    static constexpr Duration stabilityTime = std::chrono::seconds(3);
    /// Time from a response to the moment from which the daemon that passed it on is bound by what it states.
    static constexpr Duration noticeTime = milliseconds(500);

    struct Daemon {
        std::unique_ptr<Registry> registry;
        double weight = 0.0;
        TimePoint startedAt {};
        /// By runner: time at which this daemon first passed on a response that states a limit.
        std::vector<std::optional<TimePoint>> toldAt;
    };
    struct Response {
        TimePoint dueAt {};
        std::size_t daemon = 0;
        std::size_t runner = 0;
        TimePoint sentAt {};
    };
    struct News {
        TimePoint dueAt {};
        std::size_t from = 0;
        std::size_t runner = 0;
        TimePoint statedAt {};
    };

    double draw() { return std::uniform_real_distribution<double>()(m_random); }
    std::string idOf(std::size_t runner) const { return "r-" + std::to_string(runner); }

    void restart(std::size_t index, TimePoint now)
    {
        auto& daemon = m_daemons[index];
        daemon.registry = std::make_unique<Registry>();
        daemon.startedAt = now;
        daemon.toldAt.assign(m_limits.size(), std::nullopt);
        std::vector<runners::RunnerEntry> entries;
        for (std::size_t runner = 0; runner < m_limits.size(); ++runner)
            entries.push_back({ idOf(runner), "service", "10.0.0.1", 1, "a", 64, false, 1, "v1" });
        daemon.registry->apply(entries, now, [](const std::string&) {});
        FleetView fleet { hash64("daemon", index), {} };
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            if (other != index)
                fleet.others.push_back(hash64("daemon", other));
        }
        daemon.registry->setFleet(std::move(fleet), now);
    }

    void arrive(std::size_t index, TimePoint now)
    {
        auto& daemon = m_daemons[index];
        runners::PlacementRequest request;
        request.service = "service";
        request.affinityKey = draw() < 0.5 ? 1 + m_random() % 40 : 0;
        request.tieBreaker = m_random();
        const auto placement = runners::place(*daemon.registry, request, {}, now);
        if (!placement.runner) {
            ++refused;
            return;
        }
        ++served;
        daemon.registry->recordDispatch(*placement.runner, now);
        const auto runner = static_cast<std::size_t>(std::stoul(placement.runner->entry.id.substr(2)));
        ++m_sent[runner];
        // The rule binds a daemon half a second after the first response that it passed on, and excuses one that
        // restarted.
        const auto& told = daemon.toldAt[runner];
        if (m_limits[runner] > 0.0 && told && now - *told >= noticeTime)
            m_received[runner].push_back(now);
        m_responses.push_back({ now + milliseconds(40) + fromSeconds(0.3 * draw()), index, runner, now });
    }

    void deliver(TimePoint now)
    {
        std::erase_if(m_responses, [&](const Response& response) {
            if (response.dueAt > now)
                return false;
            receive(response, now);
            return true;
        });
        std::erase_if(m_news, [&](const News& news) {
            if (news.dueAt > now)
                return false;
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                auto& registry = *m_daemons[i].registry;
                if (i != news.from)
                    registry.mergeLimit(
                        *registry.find(idOf(news.runner)), { m_limits[news.runner], news.statedAt }, now);
            }
            return true;
        });
    }

    void receive(const Response& response, TimePoint now)
    {
        auto& daemon = m_daemons[response.daemon];
        auto& runner = *daemon.registry->find(idOf(response.runner));
        daemon.registry->recordCompletion(runner, runners::Observation::Served, now);
        if (m_limits[response.runner] == 0.0 || response.sentAt < daemon.startedAt)
            return;
        daemon.registry->recordLimit(runner, m_limits[response.runner], response.sentAt, now);
        auto& told = daemon.toldAt[response.runner];
        told = told.value_or(now);
        auto& first = m_firstStatedAt[response.runner];
        first = first.value_or(now);
        m_news.push_back({ now + fromSeconds(0.8 * draw()), response.daemon, response.runner, now });
    }

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<Daemon> m_daemons;
    /// By runner; 0 without a limit.
    std::vector<double> m_limits;
    /// By runner: requests of all daemons.
    std::vector<std::size_t> m_sent;
    /// By runner: requests of daemons that are bound by its limit.
    std::vector<std::vector<TimePoint>> m_received;
    std::vector<std::optional<TimePoint>> m_firstStatedAt;
    std::vector<Response> m_responses;
    std::vector<News> m_news;
};

}

TEST_CASE("no runner gets more than its limit allows from all daemons together, whatever the fleet, load and restarts")
{
    constexpr Duration length = std::chrono::seconds(16);
    for (const std::size_t daemons : { 7u, 60u, 295u }) {
        for (const double limit : { 0.6, 3.4, 20.0 }) {
            for (const double limitedShare : { 0.7, 1.0 }) {
                for (const std::size_t restarts : { 0u, 5u }) {
                    LimitReplay::Options options;
                    options.seed = daemons + restarts;
                    options.daemons = daemons;
                    options.limit = limit;
                    options.limitedShare = limitedShare;
                    options.restarts = restarts;
                    LimitReplay replay(options);
                    replay.run(length);
                    CAPTURE(daemons);
                    CAPTURE(limit);
                    CAPTURE(limitedShare);
                    CAPTURE(restarts);
                    CHECK(replay.worstExcess() <= 0.0);
                    // The limits are used where the callers send more than they allow.
                    if (limitedShare == 1.0 && daemons == 7)
                        CHECK(replay.usedShare(length) > 0.5);
                }
            }
        }
    }
}

TEST_CASE("no runner gets more than its limit allows when callers surge after a calm time")
{
    for (const std::size_t daemons : { 7u, 60u, 295u }) {
        LimitReplay::Options options;
        options.daemons = daemons;
        options.limitedShare = 1.0;
        options.demand = 0.5;
        options.surge = 50.0;
        LimitReplay replay(options);
        replay.run(std::chrono::seconds(60));
        CAPTURE(daemons);
        CHECK(replay.worstExcess() <= 0.0);
    }
}
