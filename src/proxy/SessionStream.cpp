#include "proxy/Session.h"

#include "proxy/Status.h"

namespace eelgrassford::proxy {

using dispatch::AttemptFailure;
using dispatch::RelayStep;
using runners::Observation;

dispatch::StreamKey Session::streamOf(std::string_view attempt) const
{
    return dispatch::streamKey(m_admitted.organisation, attempt);
}

void Session::continueStream()
{
    const auto now = m_router.now();
    const auto& attempt = m_admitted.metadata.continuedAttempt;
    if (const auto software = attempt.empty() ? std::nullopt : m_router.m_streamOrigins.find(streamOf(attempt), now)) {
        continueAt(software, "own");
        return;
    }
    if (attempt.empty() || !m_router.m_directory) {
        continueUntold();
        return;
    }
    m_router.m_directory->find(streamOf(attempt), [self = shared_from_this()](std::optional<std::uint64_t> software) {
        if (self->m_isFinished)
            return;
        if (software)
            self->continueAt(software, "told");
        else
            self->continueUntold();
        if (!self->m_isFinished)
            self->armTimer();
    });
}

void Session::continueUntold()
{
    if (!deriveSoftware() && !hasNamedPrompt()) {
        continueAt(std::nullopt, "none");
        return;
    }
    // A runner that began the stream may have been listed since this daemon read the listing.
    m_router.m_listingProofs.await(m_router.now(), [self = shared_from_this()](bool isProven) {
        if (self->m_isFinished)
            return;
        if (isProven)
            self->continueDerived();
        else
            self->continueAt(std::nullopt, "unproven");
        if (!self->m_isFinished)
            self->armTimer();
    });
}

void Session::continueDerived()
{
    const auto software = deriveSoftware();
    if (software || !hasNamedPrompt()) {
        continueAt(software, software ? "sole-version" : "none");
        return;
    }
    const auto services = m_router.m_originPolicy.servicesOf(*m_admitted.route, m_router.now());
    m_router.m_cacheQueries.find(services, m_admitted.metadata.prompt.back(),
        [self = shared_from_this()](std::optional<std::uint64_t> software) {
            if (self->m_isFinished)
                return;
            self->continueAt(software, software ? "cache" : "none");
            if (!self->m_isFinished)
                self->armTimer();
        });
}

std::optional<std::uint64_t> Session::deriveSoftware() const
{
    return m_router.m_originPolicy.deriveSoftware(*m_admitted.route, m_router.now());
}

bool Session::hasNamedPrompt() const
{
    return !m_admitted.metadata.continuedAttempt.empty() && !m_admitted.metadata.prompt.empty();
}

void Session::continueAt(std::optional<std::uint64_t> software, std::string_view evidence)
{
    m_originEvidence = evidence;
    if (!software) {
        execute(RelayStep::RefuseNotRun, "it is not known which software began the stream");
        return;
    }
    m_software = software;
    // The weights of the destinations are for new requests.
    if (const auto service = m_router.destinationOf(*m_admitted.route, *software); !service.empty())
        m_admitted.service = service;
    send();
}

void Session::recordOrigin(TimePoint now)
{
    if (m_attempt->isPassedOn || m_isOriginRecorded)
        return;
    if (m_software.value_or(runners::unknownSoftware) == runners::unknownSoftware)
        m_software = softwareOfAttempt(now);
    // A record without a version would go before what the caches of the runners may tell.
    if (*m_software == runners::unknownSoftware)
        return;
    m_isOriginRecorded = true;
    // The caller may name this request, or go on naming the first one.
    std::vector<dispatch::StreamOrigin> origins { { streamOf(m_admitted.metadata.attemptId), *m_software } };
    if (!m_admitted.metadata.continuedAttempt.empty())
        origins.push_back({ streamOf(m_admitted.metadata.continuedAttempt), *m_software });
    m_router.recordOrigins(origins, *m_admitted.route, now);
}

std::uint64_t Session::softwareOfAttempt(TimePoint now) const
{
    const auto* runner = m_router.m_registry.find(m_attempt->runner);
    if (!runner)
        return m_attempt->software;
    // The listing may have changed, or the runner may have restarted, since the request was sent.
    const bool isConsistent
        = m_attempt->software == runners::unknownSoftware || m_attempt->software == runner->software;
    const bool isCertain = isConsistent && m_router.m_registry.isSoftwareCertain(*runner, now);
    return isCertain ? runner->software : runners::unknownSoftware;
}

WorkRequest Session::workRequest() const
{
    return { *m_admitted.route, m_admitted.routes->findService(m_admitted.service), m_admitted.service,
        m_admitted.organisation, m_admitted.metadata, m_affinity };
}

bool Session::relayEvents()
{
    auto& attempt = *m_attempt;
    std::string text;
    bool isSound = true;
    while (const auto event = attempt.events.next()) {
        // In a stream whose events have ids, one without is no part of it.
        const bool lacksId = m_lastEvent > 0 && !event->offset && !event->isComment && !event->isEnd;
        if (event->isMalformed || lacksId) {
            isSound = false;
            break;
        }
        attempt.lastProgressAt = m_router.now();
        if (++attempt.eventCount == Attempt::minEventsOfAnswer)
            m_router.m_crashes.recordServed(std::span(m_admitted.suspects).subspan(1), attempt.lastProgressAt);
        // A resumed stream may begin with events that the caller already has.
        if (event->offset && *event->offset <= m_lastEvent)
            continue;
        if (event->offset)
            m_lastEvent = *event->offset;
        text += event->text;
    }
    m_router.m_placement.recordEvents(attempt.work, workRequest(), attempt.eventCount, attempt.lastProgressAt);
    if (text.empty())
        return isSound;
    if (!m_hasResponseStarted) {
        recordFirstByte(attempt.lastProgressAt);
        startResponse();
    }
    recordOrigin(attempt.lastProgressAt);
    m_responder->write(std::move(text));
    return isSound;
}

void Session::finishStream()
{
    const auto now = m_router.now();
    if (m_attempt->events.isInEvent()) {
        fail(AttemptFailure::Broken, Observation::Failed, "the stream ended within an event");
        return;
    }
    // Only the end of the connection says that such a stream is complete, and a runner that crashes closes it too.
    if (m_attempt->head.isEndedByClose && m_attempt->eventCount == 0) {
        fail(AttemptFailure::Broken, Observation::ConnectionLost, "the stream ended without an event");
        return;
    }
    if (!m_hasResponseStarted)
        startResponse();
    if (m_affinity.promptHash != 0 && !m_attempt->isPassedOn)
        m_router.m_promptIndex.recordServed(m_affinity.promptHash, m_attempt->runner);
    endAttempt(Observation::Served, now);
    m_responder->end();
    finish("answered", status::ok, {});
}

}
