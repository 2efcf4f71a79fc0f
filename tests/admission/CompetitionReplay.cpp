#include "admission/CompetitionReplay.h"

#include "admission/WorkAdmission.h"
#include "common/Hash.h"
#include "fleet/FleetClock.h"
#include <algorithm>
#include <cmath>
#include <memory>
#include <numbers>

namespace eelgrassford::tests {

namespace {

    using admission::LoadShedder;

    constexpr double stepSeconds = 0.005;
    /// Delay of messages between daemons, in steps.
    constexpr std::size_t messageSteps = 30;
    /// Time from a refusal to the next try of a caller that repeats at once.
    constexpr double repeatSeconds = 0.01;
    constexpr int maxRepeats = 3;
    constexpr double fullWait = 1.0 / 3.0;

    struct Request {
        std::size_t kind = 0;
        std::size_t organisation = 0;
        std::size_t dataCentre = 0;
        std::uint64_t hash = 0;
        Caller caller = Caller::Leaves;
        bool isCounted = false;
        double firstSentAt = 0.0;
        int tries = 0;
        double nextTryAt = 0.0;
        std::size_t daemon = 0;
        double admittedAt = 0.0;
        double startedAt = 0.0;
        double workSeconds = 0.0;
    };

    struct Daemon {
        std::vector<LoadShedder> shedders;
        std::vector<admission::WorkAdmission> admissions;
        /// Time by which the clock of the host differs.
        Duration offset {};
        fleet::FleetClock clock;
        std::vector<admission::ServiceDemand> reported;
        bool isUp = true;
    };

    struct Pool {
        std::deque<Request> queue;
        std::vector<Request> running;
        std::vector<double> inFlight;
        double inTimeWork = 0.0;
    };

    class Replay {
    public:
        Replay(const Competition& load, std::uint64_t seed)
            : m_load(load)
            , m_random(seed)
            , m_pools(load.slots.size())
            , m_daemons(load.daemons)
        {
            for (auto& daemon : m_daemons) {
                daemon.offset = std::chrono::milliseconds(m_random() % 100'000'000);
                daemon.admissions.resize(load.slots.size());
                for (std::size_t service = 0; service < load.slots.size(); ++service)
                    daemon.shedders.emplace_back(now());
            }
            m_report.byOrganisation.resize(load.organisations.size());
        }

        CompetitionReport run()
        {
            for (; isSending() || isBusy(); ++m_step) {
                if (m_load.areDaemonsKilled && m_step == toStep(m_load.from + 3.0))
                    killDaemons();
                if (m_step % messageSteps == 0)
                    exchangeMessages();
                for (auto& pool : m_pools)
                    endRequests(pool);
                if (isSending())
                    sendRequests();
                retryRequests();
                for (std::size_t service = 0; service < m_pools.size(); ++service)
                    startRequests(m_pools[service], m_load.slots[service]);
            }
            for (std::size_t service = 0; service < m_pools.size(); ++service)
                m_report.goodput.push_back(
                    m_pools[service].inTimeWork / (m_load.slots[service] * (m_load.until - m_load.from)));
            return m_report;
        }

    private:
        static std::size_t toStep(double seconds)
        {
            return static_cast<std::size_t>(std::lround(seconds / stepSeconds));
        }
        double seconds() const { return static_cast<double>(m_step) * stepSeconds; }
        TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + fromSeconds(seconds()); }
        bool isSending() const { return seconds() < m_load.seconds; }
        bool isPattern() const { return seconds() >= m_load.from && seconds() < m_load.until; }
        double uniform() { return std::uniform_real_distribution<double>()(m_random); }
        bool isBusy() const
        {
            return !m_returning.empty() || std::any_of(m_pools.begin(), m_pools.end(), [](const Pool& pool) {
                return !pool.queue.empty() || !pool.running.empty();
            });
        }

        double rateFactor(std::size_t organisation, std::size_t dataCentre) const
        {
            if (!isPattern())
                return 1.0;
            const auto phase
                = seconds() / 5.0 + static_cast<double>(dataCentre) / static_cast<double>(m_load.dataCentres);
            return m_load.factor * (organisation == m_load.heavyOrganisation ? m_load.organisationFactor : 1.0)
                * (dataCentre == 0 ? m_load.dataCentreFactor : 1.0)
                * (1.0 + m_load.wave * std::sin(2.0 * std::numbers::pi * phase));
        }

        void sendRequests()
        {
            for (std::size_t kind = 0; kind < m_load.kinds.size(); ++kind) {
                for (std::size_t organisation = 0; organisation < m_load.organisations.size(); ++organisation) {
                    const auto dataCentre = m_random() % m_load.dataCentres;
                    const auto rate = m_load.kinds[kind].perSecond * m_load.organisations[organisation]
                        * rateFactor(organisation, dataCentre);
                    for (auto left = std::poisson_distribution<int>(rate * stepSeconds)(m_random); left > 0; --left)
                        send(createRequest(kind, organisation, dataCentre));
                }
            }
        }

        Request createRequest(std::size_t kind, std::size_t organisation, std::size_t dataCentre)
        {
            Request request { kind, organisation, dataCentre, m_random() };
            if (m_load.doCallersReturn)
                request.caller = static_cast<Caller>(m_random() % 3);
            request.isCounted = isPattern();
            request.firstSentAt = seconds();
            request.workSeconds = m_load.kinds[kind].workSeconds * (0.5 + uniform());
            return request;
        }

        std::size_t chooseDaemon(std::size_t dataCentre)
        {
            for (;;) {
                const auto perDataCentre = m_daemons.size() / m_load.dataCentres;
                const auto index = dataCentre + m_load.dataCentres * (m_random() % perDataCentre);
                if (m_daemons[index].isUp)
                    return index;
            }
        }

        void send(Request request)
        {
            const auto& kind = m_load.kinds[request.kind];
            request.daemon = chooseDaemon(request.dataCentre);
            const bool isFirst = request.tries++ == 0;
            const bool isReturn = !isFirst && request.caller == Caller::ReturnsAsTold;
            count(request, [&](Tally& tally) {
                tally.sent += isFirst;
                tally.firstTries += isFirst;
                tally.returns += isReturn;
            });
            const auto name = "organisation-" + std::to_string(request.organisation);
            admission::AdmissionRequest candidate { name, kind.name, kind.priority, fromSeconds(kind.objectiveSeconds),
                fromSeconds(kind.deadlineSeconds - (seconds() - request.firstSentAt)), uniform(), uniform(),
                request.hash };
            const admission::ServiceLoad load { knownLoad(kind.service), m_load.slots[kind.service] };
            const auto decision = decide(m_daemons[request.daemon], kind.service, candidate, load);
            if (decision.verdict != admission::SheddingVerdict::Admitted) {
                m_report.refusedWhileIdle += load.inFlight < 0.5 * load.slots;
                scheduleRetry(request, decision.retryAfter);
                return;
            }
            count(request, [&](Tally& tally) {
                tally.firstAdmitted += isFirst;
                tally.returnsAdmitted += isReturn;
            });
            request.admittedAt = seconds();
            m_pools[kind.service].queue.push_back(request);
        }

        admission::SheddingDecision decide(Daemon& daemon, std::size_t service,
            const admission::AdmissionRequest& candidate, const admission::ServiceLoad& load)
        {
            auto& shedder = daemon.shedders[service];
            if (!m_load.isWorkAware)
                return shedder.decide(candidate, load, now());
            return daemon.admissions[service].decide(
                candidate, load, shedder, daemon.clock.timeAt(now() + daemon.offset), now());
        }

        /// Delivers the messages that were sent one message delay ago, and sends the next ones.
        void exchangeMessages()
        {
            const bool isLost = m_load.areMessagesLost && isPattern();
            for (auto& daemon : m_daemons) {
                admission::DemandSum others;
                others.add(m_sentDemand);
                others.subtract(daemon.reported);
                const auto demands = others.take(m_load.daemons > 100 ? 12 : 1000);
                for (std::size_t service = 0; service < m_pools.size(); ++service) {
                    const auto found = std::find_if(demands.begin(), demands.end(),
                        [&](const admission::ServiceDemand& demand) { return demand.service == service; });
                    daemon.admissions[service].shares().setOthers(
                        isLost || found == demands.end() ? nullptr : &*found, now());
                }
                if (!isLost)
                    daemon.clock.receive(m_sentTime, now() + daemon.offset);
            }
            admission::DemandSum sum;
            for (auto& daemon : m_daemons) {
                daemon.reported.clear();
                if (!daemon.isUp)
                    continue;
                for (std::size_t service = 0; service < m_pools.size(); ++service) {
                    daemon.reported.push_back(
                        daemon.admissions[service].shares().ownDemand(12 / m_pools.size(), now()));
                    daemon.reported.back().service = static_cast<std::uint32_t>(service);
                }
                sum.add(daemon.reported);
                m_sentTime = std::max(m_sentTime, daemon.clock.timeAt(now() + daemon.offset));
            }
            m_sentDemand = sum.take(m_load.daemons > 100 ? 12 : 1000);
        }

        double knownLoad(std::size_t service) const
        {
            const auto& known = m_pools[service].inFlight;
            return known.size() > messageSteps ? known[known.size() - messageSteps] : 0.0;
        }

        void scheduleRetry(Request request, Duration retryAfter)
        {
            const auto deadline = request.firstSentAt + m_load.kinds[request.kind].deadlineSeconds;
            const auto wait = request.caller == Caller::RepeatsAtOnce ? repeatSeconds : toSeconds(retryAfter);
            const bool mayRepeat = request.caller == Caller::RepeatsAtOnce && request.tries <= maxRepeats;
            const bool mayReturn = request.caller == Caller::ReturnsAsTold && request.tries == 1
                && wait <= fullWait * (deadline - seconds());
            if (!mayRepeat && !mayReturn)
                return;
            request.nextTryAt = seconds() + wait;
            m_returning.push_back(request);
        }

        void retryRequests()
        {
            std::vector<Request> due;
            std::erase_if(m_returning, [&](const Request& request) {
                if (request.nextTryAt > seconds())
                    return false;
                due.push_back(request);
                return true;
            });
            for (const auto& request : due)
                send(request);
        }

        void startRequests(Pool& pool, double slots)
        {
            while (!pool.queue.empty() && static_cast<double>(pool.running.size()) < slots) {
                auto request = pool.queue.front();
                pool.queue.pop_front();
                const auto& kind = m_load.kinds[request.kind];
                shedderOf(request).recordFirstByte(seconds() - request.admittedAt > kind.objectiveSeconds, now());
                if (seconds() >= request.firstSentAt + kind.deadlineSeconds) {
                    count(request, [](Tally& tally) { ++tally.expired; });
                    continue;
                }
                request.startedAt = seconds();
                pool.running.push_back(request);
            }
            pool.inFlight.push_back(static_cast<double>(pool.running.size() + pool.queue.size()));
        }

        void endRequests(Pool& pool)
        {
            std::erase_if(pool.running, [&](const Request& request) {
                const auto& kind = m_load.kinds[request.kind];
                if (seconds() >= request.firstSentAt + kind.deadlineSeconds) {
                    count(request, [](Tally& tally) { ++tally.expired; });
                    return true;
                }
                if (seconds() < request.startedAt + request.workSeconds)
                    return false;
                // A daemon measures the whole time that a request spends at its runner.
                shedderOf(request).recordServiceTime(kind.name, fromSeconds(seconds() - request.admittedAt));
                count(request, [](Tally& tally) { ++tally.served; });
                if (isPattern())
                    pool.inTimeWork += request.workSeconds;
                return true;
            });
        }

        LoadShedder& shedderOf(const Request& request)
        {
            return m_daemons[request.daemon].shedders[m_load.kinds[request.kind].service];
        }

        /// A fifth of the daemons end; their requests are cut and their callers use others.
        void killDaemons()
        {
            for (std::size_t i = 0; i < m_daemons.size(); i += 5)
                m_daemons[i].isUp = false;
            const auto isCut = [&](const Request& request) { return !m_daemons[request.daemon].isUp; };
            for (auto& pool : m_pools) {
                std::erase_if(pool.queue, isCut);
                std::erase_if(pool.running, isCut);
            }
        }

        template <typename Change> void count(const Request& request, Change change)
        {
            if (!request.isCounted)
                return;
            const auto& kind = m_load.kinds[request.kind];
            change(m_report.byKind[kind.name]);
            if (kind.service == 0) {
                change(m_report.byOrganisation[request.organisation]);
                change(m_report.byCaller[request.caller]);
                change(m_report.all);
            }
        }

        Competition m_load;
        std::mt19937_64 m_random;
        std::vector<Pool> m_pools;
        std::vector<Daemon> m_daemons;
        std::size_t m_step = 0;
        std::vector<Request> m_returning;
        /// Sum of the demands that the daemons sent last, and the latest of the times that they stated.
        std::vector<admission::ServiceDemand> m_sentDemand;
        Duration m_sentTime {};
        CompetitionReport m_report;
    };

}

Competition usualCompetition(std::size_t daemons)
{
    Competition load;
    load.daemons = daemons;
    load.kinds = { { "chat", 0, 0, 336.0, 1.0, 0.8, 12.0 }, { "assist", 0, 1, 100.0, 2.0, 1.2, 15.0 },
        { "batch", 0, 2, 34.0, 4.0, 3.0, 20.0 }, { "lookup", 1, 0, 500.0, 0.08, 0.3, 3.0 },
        { "report", 1, 2, 50.0, 0.4, 1.0, 6.0 } };
    // 60 runners of 64 slots and 140 runners of 12 slots; of the first, a quarter.
    if (daemons > 100) {
        load.dataCentres = 4;
        load.slots[0] = 1680.0;
        for (auto& kind : load.kinds)
            kind.perSecond *= kind.service == 0 ? 1.75 : 1.0;
    }
    double sum = 0.0;
    for (int i = 0; i < 24; ++i)
        sum += load.organisations.emplace_back(1.0 / std::pow(i + 1.0, 0.8));
    for (auto& share : load.organisations)
        share /= sum;
    return load;
}

CompetitionReport replay(const Competition& load, std::uint64_t seed) { return Replay(load, seed).run(); }

}
