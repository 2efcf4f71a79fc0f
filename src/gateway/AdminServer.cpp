#include "gateway/AdminServer.h"

#include "gateway/Problem.h"

namespace eelgrassford::gateway {

namespace {

    HttpServer::Options serverOptions(const std::string& ip, std::uint16_t port)
    {
        HttpServer::Options options;
        options.ip = ip;
        options.port = port;
        options.bodyLimit = 4096;
        return options;
    }

}

AdminServer::AdminServer(
    asio::io_context& context, const std::string& ip, std::uint16_t port, Sources sources, std::string readinessPath)
    : m_sources(std::move(sources))
    , m_readinessPath(std::move(readinessPath))
    , m_server(context, serverOptions(ip, port),
          [this](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
              responder->respond(answer(request));
          })
{
}

HttpResponse AdminServer::answer(const HttpRequest& request) const
{
    if (request.method != "GET")
        return toResponse({ 405, ProblemCode::UnknownPath, "only GET is served here", ProblemOutcome::NotRun, {} });
    const auto path = request.path();
    if (path == "/healthz")
        return { 200, { { "Content-Type", "text/plain" } }, "ok\n" };
    if (path == m_readinessPath) {
        const bool isReady = m_sources.isReady();
        return { static_cast<std::uint16_t>(isReady ? 200 : 503), { { "Content-Type", "text/plain" } },
            isReady ? "ready\n" : "not ready\n" };
    }
    if (path == "/metrics")
        return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_sources.metrics() };
    if (path == "/admin/status")
        return { 200, { { "Content-Type", "application/json" } }, m_sources.status() };
    return toResponse({ 404, ProblemCode::UnknownPath,
        "use /healthz, " + m_readinessPath + ", /metrics or /admin/status", ProblemOutcome::NotRun, {} });
}

}
