#pragma once

#include "common/Time.h"
#include "config/Bundle.h"
#include "membership/HostList.h"
#include "upstream/CurlClient.h"
#include <functional>
#include <map>
#include <string>

namespace eelgrassford::platform {

/// @brief Reads the configuration service and the host list, and writes neither.
///
/// Each source is watched with a long poll that names the last revision seen; failures back off with jitter.
class PlatformWatcher {
public:
    struct Options {
        std::string configurationUrl;
        std::string hostListUrl;
        /// Time that the service may hold a watch open.
        Duration watchTimeout = std::chrono::seconds(20);
        Duration initialBackoff = std::chrono::milliseconds(500);
        Duration maxBackoff = std::chrono::seconds(10);
    };
    struct Events {
        /// A manifest was read; asks whether its parts are wanted.
        std::function<bool(const config::Manifest&)> isManifestWanted;
        /// All parts of a wanted manifest were read and fit their hashes.
        std::function<void(const config::Manifest&, config::Configuration)> configurationRead;
        std::function<void(const membership::HostList&)> hostListRead;
        /// A source answered nothing usable.
        std::function<void(const std::string& source, const std::string& detail)> failed;
    };
    using RandomSource = std::function<double()>;

    PlatformWatcher(upstream::CurlClient& client, const Options& options, Events events, RandomSource random);

    /// @brief Starts due calls.
    void tick(TimePoint now);
    /// @brief Chooses whether this daemon watches the configuration service itself or hears of changes from peers.
    void setConfigurationReader(bool isReader) { m_isReader = isReader; }
    /// @brief Revisions known by other ways, so that a watch waits for something newer.
    void setKnownRevisions(std::uint64_t configuration, std::uint64_t hostList);

    std::uint64_t callCount() const { return m_callCount; }
    const std::map<std::string, std::string>& parts() const { return m_parts; }
    /// @brief Adds a part that a peer sent.
    void addPart(const std::string& text);
    /// @brief Forgets parts that a manifest does not name.
    void removeUnlistedParts(const config::Manifest& manifest);

private:
    struct Source {
        bool isWaiting = false;
        std::uint64_t known = 0;
        TimePoint nextAt {};
        Duration retry {};
    };

    void watchManifest();
    void watchHostList();
    void fetchParts(const config::Manifest& manifest, std::size_t next);
    /// Ends a watch; true if it brought a document.
    bool hasNews(Source& source, const std::string& name, const upstream::CallResult& result, std::uint16_t status);
    void fail(Source& source, const std::string& name, const std::string& detail);
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
