#include "PlacementModel.h"

#include "common/Hash.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

namespace eelgrassford::bench {

using namespace placement;

namespace {

    constexpr double secondsPerOutputToken = 0.02;
    constexpr double secondsPerUncachedToken = 0.0001;
    constexpr double meanOutputTokens = 250;
    constexpr double cacheTokensPerRunner = 6e6;
    constexpr double sampleSeconds = 0.25;
    constexpr double windowSeconds = 5.0;
    constexpr double bytesPerWorkDelta = 12;
    constexpr double bytesPerException = 20;

    /// LRU cache of the tokens of chats in one engine; evicts the least recently used chats.
    class EngineCache {
    public:
        double tokensOf(std::uint64_t chat) const
        {
            const auto found = m_index.find(chat);
            return found == m_index.end() ? 0.0 : found->second->second;
        }
        void store(std::uint64_t chat, double tokens)
        {
            if (const auto found = m_index.find(chat); found != m_index.end()) {
                m_total -= found->second->second;
                m_order.erase(found->second);
            }
            m_order.emplace_front(chat, tokens);
            m_index[chat] = m_order.begin();
            m_total += tokens;
            while (m_total > cacheTokensPerRunner) {
                m_total -= m_order.back().second;
                m_index.erase(m_order.back().first);
                m_order.pop_back();
            }
        }
        void clear() { *this = {}; }

    private:
        std::list<std::pair<std::uint64_t, double>> m_order;
        std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> m_index;
        double m_total = 0.0;
    };

    struct Chat {
        std::uint64_t id = 0;
        /// Tokens of the next prompt.
        double history = 0;
        /// Whether its prompts include a long text to review.
        bool isReview = false;
        bool hasAnswer = false;
    };

    struct Engine {
        EngineCache cache;
        /// Outstanding work in decode-token equivalents.
        double work = 0.0;
        /// Changes when the engine is replaced.
        std::uint64_t identity = 0;
        bool isReachable = true;
        /// Sum of the work samples in the current window.
        double windowWork = 0.0;
    };

    struct Daemon {
        LoadEstimator loads;
        PlacementExceptionCache exceptions { 200000 };
        std::unique_ptr<Strategy> strategy;
        /// Changes of work to send to peers in the next digest.
        std::map<RunnerIndex, double> workDeltas;
        std::vector<std::uint8_t> eligible;
    };

    TimePoint toTimePoint(double seconds) { return TimePoint(fromSeconds(seconds + 1.0)); }

    class Model {
    public:
        Model(const Scenario& scenario, const Router& router)
            : m_scenario(scenario)
            , m_router(router)
            , m_random(scenario.seed)
            , m_table(std::max<std::size_t>(4096,
                  std::size_t { 1 } << static_cast<int>(
                      std::ceil(std::log2(64.0 * static_cast<double>(scenario.runners))))))
            , m_engines(scenario.runners)
            , m_daemons(router.knowledge == Knowledge::Reported ? scenario.daemons : 1)
        {
            for (auto& engine : m_engines)
                engine.identity = m_random();
            updateTable();
            for (auto& daemon : m_daemons) {
                daemon.eligible.assign(scenario.runners, 1);
                for (RunnerIndex i = 0; i < scenario.runners; ++i)
                    daemon.loads.add(i, 1.0);
                daemon.strategy = router.strategy == "bounded-load"
                    ? std::make_unique<BoundedLoadStrategy>(router.options)
                    : makeStrategy(router.strategy, [this] { return m_random(); });
            }
        }

        Metrics run()
        {
            const double meanService = meanOutputTokens * secondsPerOutputToken + 0.2;
            const double rate = m_scenario.inFlightPerRunner * static_cast<double>(m_scenario.runners) / meanService;
            const double meanPause = 0.8 * 120 + 0.2 * 1200;
            const auto chats = static_cast<std::size_t>(rate * (meanPause + meanService));
            for (std::size_t i = 0; i < chats; ++i)
                schedule(uniform() * meanPause, [this] { startChat(); });
            schedule(sampleSeconds, [this] { sampleLoads(); });
            schedule(windowSeconds, [this] { closeWindow(); });
            if (m_router.knowledge == Knowledge::Reported)
                schedule(m_scenario.digestSeconds, [this] { exchangeDigests(); });
            const double churnRate = m_scenario.churnPerHour * static_cast<double>(m_scenario.runners) / 3600.0;
            if (churnRate > 0)
                schedule(exponential(1.0 / churnRate), [this, churnRate] { replaceEngine(1.0 / churnRate); });
            if (m_scenario.flapSeconds > 0)
                schedule(60, [this] { makeRunnerUnreachable(); });
            while (!m_events.empty() && m_now < m_scenario.durationSeconds) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.time;
                event.action();
            }
            return metrics();
        }

    private:
        struct Event {
            double time;
            std::uint64_t order;
            std::function<void()> action;
            bool operator<(const Event& other) const
            {
                return std::tie(time, order) > std::tie(other.time, other.order);
            }
        };

        void schedule(double delay, std::function<void()> action)
        {
            m_events.push({ m_now + delay, m_order++, std::move(action) });
        }
        double uniform() { return toUnitInterval(m_random()); }
        double exponential(double mean) { return -mean * std::log(uniform()); }
        bool isMeasuring() const { return m_now >= m_scenario.warmUpSeconds; }

        void updateTable()
        {
            std::vector<SlotTable::Member> members;
            for (RunnerIndex i = 0; i < m_engines.size(); ++i)
                members.push_back({ i, m_engines[i].identity, 1.0 });
            m_table.update(members);
        }

        void startChat()
        {
            Chat chat { m_random(), 500 + exponential(1500), uniform() < 0.05 };
            if (chat.isReview)
                chat.history += 8000;
            startTurn(chat);
        }

        void startTurn(Chat chat)
        {
            const bool isSurge = m_scenario.surgeFactor > 1 && chat.isReview && m_now > m_scenario.durationSeconds / 3
                && m_now < 2 * m_scenario.durationSeconds / 3;
            const double cachedTokens = chat.hasAnswer ? chat.history : 0.0;
            chat.history += 50 + exponential(150);
            const double output = 1 + exponential(meanOutputTokens - 1);
            const auto placedRequest = place(chat, cachedTokens);
            auto& engine = m_engines[placedRequest.runner];
            const double reused = std::min(engine.cache.tokensOf(chat.id), chat.history);
            if (isMeasuring()) {
                m_promptTokens += chat.history;
                m_reusedTokens += reused;
                ++m_requests;
            }
            const double uncached = chat.history - reused;
            const double prefill = workOf(uncached, 0);
            const auto runner = placedRequest.runner;
            const auto identity = engine.identity;
            engine.work += prefill + meanOutputTokens;
            const double prefillTime = uncached * secondsPerUncachedToken;
            const double decodeTime = output * secondsPerOutputToken;
            schedule(prefillTime, [this, runner, prefill, identity] { finishWork(runner, prefill, identity); });
            schedule(prefillTime + decodeTime, [this, placedRequest, identity] {
                finishWork(placedRequest.runner, meanOutputTokens, identity);
                recordWork(m_daemons[placedRequest.daemon], placedRequest.runner, -placedRequest.work);
            });
            chat.history += output;
            chat.hasAnswer = true;
            engine.cache.store(chat.id, chat.history);
            const double pause = exponential(uniform() < 0.8 ? 120 : 1200) / (isSurge ? m_scenario.surgeFactor : 1.0);
            const bool hasEnded = uniform() < 0.1;
            schedule(
                prefillTime + decodeTime + pause, [this, chat, hasEnded] { hasEnded ? startChat() : startTurn(chat); });
        }

        void finishWork(RunnerIndex runner, double work, std::uint64_t identity)
        {
            if (m_engines[runner].identity == identity)
                m_engines[runner].work -= work;
        }

        struct PlacedRequest {
            std::size_t daemon;
            RunnerIndex runner;
            double work;
        };

        void recordWork(Daemon& daemon, RunnerIndex runner, double work)
        {
            daemon.loads.addWork(runner, work, toTimePoint(m_now));
            daemon.workDeltas[runner] += work;
        }

        PlacedRequest place(const Chat& chat, double cachedTokens)
        {
            const std::size_t index = m_daemons.size() > 1 ? m_random() % m_daemons.size() : 0;
            auto& daemon = m_daemons[index];
            Request request { chat.id, static_cast<std::uint32_t>(chat.history),
                static_cast<std::uint32_t>(cachedTokens), static_cast<std::uint32_t>(meanOutputTokens) };
            if (m_router.knowledge != Knowledge::Reported)
                reportTrueLoads(daemon);
            if (m_router.knowledge == Knowledge::PerfectCache)
                return { index, placeWithPerfectCacheKnowledge(daemon, chat, request), 0.0 };
            const PlacementContext context { m_table, daemon.loads, daemon.exceptions, m_scenario.loadBound,
                daemon.eligible };
            const auto decision = daemon.strategy->choose(request, context, toTimePoint(m_now));
            const bool isWarm = placement::isWarm(decision.reason);
            if (isMeasuring())
                m_spilled += isWarm ? 0 : 1;
            const double work = isWarm ? request.work() : workOf(request.promptTokens, request.expectedOutputTokens);
            recordWork(daemon, decision.runner, work);
            return { index, decision.runner, work };
        }

        /// Reports the current load of every engine without delay.
        void reportTrueLoads(Daemon& daemon)
        {
            for (RunnerIndex i = 0; i < m_engines.size(); ++i)
                daemon.loads.report(i, m_engines[i].work, toTimePoint(m_now));
        }

        RunnerIndex placeWithPerfectCacheKnowledge(Daemon& daemon, const Chat& chat, const Request& request)
        {
            const double bound = daemon.loads.mean() * m_scenario.loadBound;
            RunnerIndex best = noRunner;
            RunnerIndex leastLoaded = 0;
            double bestTokens = -1;
            for (RunnerIndex i = 0; i < m_engines.size(); ++i) {
                const double load = daemon.loads.load(i);
                if (load < daemon.loads.load(leastLoaded))
                    leastLoaded = i;
                const double tokens = m_engines[i].cache.tokensOf(chat.id);
                const double work = workOf(request.promptTokens - std::min<double>(tokens, request.promptTokens),
                    request.expectedOutputTokens);
                if (load + work > bound)
                    continue;
                if (tokens > bestTokens || (tokens == bestTokens && load < daemon.loads.load(best))) {
                    bestTokens = tokens;
                    best = i;
                }
            }
            return best == noRunner ? leastLoaded : best;
        }

        void sampleLoads()
        {
            for (RunnerIndex i = 0; i < m_engines.size(); ++i)
                m_engines[i].windowWork += m_engines[i].work;
            if (m_router.knowledge == Knowledge::Reported) {
                std::vector<double> works;
                for (const auto& engine : m_engines)
                    works.push_back(engine.work);
                const double sampledAt = m_now;
                schedule(m_scenario.reportLagSeconds, [this, works, sampledAt] {
                    for (auto& daemon : m_daemons) {
                        for (RunnerIndex i = 0; i < works.size(); ++i) {
                            if (m_engines[i].isReachable)
                                daemon.loads.report(i, works[i], toTimePoint(sampledAt));
                        }
                    }
                });
            }
            schedule(sampleSeconds, [this] { sampleLoads(); });
        }

        void closeWindow()
        {
            double total = 0;
            double largest = 0;
            for (auto& engine : m_engines) {
                total += engine.windowWork;
                largest = std::max(largest, engine.windowWork);
                engine.windowWork = 0;
            }
            if (isMeasuring() && total > 0)
                m_loadSkews.push_back(largest * static_cast<double>(m_engines.size()) / total);
            schedule(windowSeconds, [this] { closeWindow(); });
        }

        void exchangeDigests()
        {
            constexpr std::size_t exceptionsPerDigest = 256;
            for (std::size_t from = 0; from < m_daemons.size(); ++from) {
                const auto deltas = std::move(m_daemons[from].workDeltas);
                m_daemons[from].workDeltas.clear();
                const auto exceptions = m_daemons[from].exceptions.takeChanges(exceptionsPerDigest);
                if (isMeasuring())
                    m_digestBytes += static_cast<double>(deltas.size()) * bytesPerWorkDelta
                        + static_cast<double>(exceptions.size()) * bytesPerException;
                for (std::size_t to = 0; to < m_daemons.size(); ++to) {
                    const bool isBlocked
                        = m_scenario.isPartitioned && (from < m_daemons.size() / 2) != (to < m_daemons.size() / 2);
                    if (to == from || isBlocked)
                        continue;
                    for (const auto& [runner, work] : deltas)
                        m_daemons[to].loads.addWork(runner, work, toTimePoint(m_now));
                    for (const auto& exception : exceptions)
                        m_daemons[to].exceptions.applyFromPeer(exception);
                }
            }
            schedule(m_scenario.digestSeconds, [this] { exchangeDigests(); });
        }

        void replaceEngine(double meanInterval)
        {
            const auto index = static_cast<RunnerIndex>(m_random() % m_engines.size());
            auto& engine = m_engines[index];
            engine.cache.clear();
            engine.work = 0;
            engine.identity = m_random();
            for (auto& daemon : m_daemons) {
                daemon.loads.remove(index);
                daemon.loads.add(index, 1.0);
                daemon.exceptions.removeRunner(index);
            }
            updateTable();
            schedule(exponential(meanInterval), [this, meanInterval] { replaceEngine(meanInterval); });
        }

        void makeRunnerUnreachable()
        {
            const auto index = m_random() % m_engines.size();
            auto setReachable = [this, index](bool isReachable) {
                m_engines[index].isReachable = isReachable;
                for (auto& daemon : m_daemons)
                    daemon.eligible[index] = isReachable;
            };
            setReachable(false);
            schedule(m_scenario.flapSeconds, [setReachable] { setReachable(true); });
            schedule(60, [this] { makeRunnerUnreachable(); });
        }

        Metrics metrics()
        {
            std::sort(m_loadSkews.begin(), m_loadSkews.end());
            auto quantile = [&](double q) {
                return m_loadSkews.empty()
                    ? 0.0
                    : m_loadSkews[static_cast<std::size_t>(q * static_cast<double>(m_loadSkews.size() - 1))];
            };
            const double counted = m_scenario.durationSeconds - m_scenario.warmUpSeconds;
            const auto peers = static_cast<double>(m_daemons.size() - 1);
            return { m_reusedTokens / m_promptTokens, quantile(0.5), quantile(0.99), quantile(1.0),
                m_digestBytes * peers / static_cast<double>(m_daemons.size()) / counted,
                static_cast<double>(m_spilled) / static_cast<double>(m_requests), m_requests };
        }

        Scenario m_scenario;
        Router m_router;
        std::mt19937_64 m_random;
        SlotTable m_table;
        std::vector<Engine> m_engines;
        std::vector<Daemon> m_daemons;
        std::priority_queue<Event> m_events;
        std::uint64_t m_order = 0;
        double m_now = 0;
        double m_promptTokens = 0;
        double m_reusedTokens = 0;
        double m_digestBytes = 0;
        std::uint64_t m_requests = 0;
        std::uint64_t m_spilled = 0;
        std::vector<double> m_loadSkews;
    };

}

Metrics simulate(const Scenario& scenario, const Router& router) { return Model(scenario, router).run(); }

}
