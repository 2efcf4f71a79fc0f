#pragma once

#include "proxy/CacheSurvey.h"
#include "runners/Departures.h"
#include "runners/Registry.h"
#include "runners/VersionHistory.h"
#include "upstream/ConnectionPool.h"
#include <asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Asks the runners of services for their caches, to find out which software began streams that no daemon knows.
/// Not safe to share between threads.
class CacheQueries {
public:
    using Clock = std::function<TimePoint()>;
    /// Returns the connections to a runner.
    using Pools = std::function<upstream::ConnectionPool&(const runners::Runner& runner)>;

    /// All references must outlive the object.
    CacheQueries(asio::io_context& context, const Codec& codec, runners::Registry& registry,
        const runners::VersionHistory& versions, Pools pools, Clock clock);
    ~CacheQueries();
    CacheQueries(const CacheQueries&) = delete;
    CacheQueries& operator=(const CacheQueries&) = delete;

    /// Names of services.
    using Services = std::vector<std::string>;

    /// @brief Finds the software that read the last part of a prompt, among those of some services.
    /// @param finder called later, or at once, with the software; without it if that cannot be told in time
    void find(const Services& services, const PromptPart& lastPart, CacheSurvey::Finder finder);
    /// @brief Records that a runner leaves the listing, or is replaced by another lifetime of it. It may have begun
    /// streams, and cannot be asked any more.
    void onRunnerRemoved(const runners::Runner& runner);
    /// @brief Takes into account that the listing of the runners has changed.
    void onRunnersChanged();
    /// @brief Takes from another daemon which runners left before this one started.
    void adoptDepartures(std::span<const runners::Departure> departures);
    /// @brief The runners that left lately, to be told to other daemons.
    std::vector<runners::Departure> departures();

private:
    /// The survey of some services and the queries that were sent for it.
    struct Scope {
        CacheSurvey survey;
        std::vector<upstream::ConnectionPool::Handle> queries;
        TimePoint begunAt {};
        std::size_t asked = 0;
        std::size_t concluded = 0;
    };

    void advance(const Services& services);
    void updateCandidates(const Services& services, CacheSurvey& survey, TimePoint now);
    void query(const Services& services, const std::string& runner);
    void onAnswer(const Services& services, const std::string& runner, std::uint64_t identity, const std::string& body);
    void finish(const Services& services, Scope& scope, TimePoint now);
    void checkAll();
    void armTimer();

    const Codec& m_codec;
    runners::Registry& m_registry;
    const runners::VersionHistory& m_versions;
    Pools m_pools;
    Clock m_clock;
    std::map<Services, Scope> m_scopes;
    runners::Departures m_departures;
    asio::steady_timer m_timer;
    bool m_isTimerArmed = false;
    /// Queries and timers may end after this object.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
