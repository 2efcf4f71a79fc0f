#include "edge/FleetLink.h"

#include "daemon/SystemClock.h"
#include "store/DeltaCodec.h"
#include "telemetry/DecisionLog.h"
#include <charconv>

namespace eelgrassford::edge {

using daemon::currentTime;

namespace {

    constexpr std::string_view changesTarget = "/mirror?since=";
    constexpr Duration fetchTimeout = std::chrono::milliseconds(700);
    /// Time behind the others after which a daemon asks the store itself.
    constexpr Duration longestBehind = std::chrono::milliseconds(1000);
    /// Part of the link that serves changes to other daemons.
    constexpr double servedShare = 0.125;
    constexpr double bytesPerMegabit = 125000.0;

    /// IP addresses of the seeds; their ports belong to another interface.
    std::vector<std::string> seedIps(const RelaySettings& settings)
    {
        std::vector<std::string> result;
        for (const auto& seed : settings.seeds) {
            if (const auto address = Address::parse(seed))
                result.push_back(address->ip);
        }
        return result;
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
    store::Mirror& mirror, upstream::CurlClient& client, Events events)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_mirror(mirror)
    , m_client(client)
    , m_events(std::move(events))
    , m_members(settings.ip, incarnation)
    , m_readership(settings.ip, incarnation)
    , m_socket(context, settings.ip, settings.fleetPort,
          [this](const std::string& from, const fleet::Message& message) { receive(from, message); })
    , m_server(context, serverOptions(settings),
          [this](const gateway::HttpRequest& request, const std::shared_ptr<gateway::Responder>& responder) {
              responder->respond(serve(request));
          })
    , m_served(settings.linkMegabits * bytesPerMegabit * servedShare, currentTime())
{
    addSeeds(settings, currentTime());
}

void FleetLink::addSeeds(const RelaySettings& settings, TimePoint now) { m_members.addSeeds(seedIps(settings), now); }

void FleetLink::tick(TimePoint now)
{
    noteMembers(now);
    tell(now, false);
    if (const auto question = m_readership.nextRequest(now))
        m_socket.send(question->ip, fleet::encode(question->request));
    const bool isReading = isReader(now);
    m_mirror.setReading(isReading);
    if (isReading == m_wasReader)
        return;
    m_wasReader = isReading;
    telemetry::logInfo("readership-changed",
        { { "reader", isReading }, { "elected", m_readership.isElected() },
            { "heard", static_cast<std::uint64_t>(m_heard) }, { "behind", m_behindSince.has_value() } });
}

bool FleetLink::isReader(TimePoint now) const
{
    const bool isLeftBehind = m_behindSince && now - *m_behindSince > longestBehind;
    return isLeftBehind || !m_mirror.isComplete() || m_readership.isReader(provenAt(), now);
}

std::optional<TimePoint> FleetLink::provenAt() const
{
    const auto own = m_mirror.provenAt();
    if (!own || (m_vouchedAt && *m_vouchedAt > *own))
        return m_vouchedAt;
    return own;
}

void FleetLink::setStates(std::vector<fleet::RunnerState> states, std::vector<dispatch::CrashRecord> crashes)
{
    m_states = std::move(states);
    m_crashes = std::move(crashes);
}

void FleetLink::announce(TimePoint now)
{
    m_members.expediteDigests(now);
    tell(now, false);
}

void FleetLink::leave(TimePoint now)
{
    m_members.expediteDigests(now);
    tell(now, true);
}

void FleetLink::wakeUp() { m_socket.dropPending(); }

void FleetLink::receive(const std::string& from, const fleet::Message& message)
{
    const auto now = currentTime();
    if (const auto* digest = std::get_if<fleet::Digest>(&message)) {
        if (digest->ip == from)
            onDigest(*digest, now);
    } else if (const auto* request = std::get_if<fleet::FreshnessRequest>(&message)) {
        fleet::FreshnessReply reply { request->nonce, -1, m_mirror.changeRevision() };
        // Only an own proof is vouched for, so that daemons never vouch for each other in a circle.
        if (const auto proven = m_mirror.provenAt())
            reply.proofAgeMs = std::chrono::ceil<std::chrono::milliseconds>(now - *proven).count();
        m_socket.send(from, fleet::encode(reply));
    } else if (const auto* reply = std::get_if<fleet::FreshnessReply>(&message)) {
        onReply(*reply, now);
    }
}

void FleetLink::onDigest(const fleet::Digest& digest, TimePoint now)
{
    if (digest.region != m_settings.region || !m_members.receive(digest, now))
        return;
    noteBehind(digest.ip, digest.changeRevision, now);
    if (!digest.crashes.empty())
        m_events.crashesLearned(digest.crashes);
}

void FleetLink::onReply(const fleet::FreshnessReply& reply, TimePoint now)
{
    const auto answer = m_readership.receive(reply);
    if (!answer)
        return;
    noteBehind(answer->ip, answer->changeRevision, now);
    // A proof counts only for a copy that has everything the other one had.
    const bool isUpToDate = m_mirror.completeRevision() >= answer->changeRevision;
    if (!isUpToDate || !answer->provenAt || (m_vouchedAt && *answer->provenAt <= *m_vouchedAt))
        return;
    m_vouchedAt = answer->provenAt;
    m_mirror.confirmCurrent(*m_vouchedAt);
}

void FleetLink::noteBehind(const std::string& ip, std::uint64_t changeRevision, TimePoint now)
{
    if (m_mirror.completeRevision() >= changeRevision) {
        m_behindSince.reset();
        return;
    }
    // A daemon that reads hears of the change from the store itself.
    if (m_wasReader)
        return;
    if (!m_behindSince)
        m_behindSince = now;
    fetch(ip);
}

void FleetLink::fetch(const std::string& ip)
{
    if (std::exchange(m_isFetching, true))
        return;
    ++m_fetches;
    upstream::Call call;
    call.url = "http://" + ip + ":" + std::to_string(m_settings.fleetPort) + std::string(changesTarget)
        + std::to_string(m_mirror.isComplete() ? m_mirror.completeRevision() : 0);
    call.timeout = fetchTimeout;
    call.connectTimeout = fetchTimeout;
    m_client.fetch(call, [this, ip](const upstream::CallResult& result, std::uint16_t status, const std::string& body) {
        constexpr std::uint16_t statusOk = 200;
        m_isFetching = false;
        if (result.end != upstream::CallEnd::Complete || status != statusOk) {
            telemetry::logInfo("changes-not-fetched",
                { { "peer", ip }, { "status", static_cast<int>(status) }, { "detail", result.detail } });
            return;
        }
        const auto delta = store::decodeDelta(body);
        if (!delta) {
            telemetry::logWarning("changes-unreadable", { { "peer", ip }, { "detail", delta.error().what } });
            return;
        }
        m_behindSince.reset();
        if (!m_mirror.merge(*delta, currentTime()))
            return;
        // Others that are behind may fetch from here as well.
        m_members.expediteDigests(currentTime());
        m_events.mirrorChanged();
    });
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
    const auto now = currentTime();
    auto delta = store::encode(m_mirror.changesSince(since, now));
    // The asker comes again, to this daemon or to another one that has the changes by then.
    if (!m_served.tryTake(delta.size(), now))
        return { 503, {}, "" };
    return { 200, { { "Content-Type", "application/cbor" } }, std::move(delta) };
}

void FleetLink::tell(TimePoint now, bool isLeaving)
{
    const auto due = m_members.takeDue(now);
    if (due.empty())
        return;
    fleet::Digest digest;
    digest.incarnation = m_incarnation;
    digest.sequence = ++m_sequence;
    digest.ip = m_settings.ip;
    digest.region = m_settings.region;
    digest.changeRevision = m_mirror.changeRevision();
    digest.members = m_members.sampleMembers();
    digest.runners = m_states;
    digest.crashes = m_crashes;
    digest.isLeaving = isLeaving;
    const auto bytes = fleet::encode(digest);
    for (const auto& ip : due)
        m_socket.send(ip, bytes);
}

void FleetLink::noteMembers(TimePoint now)
{
    const auto heard = m_members.liveIps(now);
    m_readership.update(heard);
    if (heard.size() == m_heard)
        return;
    telemetry::logInfo("members-changed",
        { { "before", static_cast<std::uint64_t>(m_heard) }, { "heard", static_cast<std::uint64_t>(heard.size()) },
            { "known", static_cast<std::uint64_t>(m_members.knownCount()) } });
    m_heard = heard.size();
}

}
