#include "StandIns.h"

#include <map>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace eelgrassford::standins {

namespace {

    using gateway::HttpRequest;
    using gateway::Responder;
    using Json = nlohmann::json;

    constexpr const char* callIdHeader = "Eelgrassford-Call-Id";

    class ApplicationRunner : public std::enable_shared_from_this<ApplicationRunner> {
    public:
        ApplicationRunner(asio::io_context& context, const ApplicationRunnerOptions& options)
            : m_context(context)
            , m_options(options)
        {
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const auto path = request.path();
            if (path == "/v1/load") {
                responder->respond(jsonResponse(request, 200,
                    { { "running", m_inFlight }, { "age_ms", 0 }, { "instance", std::to_string(::getpid()) } }));
            } else if (path == "/runs") {
                responder->respond(jsonResponse(request, 200, { { "total", m_runCount }, { "keys", m_runsByKey } }));
            } else if (path == "/fault") {
                m_fault = queryParameter(request.query(), "name");
                responder->respond(jsonResponse(request, 200, { { "fault", m_fault } }));
            } else {
                run(request, responder);
            }
        }

    private:
        static gateway::HttpResponse jsonResponse(const HttpRequest& request, std::uint16_t status, const Json& body)
        {
            return { status,
                { { "Content-Type", "application/json" },
                    { callIdHeader, std::string(request.header(callIdHeader).value_or("")) } },
                body.dump() };
        }

        void run(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            if (request.method != "GET") {
                ++m_runCount;
                ++m_runsByKey[std::string(request.header("Idempotency-Key").value_or(request.body))];
            }
            if (m_fault == "close-after-read") {
                responder->abort();
                return;
            }
            ++m_inFlight;
            auto response = jsonResponse(request, request.method == "GET" ? 200 : 201,
                { { "runner", m_options.name }, { "run", m_runCount }, { "target", request.target } });
            auto timer = std::make_shared<asio::steady_timer>(m_context);
            timer->expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
                std::chrono::duration<double>(m_options.runSeconds)));
            timer->async_wait([self = shared_from_this(), timer, responder, response](const asio::error_code&) {
                --self->m_inFlight;
                responder->respond(response);
            });
        }

        asio::io_context& m_context;
        ApplicationRunnerOptions m_options;
        std::string m_fault;
        std::map<std::string, int> m_runsByKey;
        int m_runCount = 0;
        unsigned m_inFlight = 0;
    };

}

void runApplicationRunner(asio::io_context& context, const ApplicationRunnerOptions& options)
{
    const auto runner = std::make_shared<ApplicationRunner>(context, options);
    serve(context, options.ip, options.port,
        [&](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            runner->handle(request, responder);
        });
}

}
