#pragma once

#include "dispatch/RelayPlan.h"
#include "proxy/Router.h"
#include "upstream/EventStreamParser.h"

namespace eelgrassford::proxy {

/// @brief Relays one admitted request, over one or more attempts, until the response is complete or has failed.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// @brief An admitted request with the route and organisation that it was admitted for.
    struct AdmittedRequest {
        gateway::HttpRequest request;
        RequestMetadata metadata;
        /// Keeps @a route alive.
        std::shared_ptr<const routing::RouteTable> routes;
        const routing::Route* route = nullptr;
        std::string service;
        std::string organisation;
        /// 0 is the most urgent.
        std::uint32_t priority = 0;
        /// The request itself, by its credential, host, target and body, and the parts of its prompt that other
        /// requests may share.
        std::vector<dispatch::CrashSuspect> suspects;
        TimePoint arrivedAt {};
        TimePoint deadline {};
    };

    Session(Router& router, AdmittedRequest admitted, std::shared_ptr<gateway::Responder> responder);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /// @brief Sends the first attempt.
    void start();
    /// @brief Whether the current attempt is at @a runner.
    bool isWaitingFor(std::string_view runner) const { return m_attempt && m_attempt->runner == runner; }
    /// @brief Sends the request to another runner if nothing of it has been written to its current one.
    void recall(std::string_view detail);
    /// @brief Reacts to a probe that found no way to the runner of the current attempt.
    /// @param isRefused the runner refused the connection: its process has ended
    void onRunnerUnreachable(bool isRefused);

private:
    /// The request at one runner.
    struct Attempt {
        explicit Attempt(std::size_t& bufferedResponseBytes)
            : bufferedBytes(bufferedResponseBytes)
        {
        }
        ~Attempt() { takeBody(); }
        Attempt(const Attempt&) = delete;
        Attempt& operator=(const Attempt&) = delete;

        std::string takeBody()
        {
            bufferedBytes -= body.size();
            return std::exchange(body, {});
        }

        std::string runner;
        /// Software of the runner, unknownSoftware if it may have restarted since it was listed.
        std::uint64_t software = runners::unknownSoftware;
        /// Another daemon handles the request; its address stands in place of the runner.
        bool isPassedOn = false;
        upstream::ConnectionPool::Handle handle;
        http::MessageHead head;
        ResponseMetadata metadata;
        bool hasHead = false;
        /// The response is a successful event stream with a digest, relayed event by event.
        bool isStreaming = false;
        /// The silence of the runner was already reported to the registry.
        bool isSilenceReported = false;
        /// Time from which it is looked again whether another runner can go on; there was none.
        TimePoint nextAlternativeAt {};
        /// Body received so far, if the response is not relayed as a stream; counted in bufferedBytes.
        std::string body;
        /// Bytes that the bodies of all attempts hold.
        std::size_t& bufferedBytes;
        upstream::EventStreamParser events;
        std::uint64_t eventCount = 0;
        /// Events from which the runner is known to be able to answer a prompt. A runner that crashes on a part of a
        /// prompt does so as it begins to answer.
        static constexpr std::uint64_t minEventsOfAnswer = 2;
        bool hasBegunAnswer() const { return eventCount >= minEventsOfAnswer; }
        /// Set if its runner was chosen by work.
        std::optional<AttemptWork> work;
        TimePoint sentAt {};
        /// Time at which the request was sent, its response began or an event last arrived whole. Other bytes are no
        /// progress: a runner may send some now and then without ever completing an event.
        TimePoint lastProgressAt {};
    };

    /// Key of the stream that an attempt of this organisation began.
    dispatch::StreamKey streamOf(std::string_view attempt) const;
    /// Finds out which software began the stream that the request continues, and sends it there.
    void continueStream();
    /// The same if no daemon knows the stream.
    void continueUntold();
    /// The same once the listing of the runners is proven to be current.
    void continueDerived();
    /// The software that began every stream of the route; empty if there may be several.
    std::optional<std::uint64_t> deriveSoftware() const;
    /// Whether the caches of the runners may tell where the stream began. Without its name a stream is continued only
    /// if all of its route began at one version.
    bool hasNamedPrompt() const;
    /// Sends the request to a runner of the software that began its stream.
    /// @param software empty if it is not known
    /// @param evidence how it is known, or why not, for the log
    void continueAt(std::optional<std::uint64_t> software, std::string_view evidence);
    /// Records which software sends the events that the caller gets.
    void recordOrigin(TimePoint now);
    /// Software that answers the current attempt; unknownSoftware if its runner may have restarted.
    std::uint64_t softwareOfAttempt(TimePoint now) const;
    /// What the cost of the request depends on.
    WorkRequest workRequest() const;
    /// Places the request and sends it to the chosen runner.
    void send();
    /// Passes the request on to another daemon, which handles it like one of a caller.
    /// @return whether one was chosen
    bool tryPassOn();
    /// Whether the request may be passed on to another daemon.
    bool mayPassOn() const;
    /// Begins an attempt at a runner, or at another daemon by its address.
    void beginAttempt(const std::string& target, TimePoint now);
    /// Starts an exchange as the current attempt.
    void startExchange(upstream::ConnectionPool& pool, std::string bytes);
    /// Start line and headers of the request as HTTP/1.1 bytes, with other headers.
    std::string encode(const gateway::Headers& headers) const;
    /// Decides what follows when no runner can take the request now.
    void onNoRunner(TimePoint now);
    /// Waits for the runner that may take the request first, if that is soon.
    bool tryWaitForRunner(TimePoint now);
    /// Start line and headers of the request as HTTP/1.1 bytes for a runner.
    std::string encode(const runners::Runner& runner, const runners::Placement& placement, TimePoint now) const;
    void onHead(http::MessageHead& head);
    /// Whether the body of a response is relayed event by event.
    bool isStream(const http::MessageHead& head, const ResponseMetadata& metadata) const;
    void startResponse();
    /// Records what the response of the current attempt says of its runner: a limit of its request rate, that it asks
    /// for a pause, that it leaves.
    void recordStatements(runners::Runner& runner) const;
    void onBytes(std::string_view bytes);
    /// Gives up the current attempt because of what its runner sent.
    void failMalformed(std::string_view detail);
    bool hasRoomFor(std::size_t bytes) const;
    void onEnded(const upstream::ExchangeResult& result);
    /// Relays the events that have arrived; false if the stream holds something else.
    bool relayEvents();
    /// What may have caused the crash of the current attempt's runner, if it crashed.
    std::vector<dispatch::CrashSuspect> crashSuspects() const;
    void relayWhole();
    void finishStream();
    /// Records that the first byte of the response goes to the caller.
    void recordFirstByte(TimePoint now);
    /// Ends a failed attempt and carries out what the relay plan decides.
    void fail(dispatch::AttemptFailure failure, runners::Observation observation, std::string_view detail);
    /// Reports the result of the current attempt to the registry and releases it.
    void endAttempt(runners::Observation observation, TimePoint now);
    void execute(dispatch::RelayStep step, std::string_view detail);
    void armTimer();
    void onTimer();
    /// Whether another runner, or another daemon, can go on with the request now.
    bool hasAlternative(TimePoint now);
    /// Gives up the current attempt, and sends the request elsewhere, if that is allowed and somebody else can go on.
    /// @param observation what it says of the runner
    bool tryAbandonAttempt(runners::Observation observation, std::string_view detail, TimePoint now);
    /// Whether the current attempt has timed out with enough time left for another one.
    bool shouldTryElsewhere(TimePoint now) const;
    /// Reports the silence of the current runner to the registry, which may suspend it.
    void reportSilence(TimePoint now);
    /// Time at which the current attempt times out, or at which another runner is looked for again.
    std::optional<TimePoint> attemptTimeoutAt() const;
    void onCallerDisconnected();
    /// Answers that the request was not run and never will be, so that the caller may repeat it.
    void answerNotRun(std::string_view detail);
    /// Time after which a caller may come back whose request no runner can take before a known time.
    Duration retryAfterAvailable(TimePoint now) const;
    /// Answers that the request may have been run.
    void answerOutcomeUnknown(std::uint16_t status, std::string_view detail);
    /// Records the outcome in metrics and log; further calls have no effect.
    void finish(std::string_view outcome, std::uint16_t status, std::string_view detail);
    void log(std::string_view outcome, std::uint16_t status, std::string_view detail, TimePoint now) const;
    /// A function that takes one retry from the budget of the service.
    dispatch::RelayPlan::Budget retryBudget(TimePoint now);

    Router& m_router;
    /// Outlives the attempt, which is counted in it.
    std::shared_ptr<Router::RequestsInFlight> m_inFlight;
    AdmittedRequest m_admitted;
    std::shared_ptr<gateway::Responder> m_responder;
    dispatch::RelayPlan m_plan;
    PromptAffinity m_affinity;
    asio::steady_timer m_timer;
    std::unique_ptr<Attempt> m_attempt;
    /// Runners that this request must not be sent to again.
    std::vector<std::string> m_excludedRunners;
    runners::Placement m_placement;
    std::string m_lastRunner;
    /// Software version of that runner.
    std::string m_lastVersion;
    /// Software that began the stream, once that is known. The stream goes on at no other.
    std::optional<std::uint64_t> m_software;
    /// How it is known which software began a stream that the request continues; empty for other requests.
    std::string_view m_originEvidence;
    bool m_isOriginRecorded = false;
    /// A runner could not be reached, so that another daemon may serve the request.
    bool m_hasFailedToConnect = false;
    int m_daemonsTried = 0;
    /// Set while the request waits until a runner may take it: time of the next try, and of the last.
    std::optional<TimePoint> m_nextTryAt;
    std::optional<TimePoint> m_lastTryAt;
    /// Id of the last event that the caller has; 0 without one.
    std::uint64_t m_lastEvent = 0;
    bool m_hasResponseStarted = false;
    /// Status and content type of the response that has started. The response of a later attempt continues it only if
    /// it has the same.
    std::uint16_t m_responseStatus = 0;
    std::string m_responseType;
    bool m_isFinished = false;
    std::optional<TimePoint> m_firstByteAt;
};

}
