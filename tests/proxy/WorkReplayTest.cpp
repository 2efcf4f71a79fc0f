#include "common/Hash.h"
#include "proxy/PlacementControl.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <list>
#include <queue>
#include <random>
#include <set>

using namespace eelgrassford;

namespace {

/// A deployment and its load.
struct Scenario {
    std::string name;
    std::size_t daemons = 60;
    std::size_t runners = 60;
    std::uint32_t slots = 64;
    std::size_t dataCentres = 3;
    /// Requests per second for each runner.
    double rate = 7.0;
    /// Usual time of work on the fastest and slowest runners.
    double fastest = 1.0;
    double slowest = 1.3;
    /// Share of runners that become slower for a while, each some seconds, by the factor that they then report.
    double disturbedShare = 0.0;
    double disturbance = 2.5;
    double disturbedSeconds = 0.6;
};

enum class Strategy { Present, ByWork, Oracle };

struct Result {
    std::vector<double> urgentMs;
    double late = 0.0;
    double elsewhere = 0.0;
    std::size_t requests = 0;
    std::size_t prefills = 0;
    /// Largest excess of a runner's requests over twice the mean.
    double overBound = 0.0;

    double urgent(double share)
    {
        std::sort(urgentMs.begin(), urgentMs.end());
        return urgentMs[static_cast<std::size_t>(share * static_cast<double>(urgentMs.size() - 1))];
    }
};

/// Classes of requests: share, prompt tokens, part of the prompt that is shared, events, objective.
struct Kind {
    double share;
    double minPrompt, maxPrompt;
    double sharedPart;
    std::uint64_t prefixes;
    double minEvents, maxEvents;
    int objectiveMs;
};
constexpr std::array kinds { Kind { 0.6, 130, 600, 0.5, 200, 3, 10, 400 },
    Kind { 0.3, 1000, 4000, 0.8, 60, 20, 60, 1000 }, Kind { 0.1, 8000, 40000, 0.6, 30, 40, 140, 1600 } };

/// Daemons that decide by what they know, and engines that batch requests and prefill in chunks. A discrete-event
/// simulation with a seed.
class Replay {
public:
    Replay(const Scenario& scenario, Strategy strategy)
        : m_scenario(scenario)
        , m_strategy(strategy)
        , m_runners(scenario.runners)
    {
        std::vector<runners::RunnerEntry> entries;
        for (std::size_t i = 0; i < scenario.runners; ++i) {
            const auto id = "r-" + std::to_string(1000 + i);
            entries.push_back({ id, "pool", "10.0.0.1", 8000, dataCentre(i), scenario.slots, false, 1, "v1" });
            auto& runner = m_runners[i];
            runner.usual = scenario.fastest + (scenario.slowest - scenario.fastest) * static_cast<double>(i % 4) / 3.0;
            runner.disturbedFrom = draw() * 10.0;
            runner.isDisturbed = draw() < scenario.disturbedShare;
            m_index[id] = i;
        }
        proxy::PlacementControl::Options options;
        options.toleratedDataCentreLosses = strategy == Strategy::ByWork ? 1 : 0;
        for (std::size_t i = 0; i < scenario.daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>(options));
            runners::FleetView others { i, {} };
            others.others.resize(scenario.daemons - 1);
            m_daemons.back()->registry.setFleet(std::move(others), at(0.0));
            m_daemons.back()->registry.apply(entries, at(0.0), [](const std::string&) {});
        }
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            m_routes[i].name = std::to_string(i);
            m_routes[i].kind = routing::RequestKind::Stream;
            m_routes[i].latencyObjective = std::chrono::milliseconds(kinds[i].objectiveMs);
        }
        m_service.kvCapacityTokens = 600000;
    }

    Result run(double seconds)
    {
        const auto interval = 1.0 / (m_scenario.rate * static_cast<double>(m_scenario.runners));
        double arrival = 0.0;
        double exchange = 0.0;
        while (arrival < seconds) {
            const auto step = m_steps.empty() ? 1e9 : m_steps.top().first;
            if (exchange <= std::min(arrival, step)) {
                exchangeDigests();
                exchange += 0.075;
            } else if (step <= arrival) {
                const auto runner = m_steps.top().second;
                m_steps.pop();
                advance(runner, step);
            } else {
                arrive(arrival);
                arrival += -std::log(1.0 - draw()) * interval;
            }
        }
        return std::move(m_result);
    }

private:
    struct Daemon {
        explicit Daemon(const proxy::PlacementControl::Options& options)
            : control(registry, options)
        {
        }
        runners::Registry registry;
        proxy::PlacementControl control;
    };
    struct Request {
        std::size_t daemon = 0;
        std::size_t kind = 0;
        double arrivedAt = 0.0;
        proxy::RequestMetadata metadata;
        proxy::PromptAffinity affinity;
        std::uint64_t wanted = 0;
        std::uint64_t events = 0;
        double prefill = 0.0;
        std::optional<proxy::AttemptWork> work;
    };
    struct Engine {
        std::deque<std::shared_ptr<Request>> waiting;
        std::vector<std::shared_ptr<Request>> running;
        /// Cached prefixes, the most recently used first.
        std::list<std::uint64_t> cached;
        double usual = 1.0;
        double disturbedFrom = 0.0;
        bool isDisturbed = false;
        bool isBusy = false;
        /// Load as of the last sample, which reports state.
        runners::ReportedLoad sample;
        double sampledAt = -1.0;
    };

    static TimePoint at(double seconds) { return TimePoint(fromSeconds(1000.0 + seconds)); }
    double draw() { return toUnitInterval(m_random()); }
    std::string dataCentre(std::size_t index) const
    {
        return std::string(1, static_cast<char>('a' + index % m_scenario.dataCentres));
    }
    double currentSlowdown(const Engine& engine, double now) const
    {
        const auto since = now - engine.disturbedFrom;
        return engine.isDisturbed && since >= 0.0 && std::fmod(since, 4.0) < m_scenario.disturbedSeconds
            ? m_scenario.disturbance
            : 1.0;
    }
    proxy::WorkRequest workOf(const Request& request) const
    {
        return { m_routes[request.kind], &m_service, m_service.name, "o", request.metadata, request.affinity };
    }

    /// Each daemon learns what the others knew 150 ms ago.
    void exchangeDigests()
    {
        std::vector<std::map<std::size_t, fleet::RunnerSummary>> states(m_daemons.size());
        std::vector<fleet::RunnerSummary> total(m_runners.size());
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto& daemon = *m_daemons[i];
            for (const auto& [id, runner] : daemon.registry.runners()) {
                if (runner->ownLoad == 0)
                    continue;
                auto& state = states[i][m_index[id]];
                state.inFlight = runner->ownLoad;
                state.remaining = daemon.control.remaining(*runner);
                total[m_index[id]].inFlight += state.inFlight;
                total[m_index[id]].remaining += state.remaining;
            }
        }
        m_history.emplace_back(std::move(states), std::move(total));
        if (m_history.size() <= 2)
            return;
        const auto& [old, sums] = m_history.front();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto& daemon = *m_daemons[i];
            std::unordered_map<fleet::RunnerKey, fleet::RunnerSummary> summaries;
            for (const auto& [id, runner] : daemon.registry.runners()) {
                const auto index = m_index[id];
                auto summary = sums[index];
                if (const auto own = old[i].find(index); own != old[i].end()) {
                    summary.inFlight -= own->second.inFlight;
                    summary.remaining -= own->second.remaining;
                }
                daemon.registry.setPeerSummary(*runner, { summary.inFlight, 0.0, 0.0, 0 });
                summaries[static_cast<fleet::RunnerKey>(runner->identity)] = summary;
            }
            daemon.control.setPeers(summaries);
        }
        m_history.pop_front();
    }

    std::shared_ptr<Request> createRequest(double now)
    {
        auto request = std::make_shared<Request>();
        request->daemon = static_cast<std::size_t>(draw() * static_cast<double>(m_daemons.size()));
        const auto which = draw();
        request->kind = which < kinds[0].share ? 0 : which < kinds[0].share + kinds[1].share ? 1 : 2;
        const auto& kind = kinds[request->kind];
        // Few prefixes are hot: the first of a kind gets a fifth of its requests.
        const auto prefix = draw() < 0.2 ? 0 : static_cast<std::uint64_t>(draw() * static_cast<double>(kind.prefixes));
        const auto shared = kind.sharedPart
            * (kind.minPrompt + (kind.maxPrompt - kind.minPrompt) * toUnitInterval(mix64(prefix, request->kind)));
        const auto own = (1.0 - kind.sharedPart) * (kind.minPrompt + (kind.maxPrompt - kind.minPrompt) * draw());
        request->affinity = { mix64(prefix + 1, request->kind), m_random(), static_cast<std::uint32_t>(shared),
            static_cast<std::uint32_t>(shared + own) };
        request->metadata.promptTokens = request->affinity.promptTokens;
        request->wanted = static_cast<std::uint64_t>(kind.minEvents + (kind.maxEvents - kind.minEvents) * draw());
        // The hint is right at the median but often far off.
        request->metadata.expectedOutputTokens
            = static_cast<std::uint32_t>(static_cast<double>(request->wanted) * std::exp2(4.0 * (draw() - 0.5)));
        request->arrivedAt = now;
        return request;
    }

    double pendingTokens(const Engine& engine) const
    {
        double result = 0.0;
        for (const auto& request : engine.running)
            result += request->prefill;
        for (const auto& request : engine.waiting)
            result += request->prefill;
        return result;
    }

    bool isCached(const Engine& engine, std::uint64_t prefix) const
    {
        return std::find(engine.cached.begin(), engine.cached.end(), prefix) != engine.cached.end();
    }

    /// The runner with the lowest true cost.
    std::size_t chooseByOracle(const Request& request, double now) const
    {
        std::size_t best = 0;
        double lowest = 1e18;
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            const auto& engine = m_runners[i];
            const auto load = static_cast<double>(engine.running.size() + engine.waiting.size());
            const auto own = request.affinity.promptTokens
                - (isCached(engine, request.affinity.prefixHash) ? request.affinity.prefixTokens : 0u);
            const auto prefill = own * prefillMs;
            const auto waiting = std::max(0.0, load + 1.0 - m_scenario.slots) * 100.0;
            auto cost = (pendingTokens(engine) * prefillMs + prefill * (1.0 + load / m_scenario.slots) + waiting
                            + 0.25 * static_cast<double>(request.wanted) * (stepMs + load * eventMs))
                * engine.usual * currentSlowdown(engine, now);
            if (dataCentre(i) != dataCentre(request.daemon))
                cost += 0.125 * kinds[request.kind].objectiveMs;
            if (cost < lowest) {
                lowest = cost;
                best = i;
            }
        }
        return best;
    }

    void arrive(double now)
    {
        auto request = createRequest(now);
        auto& daemon = *m_daemons[request->daemon];
        runners::PlacementRequest placing;
        placing.service = "pool";
        placing.affinityKey = request->affinity.prefixHash;
        placing.dataCentre = "";
        const auto home = dataCentre(request->daemon);
        placing.dataCentre = home;
        placing.tieBreaker = m_random();
        auto placement = daemon.control.place(placing, workOf(*request), at(now));
        if (m_strategy == Strategy::Oracle) {
            const auto index = chooseByOracle(*request, now);
            placement.runner = daemon.registry.find("r-" + std::to_string(1000 + index));
            placement.prefixSource = nullptr;
        }
        REQUIRE(placement.runner);
        const auto index = m_index[placement.runner->entry.id];
        auto& engine = m_runners[index];
        ++m_result.requests;
        m_result.elsewhere += dataCentre(index) == home ? 0.0 : 1.0;
        daemon.registry.recordDispatch(*placement.runner, at(now));
        request->work = daemon.control.begin(placing, workOf(*request), placement, at(now));
        request->prefill = request->affinity.promptTokens;
        const auto prefix = request->affinity.prefixHash;
        if (isCached(engine, prefix)) {
            request->prefill -= request->affinity.prefixTokens;
            engine.cached.remove(prefix);
        } else {
            const bool isFetched = placement.prefixSource && request->affinity.prefixTokens >= 1024
                && isCached(m_runners[m_index[placement.prefixSource->entry.id]], prefix);
            if (isFetched)
                request->prefill -= 0.8 * request->affinity.prefixTokens;
            else
                m_result.prefills += request->affinity.prefixTokens >= 1024 ? 1 : 0;
        }
        engine.cached.push_front(prefix);
        if (engine.cached.size() > 60)
            engine.cached.pop_back();
        engine.waiting.push_back(std::move(request));
        const auto load = static_cast<double>(engine.running.size() + engine.waiting.size());
        m_inFlight += 1.0;
        m_result.overBound
            = std::max(m_result.overBound, load - 2.0 * m_inFlight / static_cast<double>(m_runners.size()));
        if (!std::exchange(engine.isBusy, true))
            m_steps.emplace(now, index);
    }

    /// One step of an engine: a chunk of prompts, and one event of each running request whose prompt is computed.
    void advance(std::size_t index, double now)
    {
        auto& engine = m_runners[index];
        while (!engine.waiting.empty() && engine.running.size() < m_scenario.slots) {
            engine.running.push_back(engine.waiting.front());
            engine.waiting.pop_front();
        }
        if (now - engine.sampledAt > 0.15) {
            engine.sampledAt = now;
            engine.sample = { static_cast<std::uint32_t>(engine.running.size()),
                static_cast<std::uint32_t>(engine.waiting.size()), m_scenario.slots, currentSlowdown(engine, now) };
            if (m_scenario.disturbedShare == 0.0)
                engine.sample.slowdown.reset();
            // The present strategy is that of a service without reported slowdowns.
            if (m_strategy == Strategy::Present)
                engine.sample.slowdown.reset();
        }
        if (engine.running.empty()) {
            engine.isBusy = false;
            return;
        }
        double chunk = 512.0;
        double computed = 0.0;
        double events = 0.0;
        for (auto& request : engine.running) {
            if (request->prefill > 0.0) {
                const auto part = std::min(chunk, request->prefill);
                request->prefill -= part;
                chunk -= part;
                computed += part;
            } else {
                events += 1.0;
            }
        }
        const auto milliseconds
            = (stepMs + computed * prefillMs + events * eventMs) * engine.usual * currentSlowdown(engine, now);
        const auto end = now + milliseconds / 1000.0;
        for (auto& request : engine.running)
            if (request->prefill <= 0.0)
                recordEvent(*request, index, end);
        m_inFlight -= static_cast<double>(
            std::erase_if(engine.running, [](const auto& request) { return request->events >= request->wanted; }));
        m_steps.emplace(end, index);
    }

    void recordEvent(Request& request, std::size_t index, double now)
    {
        auto& daemon = *m_daemons[request.daemon];
        auto* runner = daemon.registry.find("r-" + std::to_string(1000 + index));
        if (++request.events == 1) {
            daemon.registry.recordReportedLoad(*runner, m_runners[index].sample, at(now));
            daemon.control.recordReport(*runner, m_runners[index].sample, at(now));
            const auto milliseconds = (now - request.arrivedAt) * 1000.0;
            if (request.kind == 0)
                m_result.urgentMs.push_back(milliseconds);
            m_result.late += milliseconds > kinds[request.kind].objectiveMs ? 1.0 : 0.0;
        }
        daemon.control.recordEvents(request.work, workOf(request), request.events, at(now));
        if (request.events < request.wanted)
            return;
        daemon.control.end(request.work, workOf(request), runners::Observation::Served, at(now));
        daemon.registry.recordCompletion(*runner, runners::Observation::Served, at(now));
    }

    static constexpr double stepMs = 12.0;
    static constexpr double prefillMs = 0.03;
    static constexpr double eventMs = 0.25;

    Scenario m_scenario;
    Strategy m_strategy;
    std::mt19937_64 m_random { 20261206 };
    std::vector<Engine> m_runners;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::string, std::size_t> m_index;
    std::array<routing::Route, kinds.size()> m_routes;
    routing::Service m_service { "pool", true, 0, 0, 1 };
    using Event = std::pair<double, std::size_t>;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_steps;
    std::deque<std::pair<std::vector<std::map<std::size_t, fleet::RunnerSummary>>, std::vector<fleet::RunnerSummary>>>
        m_history;
    double m_inFlight = 0.0;
    Result m_result;
};

Result replay(const Scenario& scenario, Strategy strategy)
{
    constexpr double seconds = 12.0;
    auto result = Replay(scenario, strategy).run(seconds);
    const auto count = static_cast<double>(result.requests);
    constexpr std::array names { "present", "by work", "oracle" };
    const std::string name = names[static_cast<std::size_t>(strategy)];
    MESSAGE(scenario.name << ", " << name << ": requests " << result.requests << ", urgent first event p50 "
                          << result.urgent(0.5) << " ms, p95 " << result.urgent(0.95) << " ms, late "
                          << result.late / count << ", elsewhere " << result.elsewhere / count << ", prefills "
                          << result.prefills << ", over twice the mean by " << result.overBound);
    return result;
}

Scenario largeRunners()
{
    Scenario scenario;
    scenario.name = "60 runners of 64 slots";
    return scenario;
}

Scenario smallRunners()
{
    Scenario scenario;
    scenario.name = "140 runners of 12 slots";
    scenario.daemons = 112;
    scenario.runners = 140;
    scenario.slots = 12;
    scenario.dataCentres = 4;
    scenario.rate = 6.0;
    scenario.slowest = 1.0;
    scenario.disturbedShare = 0.15;
    return scenario;
}

void compare(const Scenario& scenario)
{
    auto present = replay(scenario, Strategy::Present);
    auto byWork = replay(scenario, Strategy::ByWork);
    replay(scenario, Strategy::Oracle);
    CHECK(byWork.urgent(0.95) < present.urgent(0.95));
    CHECK(byWork.late / static_cast<double>(byWork.requests) < present.late / static_cast<double>(present.requests));
    CHECK(byWork.elsewhere < present.elsewhere);
}

}

// Guards against short urgent requests that wait behind long prompts, and against prompts that cross data centres.
TEST_CASE("replay: 60 daemons, 60 runners of 64 slots in 3 data centres with different speeds")
{
    compare(largeRunners());
}

TEST_CASE("replay: 112 daemons, 140 runners of 12 slots in 4 data centres, some slow for 0.6 s")
{
    compare(smallRunners());
}

// Guards against daemons that fill a runner beyond the load bound of the settings before they hear of each other.
TEST_CASE("replay: no runner gets more than twice the mean load and 3 requests while reports are late")
{
    for (const auto& scenario : { largeRunners(), smallRunners() })
        CHECK(replay(scenario, Strategy::ByWork).overBound <= 3.0);
}
