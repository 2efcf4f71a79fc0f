#include "proxy/CacheQueries.h"

#include "common/Hash.h"
#include "proxy/Status.h"
#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Largest list of a runner, in bytes; each entry takes some 40.
    constexpr std::size_t cacheListLimit = 2u << 20;
    /// Time between two looks at the runners that have not answered.
    constexpr Duration checkInterval = std::chrono::milliseconds(100);

    std::string joined(const CacheQueries::Services& services)
    {
        std::string result;
        for (const auto& service : services)
            result.append(result.empty() ? "" : ",").append(service);
        return result;
    }

}

CacheQueries::CacheQueries(asio::io_context& context, const Codec& codec, runners::Registry& registry,
    const runners::VersionHistory& versions, Pools pools, Clock clock)
    : m_codec(codec)
    , m_registry(registry)
    , m_versions(versions)
    , m_pools(std::move(pools))
    , m_clock(std::move(clock))
    , m_departures(versions.window())
    , m_timer(context)
{
}

CacheQueries::~CacheQueries() { *m_isAlive = false; }

void CacheQueries::find(const Services& services, const PromptPart& lastPart, CacheSurvey::Finder finder)
{
    const auto now = m_clock();
    auto& scope = m_scopes[services];
    if (!scope.survey.isWaiting())
        scope.begunAt = now;
    scope.survey.ask(lastPart, std::move(finder), now);
    advance(services);
}

void CacheQueries::onRunnerRemoved(const runners::Runner& runner) { m_departures.record(runner, m_clock()); }

void CacheQueries::onRunnersChanged()
{
    m_departures.recordListing(m_clock());
    checkAll();
}

void CacheQueries::adoptDepartures(std::span<const runners::Departure> departures)
{
    m_departures.adopt(departures, m_clock());
}

std::vector<runners::Departure> CacheQueries::departures()
{
    if (m_departures.isEmpty())
        return {};
    runners::Departures::Listed listed;
    for (const auto& [id, runner] : m_registry.runners())
        listed.emplace(runner->identity, runner->software);
    return m_departures.summary(listed, m_clock());
}

void CacheQueries::checkAll()
{
    for (const auto& [services, scope] : m_scopes) {
        if (!scope.survey.isIdle())
            advance(services);
    }
}

void CacheQueries::updateCandidates(const Services& services, CacheSurvey& survey, TimePoint now)
{
    std::vector<CacheSurvey::Candidate> candidates;
    std::set<std::uint64_t> departed;
    for (const auto& service : services) {
        runners::Departures::Listed listed;
        for (const auto* runner : m_registry.runnersOf(service)) {
            if (runner->evacuatedSince && now - *runner->evacuatedSince > m_versions.window())
                continue;
            listed.emplace(runner->identity, runner->software);
            // Nothing is sent to runners out of service, nor beyond their rate to cold ones.
            const bool isAskable = !runner->evacuatedSince && !runner->isCold(now);
            candidates.push_back({ runner->entry.id, runner->identity, runner->software,
                m_registry.isSoftwareCertain(*runner, now), isAskable });
        }
        departed.merge(m_departures.softwareOf(hash64(service), listed, now));
    }
    survey.setCandidates(std::move(candidates), std::move(departed));
}

void CacheQueries::advance(const Services& services)
{
    const auto now = m_clock();
    auto& scope = m_scopes[services];
    updateCandidates(services, scope.survey, now);
    for (const auto& runner : scope.survey.takeDue(now))
        query(services, runner);
    scope.concluded += scope.survey.conclude(now);
    if (!scope.survey.isWaiting())
        finish(services, scope, now);
    if (!scope.survey.isIdle())
        armTimer();
}

void CacheQueries::query(const Services& services, const std::string& id)
{
    auto& scope = m_scopes[services];
    const auto* runner = m_registry.find(id);
    const auto body = std::make_shared<std::string>();
    upstream::Exchange exchange;
    exchange.bytes = m_codec.encodeCacheQuery();
    exchange.isAnswer = [](const http::MessageHead& head) { return head.status == status::ok; };
    ++scope.asked;
    // An earlier query stays in flight: a runner that was silent answers it when it goes on.
    scope.queries.push_back(m_pools(*runner).start(std::move(exchange),
        { [](http::MessageHead&) {},
            [body](std::string_view bytes) {
                // One byte more than the limit tells a list that was cut.
                body->append(bytes.substr(0, cacheListLimit + 1 - body->size()));
            },
            [this, isAlive = m_isAlive, body, services, id, identity = runner->identity](
                const upstream::ExchangeResult& result) {
                if (*isAlive && result.end == upstream::ExchangeEnd::Complete)
                    onAnswer(services, id, identity, *body);
            } }));
}

void CacheQueries::onAnswer(
    const Services& services, const std::string& runner, std::uint64_t identity, const std::string& body)
{
    const auto parts = body.size() > cacheListLimit ? std::nullopt : m_codec.decodeCachedParts(body);
    if (!parts) {
        telemetry::logWarning("cache-list-unreadable",
            { { "service", joined(services) }, { "runner", runner },
                { "bytes", static_cast<std::uint64_t>(body.size()) } });
        return;
    }
    m_scopes[services].survey.record(runner, identity, *parts, m_clock());
    advance(services);
}

void CacheQueries::finish(const Services& services, Scope& scope, TimePoint now)
{
    if (scope.concluded == 0)
        return;
    for (const auto& handle : std::exchange(scope.queries, {}))
        upstream::ConnectionPool::cancel(handle);
    telemetry::logInfo("caches-surveyed",
        { { "service", joined(services) }, { "ms", toMilliseconds(now - scope.begunAt) },
            { "asked", static_cast<std::uint64_t>(std::exchange(scope.asked, 0)) },
            { "unanswered", static_cast<std::uint64_t>(scope.survey.unanswered(now)) },
            { "streams", static_cast<std::uint64_t>(std::exchange(scope.concluded, 0)) } });
}

void CacheQueries::armTimer()
{
    if (std::exchange(m_isTimerArmed, true))
        return;
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!*isAlive || error)
            return;
        m_isTimerArmed = false;
        checkAll();
    });
}

}
