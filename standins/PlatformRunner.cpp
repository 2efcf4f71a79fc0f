#include "StandIns.h"

#include "daemon/SystemClock.h"
#include "gateway/HttpServer.h"
#include <algorithm>
#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace eelgrassford::standins {

namespace {

    using gateway::HttpRequest;
    using gateway::Responder;

    /// Responds with a single body or with a stream of events, and counts its runs by attempt id.
    class PlatformRunner : public std::enable_shared_from_this<PlatformRunner> {
    public:
        PlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options)
            : m_context(context)
            , m_options(options)
        {
            becomeCold();
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const std::string path(request.path());
            if (path == "/runs") {
                responder->respond({ 200, {}, nlohmann::json(m_runsByAttempt).dump() + "\n" });
                return;
            }
            if (path == "/fault") {
                m_fault = queryParameter(request.query(), "name");
                if (m_fault == "cold")
                    becomeCold();
                responder->respond({ 200, {}, "fault " + m_fault + "\n" });
                return;
            }
            if (path == "/refusals") {
                responder->respond({ 200, {}, std::to_string(m_refusals) + "\n" });
                return;
            }
            if (path == "/most-while-cold") {
                responder->respond({ 200, {}, std::to_string(m_mostWhileCold) + "\n" });
                return;
            }
            if (path == "/kv-list") {
                responder->respond({ 200, {}, nlohmann::json { { "epoch", 1 }, { "held", m_cached } }.dump() });
                return;
            }
            const std::string id(request.header("X-Attempt-Id").value_or(""));
            countArrival(request);
            if (request.header("X-Expect-Instance").value_or("") != m_options.name)
                responder->respond({ 421, { { "X-Attempt-Id", id }, { "X-Instance-Id", m_options.name } }, "" });
            else if (m_fault == "full" || m_fault == "paused")
                refuse(id, *responder);
            else
                run(id, request, responder);
        }

        /// Says in all responses that the runner leaves.
        void leave() { m_fault = "leaving"; }

    private:
        struct Stream {
            std::shared_ptr<Responder> responder;
            int nextEvent = 1;
            int lastEvent = 0;
            bool isReaderGone = false;
        };

        void becomeCold()
        {
            m_coldUntil = daemon::currentTime() + fromSeconds(m_options.coldSeconds);
            m_arrivals.clear();
        }

        Duration coldTimeLeft() const
        {
            return std::max<Duration>(m_coldUntil - daemon::currentTime(), Duration::zero());
        }

        /// Counts a request that arrives while the runner is cold. Those for other runners, refused with 421, do not
        /// count.
        void countArrival(const HttpRequest& request)
        {
            if (coldTimeLeft() == Duration::zero()
                || request.header("X-Expect-Instance").value_or("") != m_options.name)
                return;
            const auto now = daemon::currentTime();
            m_arrivals.push_back(now);
            while (now - m_arrivals.front() > std::chrono::seconds(1))
                m_arrivals.pop_front();
            m_mostWhileCold = std::max(m_mostWhileCold, m_arrivals.size());
        }

        void refuse(const std::string& id, Responder& responder)
        {
            ++m_refusals;
            gateway::Headers headers { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } };
            if (m_fault == "paused")
                headers.emplace_back("Retry-After", "3");
            responder.respond({ 503, headers, "" });
        }

        void run(const std::string& id, const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            ++m_runsByAttempt[id];
            appendToRunLog(id);
            cache(request.header("X-Prompt-Prefix").value_or(""));
            if (m_fault == "cut") {
                responder->abort();
                return;
            }
            gateway::Headers headers { { "X-Attempt-Id", id }, { "X-Response-Signature", "digest-of-" + id },
                { "Eelgrassford-Runner", m_options.name }, { "X-Server-Load", "1,0,8" } };
            if (m_options.coldSeconds > 0.0)
                headers.emplace_back("X-Cold-Ms", std::to_string(static_cast<int>(toMilliseconds(coldTimeLeft()))));
            if (m_fault == "limited")
                headers.emplace_back("Server-Limit", "1.0");
            if (m_fault == "leaving")
                headers.emplace_back("Server-Leaving", "1");
            if (request.path().find("/stream/") == std::string_view::npos) {
                runAfter(m_options.runSeconds, [responder, headers, text = request.target + " " + request.body + "\n"] {
                    responder->respond({ 200, headers, text });
                });
                return;
            }
            headers.emplace_back("Content-Type", "text/event-stream");
            auto stream = std::make_shared<Stream>();
            stream->responder = responder;
            stream->lastEvent = m_options.events;
            if (const auto lastReceived = request.header("Last-Event-Id"))
                stream->nextEvent = std::stoi(std::string(*lastReceived)) + 1;
            responder->onCallerDisconnected([stream] { stream->isReaderGone = true; });
            responder->begin(200, headers);
            writeNextEvent(stream);
        }

        /// Keeps the parts of a prompt, a list of ID:TOKENS.
        void cache(std::string_view prompt)
        {
            std::istringstream parts { std::string(prompt) };
            for (std::string part; std::getline(parts, part, ',');) {
                const auto colon = part.find(':');
                if (colon != std::string::npos)
                    m_cached.push_back({ "", part.substr(0, colon), std::stoul(part.substr(colon + 1)), "m" });
            }
        }

        void appendToRunLog(const std::string& id) const
        {
            if (m_options.runLog.empty())
                return;
            // Each line is a single write, so that several runners can append to the same file.
            std::ofstream file(m_options.runLog, std::ios::app);
            file << id + " " + m_options.name + " " + std::to_string(daemon::currentTime().time_since_epoch().count())
                    + "\n";
        }

        void writeNextEvent(const std::shared_ptr<Stream>& stream)
        {
            if (stream->isReaderGone)
                return;
            const bool isCut = m_fault == "cut" || m_fault == "cut-late";
            if (isCut && stream->nextEvent > stream->lastEvent / 2) {
                stream->responder->write("id: " + std::to_string(stream->nextEvent) + "\nda");
                stream->responder->abort();
                return;
            }
            if (stream->nextEvent > stream->lastEvent) {
                stream->responder->end();
                return;
            }
            const auto number = std::to_string(stream->nextEvent++);
            const auto version = m_options.version.empty() ? "" : "event: " + m_options.version + "\n";
            stream->responder->write("id: " + number + "\n" + version + "data: e" + number + "\n\n");
            runAfter(m_options.runSeconds, [self = shared_from_this(), stream] { self->writeNextEvent(stream); });
        }

        void runAfter(double seconds, std::function<void()> action)
        {
            auto timer = std::make_shared<asio::steady_timer>(m_context,
                std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds)));
            timer->async_wait([timer, action = std::move(action)](const asio::error_code&) { action(); });
        }

        asio::io_context& m_context;
        PlatformRunnerOptions m_options;
        std::map<std::string, int> m_runsByAttempt;
        /// Entries of the list of cached parts.
        nlohmann::json m_cached = nlohmann::json::array();
        std::string m_fault;
        int m_refusals = 0;
        TimePoint m_coldUntil {};
        /// Requests of the last second that arrived while it was cold, and the largest number of them.
        std::deque<TimePoint> m_arrivals;
        std::size_t m_mostWhileCold = 0;
    };

    /// Time for which a runner serves on after SIGTERM.
    constexpr auto leavingTime = std::chrono::seconds(3);

}

void runPlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options)
{
    const auto runner = std::make_shared<PlatformRunner>(context, options);
    asio::signal_set signals(context, SIGTERM);
    asio::steady_timer end(context);
    signals.async_wait([&](const asio::error_code& error, int) {
        if (error)
            return;
        runner->leave();
        end.expires_after(leavingTime);
        end.async_wait([&context](const asio::error_code&) { context.stop(); });
    });
    serve(context, options.ip, options.port,
        [runner](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            runner->handle(request, responder);
        });
}

}
