#include "edge/FleetLink.h"

#include "daemon/SystemClock.h"
#include "store/DeltaCodec.h"
#include "telemetry/DecisionLog.h"
#include <algorithm>
#include <charconv>

namespace eelgrassford::edge {

using daemon::currentTime;

namespace {

    constexpr std::string_view changesTarget = "/mirror?since=";
    /// Follows the revision in a request for changes that is to be refused rather than answered with a full copy.
    constexpr std::string_view noCopyParameter = "&copy=0";
    /// Precedes the key of the only item that is asked for. Daemons of earlier releases answer with all items.
    constexpr std::string_view keyParameter = "&key=";
    constexpr std::uint16_t statusOk = 200;
    /// The changes since a revision are only to be had as a full copy.
    constexpr std::uint16_t statusConflict = 409;
    /// Shortest time between full copies from daemons of earlier releases, whose changes may lack removals.
    constexpr Duration copyInterval = std::chrono::seconds(2);
    constexpr Duration fetchTimeout = std::chrono::milliseconds(700);
    /// Time after a fetch that timed out in which fetches open connections instead of reusing them.
    constexpr Duration newConnectionsPeriod = std::chrono::seconds(30);
    /// Time behind another daemon that is logged; shorter times are usual while a change spreads.
    constexpr Duration loggedTimeBehind = std::chrono::milliseconds(600);
    /// Age of the newest proof from which a daemon that reports to an aggregator asks the readers itself.
    constexpr Duration maxPassedProofAge = std::chrono::milliseconds(1600);
    /// Shortest time between two log lines on the number of members, which changes all the time in a large fleet.
    constexpr Duration membersLogInterval = std::chrono::milliseconds(500);
    /// Share of the link's bandwidth for serving changes to other daemons.
    constexpr double changesLinkShare = 0.125;
    constexpr double bytesPerMegabit = 125000.0;

    /// IP addresses of the seeds. Their ports are dropped: they belong to another interface.
    std::vector<std::string> seedIps(const RelaySettings& settings)
    {
        std::vector<std::string> result;
        for (const auto& seed : settings.seeds) {
            if (const auto address = Address::parse(seed))
                result.push_back(address->ip);
        }
        return result;
    }

    /// Digests from each daemon to each grow with the square of the fleet, and most of them cross data centres. Where
    /// data centres may be lost, the connections between them are kept free from a smaller fleet on.
    fleet::Gossip::Options gossipOptions(const RelaySettings& settings)
    {
        constexpr std::size_t startSizeAcrossDataCentres = 32;
        constexpr std::size_t endSizeAcrossDataCentres = 24;
        fleet::Gossip::Options options;
        if (settings.fleetDataCentreLosses > 0) {
            options.aggregation.startSize = startSizeAcrossDataCentres;
            options.aggregation.endSize = endSizeAcrossDataCentres;
        }
        return options;
    }

    gateway::HttpServer::Options serverOptions(const RelaySettings& settings)
    {
        gateway::HttpServer::Options options;
        options.ip = settings.ip;
        options.port = settings.fleetPort;
        options.bodyLimit = 4096;
        return options;
    }

}

FleetLink::FleetLink(asio::io_context& context, const RelaySettings& settings, std::uint64_t incarnation,
    store::Mirror& mirror, upstream::CurlClient& client, fleet::Gossip::RandomSource random, Events events)
    : m_settings(settings)
    , m_mirror(mirror)
    , m_client(client)
    , m_events(std::move(events))
    , m_gossip({ settings.ip, settings.region, incarnation }, gossipOptions(settings), std::move(random))
    , m_readerElection(
          settings.ip, incarnation, fleet::ReaderElection::Options::forDeadline(settings.configurationDeadline))
    , m_directory(settings.ip, incarnation, {})
    , m_socket(context, settings.ip, settings.fleetPort,
          [this](const std::string& from, const fleet::Message& message) { receive(from, message); })
    , m_server(context, serverOptions(settings),
          [this](const gateway::HttpRequest& request, const std::shared_ptr<gateway::Responder>& responder) {
              responder->respond(serve(request));
          })
    , m_changesBudget(settings.linkMegabitsPerSecond * bytesPerMegabit * changesLinkShare, currentTime())
{
    m_gossip.addSeeds(seedIps(settings), currentTime());
}

void FleetLink::applySettings(const RelaySettings& settings, TimePoint now)
{
    m_gossip.addSeeds(seedIps(settings), now);
    m_readerElection.setOptions(fleet::ReaderElection::Options::forDeadline(settings.configurationDeadline));
}

void FleetLink::tick(TimePoint now)
{
    updateMembers(now);
    logMissedChanges(now);
    send(m_gossip.takeDue(localState(), now));
    m_directory.setMembers(m_gossip.liveIps(now));
    m_directory.setSoleVersions(m_report.soleVersions);
    m_directory.setDepartures(m_report.departures);
    send(m_directory.tick(now));
    if (shouldAskReaders(now)) {
        if (const auto outgoing = m_readerElection.nextRequest(now, m_gossip.aggregation().isOwnAggregator()))
            m_socket.send(outgoing->ip, fleet::encode(outgoing->request));
    }
    const bool isReading = isReader(now);
    m_mirror.setReading(isReading);
    m_mirror.setStandby(!m_readerElection.isElected() && m_mirror.isComplete());
    if (isReading == m_wasReader)
        return;
    m_wasReader = isReading;
    telemetry::logInfo("readership-changed",
        { { "reader", isReading }, { "elected", m_readerElection.isElected() },
            { "heard", static_cast<std::uint64_t>(m_liveCount) },
            { "behind", m_missedChanges.behindSince().has_value() } });
}

bool FleetLink::isReader(TimePoint now) const
{
    return m_missedChanges.isOverdue(now) || !m_mirror.isComplete() || m_readerElection.isReader(provenAt(), now);
}

std::optional<TimePoint> FleetLink::provenAt() const
{
    const auto own = m_mirror.provenAt();
    if (!own || (m_peerProvenAt && *m_peerProvenAt > *own))
        return m_peerProvenAt;
    return own;
}

void FleetLink::announce(TimePoint now)
{
    m_gossip.expedite(now);
    send(m_gossip.takeDue(localState(), now));
}

void FleetLink::publishOrigins(
    std::span<const dispatch::StreamOrigin> origins, dispatch::OriginCopies copies, TimePoint now)
{
    send(m_directory.publish(origins, copies, now));
}

void FleetLink::findOrigin(dispatch::StreamKey stream, fleet::StreamDirectory::Finder finder, TimePoint now)
{
    send(m_directory.find(stream, std::move(finder), now));
}

void FleetLink::leave(TimePoint now)
{
    send(m_directory.handOver(now));
    send(m_gossip.leave(localState(), now));
}

bool FleetLink::shouldAskReaders(TimePoint now) const
{
    const auto proven = provenAt();
    if (!m_readerElection.needsProof(m_mirror.provenAt(), now))
        return false;
    const auto& aggregation = m_gossip.aggregation();
    return !aggregation.isActive() || aggregation.isOwnAggregator() || !proven || now - *proven > maxPassedProofAge;
}

fleet::LocalState FleetLink::localState() const
{
    return { m_report.states, m_report.crashes, m_report.statements, m_mirror.changeRevision(), provenAt(),
        m_report.demands };
}

void FleetLink::send(const std::vector<fleet::Gossip::Outgoing>& outgoing)
{
    for (const auto& message : outgoing)
        m_socket.send(message.ip, message.bytes);
}

void FleetLink::onProcessResumed() { m_socket.dropPending(); }

void FleetLink::receive(const std::string& from, const fleet::Message& message)
{
    const auto now = currentTime();
    if (const auto* digest = std::get_if<fleet::Digest>(&message)) {
        if (digest->ip == from)
            onNews(m_gossip.receive(*digest, now), now);
    } else if (const auto* summary = std::get_if<fleet::Summary>(&message)) {
        if (summary->ip == from)
            onNews(m_gossip.receive(*summary, now), now);
    } else if (const auto* request = std::get_if<fleet::FreshnessRequest>(&message)) {
        fleet::FreshnessReply reply { request->nonce, -1, m_mirror.changeRevision() };
        // The reply carries only this daemon's own proof, which is newer than those of other daemons.
        if (const auto proven = m_mirror.provenAt())
            reply.proofAgeMs = std::chrono::ceil<std::chrono::milliseconds>(now - *proven).count();
        m_socket.send(from, fleet::encode(reply));
    } else if (const auto* reply = std::get_if<fleet::FreshnessReply>(&message)) {
        onReply(*reply, now);
    } else {
        receiveOrigins(from, message, now);
    }
}

void FleetLink::receiveOrigins(const std::string& from, const fleet::Message& message, TimePoint now)
{
    if (const auto* list = std::get_if<fleet::StreamOriginList>(&message)) {
        m_directory.receive(*list, now);
    } else if (const auto* question = std::get_if<fleet::StreamQuestion>(&message)) {
        send(m_directory.receive(from, *question, now));
    } else if (const auto* answer = std::get_if<fleet::StreamAnswer>(&message)) {
        // Before the answer is passed on: what else it holds may decide where a stream began.
        if (!answer->soleVersions.empty())
            m_events.soleVersionsReceived(answer->soleVersions);
        if (!answer->departures.empty())
            m_events.departuresReceived(answer->departures);
        send(m_directory.receive(from, *answer, now));
    }
}

void FleetLink::onNews(const std::optional<fleet::Gossip::News>& news, TimePoint now)
{
    if (!news)
        return;
    checkForMissedChanges(news->ip, news->changeRevision, now);
    adoptProof(news->changeRevision, news->provenAt);
    if (!news->crashes.empty())
        m_events.crashRecordsReceived(news->crashes);
    if (!news->statements.empty())
        m_events.statementsReceived(news->statements);
}

void FleetLink::onReply(const fleet::FreshnessReply& reply, TimePoint now)
{
    const auto status = m_readerElection.receive(reply);
    if (!status)
        return;
    checkForMissedChanges(status->ip, status->changeRevision, now);
    adoptProof(status->changeRevision, status->provenAt);
}

void FleetLink::adoptProof(std::uint64_t changeRevision, std::optional<TimePoint> provenAt)
{
    // A proof is valid only for a mirror that holds every change that the sender had.
    const bool isUpToDate = m_mirror.completeRevision() >= changeRevision;
    if (!isUpToDate || !provenAt || (m_peerProvenAt && *provenAt <= *m_peerProvenAt))
        return;
    m_peerProvenAt = provenAt;
    m_mirror.confirmCurrent(*m_peerProvenAt);
}

void FleetLink::checkForMissedChanges(const std::string& ip, std::uint64_t changeRevision, TimePoint now)
{
    m_missedChanges.recordPeer(changeRevision, m_mirror.completeRevision(), now);
    const bool hasPeerMore = changeRevision > m_mirror.completeRevision();
    if (hasPeerMore && m_missedChanges.shouldFetch(m_wasReader, now))
        fetch(ip, m_mirror.completeRevision());
}

void FleetLink::logMissedChanges(TimePoint now)
{
    m_missedChanges.recordOwn(m_mirror.completeRevision());
    const auto behindSince = m_missedChanges.behindSince();
    if (behindSince && !m_loggedBehindSince && now - *behindSince > loggedTimeBehind) {
        m_loggedBehindSince = behindSince;
        telemetry::logWarning("mirror-behind",
            { { "store_revision", store::storeRevisionOf(m_mirror.completeRevision()) },
                { "behind_ms", toMilliseconds(now - *behindSince) }, { "reader", m_wasReader },
                { "elected", m_readerElection.isElected() }, { "store_failure", m_mirror.failure() } });
    } else if (!behindSince && m_loggedBehindSince) {
        telemetry::logInfo("mirror-caught-up",
            { { "store_revision", store::storeRevisionOf(m_mirror.completeRevision()) },
                { "behind_ms", toMilliseconds(now - *std::exchange(m_loggedBehindSince, std::nullopt)) } });
    }
}

void FleetLink::fetch(const std::string& ip, store::Revision since)
{
    if (std::exchange(m_isFetchingChanges, true))
        return;
    const bool mayCopy = since == 0 || m_missedChanges.needsCopy(currentTime());
    ++m_fetchCount;
    upstream::Call call;
    call.url = mirrorUrl(ip, since, mayCopy ? "" : noCopyParameter);
    call.timeout = fetchTimeout;
    call.connectTimeout = fetchTimeout;
    call.needsNewConnection = currentTime() < m_newConnectionsUntil;
    m_client.fetch(call, [this, ip](const upstream::CallResult& result, std::uint16_t status, const std::string& body) {
        m_isFetchingChanges = false;
        if (result.end == upstream::CallEnd::Complete && status == statusConflict)
            return;
        if (result.end != upstream::CallEnd::Complete || status != statusOk) {
            // What silenced one connection may have silenced those to the other daemons as well.
            if (result.end == upstream::CallEnd::TimedOut)
                m_newConnectionsUntil = currentTime() + newConnectionsPeriod;
            telemetry::logInfo("changes-not-fetched",
                { { "peer", ip }, { "status", static_cast<int>(status) }, { "detail", result.detail } });
            return;
        }
        const auto delta = store::decodeDelta(body);
        if (!delta) {
            telemetry::logWarning("changes-unreadable", { { "peer", ip }, { "detail", delta.error().what } });
            return;
        }
        takeDelta(ip, *delta);
    });
}

std::string FleetLink::mirrorUrl(const std::string& ip, store::Revision since, std::string_view parameters) const
{
    return "http://" + ip + ":" + std::to_string(m_settings.fleetPort) + std::string(changesTarget)
        + std::to_string(since) + std::string(parameters);
}

void FleetLink::fetchItem(const std::string& ip, const std::string& key, ItemReceiver receiver)
{
    upstream::Call call;
    call.url = mirrorUrl(ip, 0, std::string(keyParameter) + key);
    call.timeout = fetchTimeout;
    call.connectTimeout = fetchTimeout;
    m_client.fetch(call,
        [key, receiver = std::move(receiver)](
            const upstream::CallResult& result, std::uint16_t status, const std::string& body) {
            const bool isComplete = result.end == upstream::CallEnd::Complete && status == statusOk;
            auto delta = store::decodeDelta(isComplete ? body : std::string_view {});
            if (!delta) {
                receiver(std::nullopt);
                return;
            }
            std::erase_if(delta->items, [&](const auto& item) { return item.key != key; });
            receiver(std::move(delta->items));
        });
}

std::vector<std::string> FleetLink::knownIps(TimePoint now) const
{
    auto result = m_gossip.presentIps(now);
    for (auto& ip : seedIps(m_settings)) {
        if (ip != m_settings.ip && std::ranges::find(result, ip) == result.end())
            result.push_back(std::move(ip));
    }
    return result;
}

void FleetLink::takeDelta(const std::string& ip, const store::Delta& delta)
{
    const auto now = currentTime();
    const bool hasChanged = m_mirror.merge(delta, now);
    if (!delta.isFull && !delta.hasAllRemovals && now >= m_nextCopyAt) {
        m_nextCopyAt = now + copyInterval;
        fetch(ip, 0);
    }
    if (!hasChanged)
        return;
    // Messages with the new revision let other daemons that are behind fetch from here.
    m_gossip.expedite(now);
    m_events.mirrorChanged();
}

gateway::HttpResponse FleetLink::serve(const gateway::HttpRequest& request)
{
    const std::string_view target = request.target;
    if (!target.starts_with(changesTarget))
        return { 404, {}, "" };
    std::uint64_t since = 0;
    const auto digits = target.substr(changesTarget.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), since);
    if (parsed.ec != std::errc {} || !m_mirror.isComplete())
        return { 503, {}, "" };
    if (m_mirror.needsFullCopy(since) && target.ends_with(noCopyParameter))
        return { statusConflict, {}, "" };
    const auto now = currentTime();
    const auto key = target.find(keyParameter);
    auto delta
        = store::encode(key == std::string_view::npos ? m_mirror.changesSince(since, now)
                                                      : m_mirror.itemOf(target.substr(key + keyParameter.size())));
    // The requester retries, with this daemon or with another one that has the changes by then.
    if (!m_changesBudget.tryTake(delta.size(), now))
        return { 503, {}, "" };
    return { 200, { { "Content-Type", "application/cbor" } }, std::move(delta) };
}

void FleetLink::updateMembers(TimePoint now)
{
    m_readerElection.update(m_gossip.liveIps(now));
    const auto liveCount = m_gossip.liveCount(now);
    if (liveCount == m_liveCount || now < m_nextMembersLogAt)
        return;
    m_nextMembersLogAt = now + membersLogInterval;
    telemetry::logInfo("members-changed",
        { { "before", static_cast<std::uint64_t>(m_liveCount) }, { "heard", static_cast<std::uint64_t>(liveCount) },
            { "known", static_cast<std::uint64_t>(m_gossip.knownCount()) },
            { "aggregator", m_gossip.aggregation().aggregator() } });
    m_liveCount = liveCount;
}

}
