#include "proxy/Router.h"
#include "proxy/Status.h"

#include "telemetry/DecisionLog.h"

namespace eelgrassford::proxy {

namespace {

    /// Time for which the runners may take to list their caches; callers wait meanwhile.
    constexpr Duration surveyTimeout = std::chrono::milliseconds(500);
    /// Time between two surveys of a service. Streams that begin later are known to the daemons.
    constexpr Duration surveyInterval = std::chrono::seconds(10);
    /// Largest list of a runner, in bytes; each entry takes some 40.
    constexpr std::size_t cacheListLimit = 2u << 20;

}

void Router::mergeSoleVersions(std::span<const runners::SoleVersion> versions)
{
    for (const auto& version : versions)
        m_versionHistory.adopt(version, m_clock());
}

void Router::beginStop(TimePoint cutAt)
{
    m_stop.emplace(now(), cutAt);
    publishOrigins(now());
}

void Router::recordOrigins(std::span<const dispatch::StreamOrigin> origins, std::string_view service, TimePoint now)
{
    for (const auto& origin : origins)
        m_streamOrigins.record(origin, now);
    if (m_directory && !m_versionHistory.soleVersion(service, now))
        m_directory->publish({ origins.begin(), origins.end() });
}

void Router::publishOrigins(TimePoint now)
{
    if (m_directory)
        m_directory->publish(m_streamOrigins.all(now));
}

std::optional<std::uint64_t> Router::soleSoftware(const routing::Route& route, TimePoint now) const
{
    // Of several services it is not known which one began a stream.
    if (route.destinations.size() != 1)
        return std::nullopt;
    return m_versionHistory.soleVersion(route.destinations.front().service, now);
}

std::string Router::destinationOf(const routing::Route& route, std::uint64_t software) const
{
    for (const auto& destination : route.destinations) {
        for (const auto* runner : m_registry.runnersOf(destination.service)) {
            if (runner->software == software)
                return destination.service;
        }
    }
    return {};
}

void Router::findInCaches(const std::string& service, const PromptPart& lastPart, OriginFinder finder)
{
    const auto now = m_clock();
    auto& survey = m_surveys[service];
    if (survey && survey->isFinished && now - survey->begunAt < surveyInterval) {
        finder(survey->survey.softwareThatRead(lastPart));
        return;
    }
    const bool isRunning = survey && !survey->isFinished;
    if (!isRunning)
        survey = std::make_shared<RunningSurvey>();
    survey->waiting.emplace_back(lastPart, std::move(finder));
    if (!isRunning)
        startSurvey(service, survey, now);
}

void Router::startSurvey(const std::string& service, const std::shared_ptr<RunningSurvey>& survey, TimePoint now)
{
    survey->begunAt = now;
    for (auto* runner : m_registry.runnersOf(service)) {
        // Nothing is asked of runners that are out of service, nor of cold ones, which have no caches.
        if (!m_registry.isSoftwareCertain(*runner, now) || runner->evacuatedSince || runner->isCold(now))
            continue;
        ++survey->unanswered;
        const auto body = std::make_shared<std::string>();
        upstream::Exchange query;
        query.bytes = m_codec.encodeCacheQuery();
        query.isAnswer = [](const http::MessageHead& head) { return head.status == status::ok; };
        const std::weak_ptr<RunningSurvey> weak = survey;
        survey->queries.push_back(poolOf(*runner).start(std::move(query),
            { [](http::MessageHead&) {},
                [body](std::string_view bytes) {
                    if (body->size() < cacheListLimit)
                        body->append(bytes);
                },
                [this, weak, body, service, software = runner->software](const upstream::ExchangeResult& result) {
                    const auto running = weak.lock();
                    if (!running || running->isFinished)
                        return;
                    if (result.end == upstream::ExchangeEnd::Complete)
                        running->survey.record(software, m_codec.decodeCachedParts(*body));
                    if (--running->unanswered == 0)
                        finishSurvey(service, *running);
                } }));
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, surveyTimeout);
    timer->async_wait([this, timer, service, weak = std::weak_ptr(survey)](const asio::error_code& error) {
        const auto running = weak.lock();
        if (!error && running && !running->isFinished)
            finishSurvey(service, *running);
    });
}

void Router::finishSurvey(const std::string& service, RunningSurvey& survey)
{
    survey.isFinished = true;
    for (const auto& query : std::exchange(survey.queries, {}))
        upstream::ConnectionPool::cancel(query);
    telemetry::logInfo("caches-surveyed",
        { { "service", service }, { "ms", toMilliseconds(m_clock() - survey.begunAt) },
            { "unanswered", static_cast<std::uint64_t>(survey.unanswered) },
            { "waiting", static_cast<std::uint64_t>(survey.waiting.size()) } });
    for (const auto& [part, finder] : std::exchange(survey.waiting, {}))
        finder(survey.survey.softwareThatRead(part));
}

}
