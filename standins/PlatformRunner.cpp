#include "StandIns.h"

#include "daemon/SystemClock.h"
#include "gateway/HttpServer.h"
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace eelgrassford::standins {

namespace {

    using gateway::HttpRequest;
    using gateway::Responder;

    /// A runner of the users' platform: answers whole or by events, counts its runs by request id.
    class PlatformRunner : public std::enable_shared_from_this<PlatformRunner> {
    public:
        PlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options)
            : m_context(context)
            , m_options(options)
        {
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const std::string path(request.path());
            if (path == "/runs") {
                responder->respond({ 200, {}, nlohmann::json(m_runs).dump() + "\n" });
                return;
            }
            if (path == "/fault") {
                m_fault = queryParameter(request.query(), "name");
                responder->respond({ 200, {}, "fault " + m_fault + "\n" });
                return;
            }
            const std::string id(request.header("X-Attempt-Id").value_or(""));
            if (request.header("X-Expect-Instance").value_or("") != m_options.name)
                responder->respond({ 421, { { "X-Attempt-Id", id }, { "X-Instance-Id", m_options.name } }, "" });
            else if (m_fault == "full")
                responder->respond({ 503, { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } }, "" });
            else
                run(id, request, responder);
        }

    private:
        struct Stream {
            std::shared_ptr<Responder> responder;
            int next = 1;
            int last = 0;
            bool isGone = false;
        };

        void run(const std::string& id, const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            ++m_runs[id];
            appendToLog(id);
            if (m_fault == "cut") {
                responder->abort();
                return;
            }
            gateway::Headers headers { { "X-Attempt-Id", id }, { "X-Response-Signature", "digest-of-" + id },
                { "Eelgrassford-Runner", m_options.name }, { "X-Server-Load", "1,0,8" } };
            if (request.path().find("/stream/") == std::string_view::npos) {
                after(m_options.runSeconds, [responder, headers, text = request.target + " " + request.body + "\n"] {
                    responder->respond({ 200, headers, text });
                });
                return;
            }
            headers.emplace_back("Content-Type", "text/event-stream");
            auto stream = std::make_shared<Stream>();
            stream->responder = responder;
            stream->last = m_options.events;
            if (const auto last = request.header("Last-Event-Id"))
                stream->next = std::stoi(std::string(*last)) + 1;
            responder->onCallerDisconnected([stream] { stream->isGone = true; });
            responder->begin(200, headers);
            step(stream);
        }

        void appendToLog(const std::string& id) const
        {
            if (m_options.runLog.empty())
                return;
            // One line a write, so that runners may share the file.
            std::ofstream file(m_options.runLog, std::ios::app);
            file << id + " " + m_options.name + " " + std::to_string(daemon::currentTime().time_since_epoch().count())
                    + "\n";
        }

        void step(const std::shared_ptr<Stream>& stream)
        {
            if (stream->isGone)
                return;
            if (m_fault == "cut" && stream->next > stream->last / 2) {
                stream->responder->write("id: " + std::to_string(stream->next) + "\nda");
                stream->responder->abort();
                return;
            }
            if (stream->next > stream->last) {
                stream->responder->end();
                return;
            }
            const auto number = std::to_string(stream->next++);
            stream->responder->write("id: " + number + "\ndata: e" + number + "\n\n");
            after(m_options.runSeconds, [self = shared_from_this(), stream] { self->step(stream); });
        }

        void after(double seconds, std::function<void()> action)
        {
            auto timer = std::make_shared<asio::steady_timer>(m_context,
                std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds)));
            timer->async_wait([timer, action = std::move(action)](const asio::error_code&) { action(); });
        }

        asio::io_context& m_context;
        PlatformRunnerOptions m_options;
        std::map<std::string, int> m_runs;
        std::string m_fault;
    };

}

void runPlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options)
{
    const auto runner = std::make_shared<PlatformRunner>(context, options);
    serve(context, options.ip, options.port,
        [runner](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            runner->handle(request, responder);
        });
}

}
