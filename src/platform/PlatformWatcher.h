#pragma once

#include "common/Time.h"
#include "config/Bundle.h"
#include "membership/HostList.h"
#include "upstream/CurlClient.h"
#include <functional>
#include <map>
#include <string>

namespace eelgrassford::platform {

/// @brief Watches the configuration service and the host list; read-only.
///
/// Each source is watched with long polls that carry the last known revision. Failed calls are retried with exponential
/// backoff and jitter.
class PlatformWatcher {
public:
    /// @brief Addresses of the sources and timing of the calls.
    struct Options {
        /// Base URL of the configuration service.
        std::string configurationUrl;
        /// URL of the host list.
        std::string hostListUrl;
        /// Time for which the service may hold a long poll open.
        Duration watchTimeout = std::chrono::seconds(20);
        /// Delay before the first retry, without jitter; doubles with each further failure.
        Duration initialBackoff = std::chrono::milliseconds(500);
        /// Upper bound of the delay, without jitter.
        Duration maxBackoff = std::chrono::seconds(10);
    };
    /// @brief Callbacks; called on the thread of the client.
    struct Events {
        /// A manifest was read. Returns whether its parts should be fetched.
        std::function<bool(const config::Manifest&)> isManifestWanted;
        /// All parts of a wanted manifest are present and match their hashes.
        std::function<void(const config::Manifest&, config::Configuration)> configurationRead;
        /// A host list was read.
        std::function<void(const membership::HostList&)> hostListRead;
        /// A call to a source failed or its response was invalid.
        std::function<void(const std::string& source, const std::string& detail)> failed;
    };
    /// Returns a random number from 0 to 1, for the jitter of retries.
    using RandomSource = std::function<double()>;

    PlatformWatcher(upstream::CurlClient& client, const Options& options, Events events, RandomSource random);

    /// @brief Starts the calls that are due.
    void tick(TimePoint now);
    /// @brief Sets whether this daemon watches the configuration service itself or receives changes from peers.
    void setConfigurationReader(bool isReader) { m_isReader = isReader; }
    /// @brief Raises the known revisions after a change was received from elsewhere, so that the next long poll waits
    /// for a newer one. A revision below the known one has no effect.
    void setKnownRevisions(std::uint64_t configuration, std::uint64_t hostList);

    /// @brief Number of calls started so far, long polls included.
    std::uint64_t callCount() const { return m_callCount; }
    /// @brief Parts of configurations by content hash.
    const std::map<std::string, std::string>& parts() const { return m_parts; }
    /// @brief Adds a part that was received from a peer.
    void addPart(const std::string& text);
    /// @brief Removes the parts that a manifest does not list.
    void removeUnlistedParts(const config::Manifest& manifest);

private:
    struct Source {
        /// A call is in progress.
        bool isWaiting = false;
        std::uint64_t knownRevision = 0;
        TimePoint nextCallAt {};
        /// Delay before the next retry, without jitter.
        Duration backoff {};
    };

    void watchManifest();
    void watchHostList();
    void fetchParts(const config::Manifest& manifest, std::size_t next);
    /// Handles the end of a long poll; returns whether it delivered a document.
    bool hasReceivedDocument(
        Source& source, const std::string& name, const upstream::CallResult& result, std::uint16_t status);
    /// Schedules a retry with backoff and reports the failure.
    void handleFailure(Source& source, const std::string& name, const std::string& detail);
    upstream::Call makeCall(const std::string& url) const;

    upstream::CurlClient& m_client;
    Options m_options;
    Events m_events;
    RandomSource m_random;
    bool m_isReader = true;
    Source m_manifest;
    Source m_hostList;
    std::uint64_t m_callCount = 0;
    TimePoint m_now {};
    std::map<std::string, std::string> m_parts;
};

}
