#include "platform/PlatformWatcher.h"

#include "common/Hash.h"
#include <algorithm>
#include <set>

namespace eelgrassford::platform {

namespace {

    constexpr std::uint16_t okStatus = 200;
    constexpr std::uint16_t notModifiedStatus = 304;

}

PlatformWatcher::PlatformWatcher(
    upstream::CurlClient& client, const Options& options, Events events, RandomSource random)
    : m_client(client)
    , m_options(options)
    , m_events(std::move(events))
    , m_random(std::move(random))
{
    m_manifest.backoff = m_options.initialBackoff;
    m_hostList.backoff = m_options.initialBackoff;
}

void PlatformWatcher::tick(TimePoint now)
{
    m_now = now;
    if (m_isReader && !m_manifest.isWaiting && now >= m_manifest.nextCallAt)
        watchManifest();
    if (!m_hostList.isWaiting && now >= m_hostList.nextCallAt)
        watchHostList();
}

void PlatformWatcher::setKnownRevisions(std::uint64_t configuration, std::uint64_t hostList)
{
    m_manifest.knownRevision = std::max(m_manifest.knownRevision, configuration);
    m_hostList.knownRevision = std::max(m_hostList.knownRevision, hostList);
}

void PlatformWatcher::addPart(const std::string& text) { m_parts[contentHash(text)] = text; }

void PlatformWatcher::removeUnlistedParts(const config::Manifest& manifest)
{
    const std::set<std::string> listedHashes(manifest.parts.begin(), manifest.parts.end());
    std::erase_if(m_parts, [&](const auto& item) { return !listedHashes.contains(item.first); });
}

void PlatformWatcher::watchManifest()
{
    m_manifest.isWaiting = true;
    ++m_callCount;
    const auto url = m_options.configurationUrl + "/manifest?after=" + std::to_string(m_manifest.knownRevision);
    m_client.fetch(makeCall(url), [this](const auto& result, std::uint16_t status, const std::string& body) {
        if (!hasReceivedDocument(m_manifest, "configuration", result, status))
            return;
        const auto manifest = config::parseManifest(body);
        if (!manifest) {
            handleFailure(m_manifest, "configuration", manifest.error().message());
            return;
        }
        m_manifest.backoff = m_options.initialBackoff;
        if (m_events.isManifestWanted(*manifest)) {
            m_manifest.isWaiting = true;
            fetchParts(*manifest, 0);
            return;
        }
        // The service may return the known manifest without waiting; the delay prevents a tight loop of calls.
        m_manifest.nextCallAt = m_now + m_options.initialBackoff;
    });
}

void PlatformWatcher::fetchParts(const config::Manifest& manifest, std::size_t next)
{
    while (next < manifest.parts.size() && m_parts.contains(manifest.parts[next]))
        ++next;
    if (next == manifest.parts.size()) {
        m_manifest.isWaiting = false;
        auto configuration = config::assemble(manifest, [this](const std::string& hash) -> std::optional<std::string> {
            const auto found = m_parts.find(hash);
            return found == m_parts.end() ? std::nullopt : std::optional(found->second);
        });
        if (configuration)
            m_events.configurationRead(manifest, std::move(*configuration));
        else
            handleFailure(m_manifest, "configuration", configuration.error().message());
        return;
    }
    ++m_callCount;
    const auto url = m_options.configurationUrl + "/parts/" + manifest.parts[next];
    m_client.fetch(
        makeCall(url), [this, manifest, next](const auto& result, std::uint16_t status, const std::string& body) {
            const auto& hash = manifest.parts[next];
            if (result.end == upstream::CallEnd::Complete && status == okStatus && contentHash(body) == hash) {
                m_parts[hash] = body;
                fetchParts(manifest, next + 1);
                return;
            }
            m_manifest.isWaiting = false;
            handleFailure(m_manifest, "configuration", "part " + hash + " is missing or does not match its hash");
        });
}

void PlatformWatcher::watchHostList()
{
    m_hostList.isWaiting = true;
    ++m_callCount;
    const auto url = m_options.hostListUrl + "?after=" + std::to_string(m_hostList.knownRevision);
    m_client.fetch(makeCall(url), [this](const auto& result, std::uint16_t status, const std::string& body) {
        if (!hasReceivedDocument(m_hostList, "host-list", result, status))
            return;
        const auto list = membership::parseHostList(body);
        if (!list) {
            handleFailure(m_hostList, "host-list", list.error().message());
            return;
        }
        m_hostList.backoff = m_options.initialBackoff;
        if (list->revision <= m_hostList.knownRevision)
            m_hostList.nextCallAt = m_now + m_options.initialBackoff;
        m_hostList.knownRevision = std::max(m_hostList.knownRevision, list->revision);
        m_events.hostListRead(*list);
    });
}

bool PlatformWatcher::hasReceivedDocument(
    Source& source, const std::string& name, const upstream::CallResult& result, std::uint16_t status)
{
    source.isWaiting = false;
    source.nextCallAt = m_now;
    const bool isComplete = result.end == upstream::CallEnd::Complete;
    if (isComplete && status == notModifiedStatus)
        source.backoff = m_options.initialBackoff;
    else if (!isComplete || status != okStatus)
        handleFailure(source, name, result.detail + ", status " + std::to_string(status));
    return isComplete && status == okStatus;
}

void PlatformWatcher::handleFailure(Source& source, const std::string& name, const std::string& detail)
{
    source.nextCallAt = m_now + fromSeconds(toSeconds(source.backoff) * (0.5 + m_random()));
    source.backoff = std::min(2 * source.backoff, m_options.maxBackoff);
    m_events.failed(name, detail);
}

upstream::Call PlatformWatcher::makeCall(const std::string& url) const
{
    upstream::Call call;
    call.url = url;
    call.timeout = m_options.watchTimeout + std::chrono::seconds(5);
    call.headers = { { "Prefer", "wait=" + std::to_string(static_cast<int>(toSeconds(m_options.watchTimeout))) } };
    return call;
}

}
