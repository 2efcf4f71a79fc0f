#pragma once

#include "dispatch/RelayPlan.h"
#include "proxy/Router.h"
#include "upstream/EventStream.h"

namespace eelgrassford::proxy {

/// @brief One relayed request, from its admission to its final answer.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// @brief What is known of the request when it is admitted.
    struct Start {
        gateway::HttpRequest request;
        RequestMetadata facts;
        std::shared_ptr<const routing::RouteTable> routes;
        const routing::Route* route = nullptr;
        std::string service;
        std::string organisation;
        std::uint32_t priority = 0;
        /// Digest of caller, target and body, equal on every daemon.
        dispatch::RequestDigest digest = 0;
        TimePoint arrivedAt {};
        TimePoint deadline {};
    };

    Session(Router& router, Start start, std::shared_ptr<gateway::Responder> responder);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void run();
    bool isWaitingFor(std::string_view runner) const { return m_attempt && m_attempt->runner == runner; }
    /// @brief The runner of the present attempt cannot be reached any more.
    void onRunnerDead();

private:
    /// One request at one runner.
    struct Attempt {
        std::string runner;
        upstream::ConnectionPool::Handle handle;
        http::MessageHead head;
        ResponseMetadata facts;
        bool hasHead = false;
        /// The response is a sound stream whose events are relayed.
        bool isStreaming = false;
        /// Its silence was held against the runner.
        bool isBlamed = false;
        std::string body;
        upstream::EventStream events;
        TimePoint sentAt {};
        TimePoint progressAt {};
    };

    void send();
    std::string encode(const runners::Runner& runner, const runners::Placement& placement, TimePoint now) const;
    void onHead(http::MessageHead& head);
    void onBytes(std::string_view bytes);
    void onEnded(const upstream::ExchangeResult& result);
    void relayEvents();
    void relayWhole();
    void finishStream();
    /// The first byte of the answer goes to the caller.
    void noteFirstByte(TimePoint now);
    void fail(dispatch::AttemptFailure failure, runners::Observation observation, std::string_view detail);
    void endAttempt(runners::Observation observation, TimePoint now);
    void follow(dispatch::RelayStep step, std::string_view detail);
    void armTimer();
    void onTimer();
    bool isDueElsewhere(TimePoint now) const;
    void blame(TimePoint now);
    std::optional<TimePoint> patienceEnd() const;
    void onCallerGone();
    void answerNotRun(std::string_view detail);
    void answerUnknown(std::uint16_t status, std::string_view detail);
    void finish(std::string_view outcome, std::uint16_t status, std::string_view detail);
    void log(std::string_view outcome, std::uint16_t status, std::string_view detail, TimePoint now) const;
    dispatch::RelayPlan::Budget budget(TimePoint now);

    Router& m_router;
    Start m_start;
    std::shared_ptr<gateway::Responder> m_responder;
    dispatch::RelayPlan m_plan;
    PromptAffinity m_affinity;
    asio::steady_timer m_timer;
    std::unique_ptr<Attempt> m_attempt;
    std::vector<std::string> m_excluded;
    runners::Placement m_placement;
    std::string m_lastRunner;
    std::uint64_t m_lastEvent = 0;
    bool m_hasBegun = false;
    bool m_isFinished = false;
    std::optional<TimePoint> m_firstByteAt;
};

}
