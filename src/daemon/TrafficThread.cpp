#include "daemon/TrafficThread.h"

#include "common/Hash.h"
#include "daemon/EventLoop.h"
#include "daemon/SystemClock.h"
#include "gateway/CallerRequest.h"

namespace eelgrassford::daemon {

namespace {

    gateway::HttpServer::Options serverOptions(const Settings& settings)
    {
        gateway::HttpServer::Options options;
        options.ip = settings.listen.ip;
        options.port = settings.listen.port;
        options.bodyLimit = settings.bodyLimit;
        options.isSharingPort = true;
        return options;
    }

    /// Keys of different organisations or destinations never match.
    claims::Key claimKey(const gateway::CallerRequest& request)
    {
        const auto scoped = request.organisation + "\n" + request.destination + "\n" + request.idempotencyKey;
        return { hash64(scoped, 0), hash64(scoped, 1) };
    }

    SessionRequest makeSessionRequest(
        gateway::HttpRequest http, const gateway::CallerRequest& caller, Ticket ticket, TimePoint now)
    {
        SessionRequest request;
        auto& route = request.route;
        route.ticket = ticket;
        route.organisation = caller.organisation;
        route.destination = caller.destination;
        route.isModel = caller.isModel;
        route.isIdempotent = caller.isIdempotent;
        route.priority = caller.priority;
        route.fingerprint = hash64(http.body, hash64(http.method + " " + http.target));
        route.deadline = now + fromSeconds(caller.timeoutSeconds);
        route.chat = { caller.chat.chat, caller.chat.promptTokens, caller.chat.reusableTokens,
            caller.chat.expectedOutputTokens };
        if (!caller.isIdempotent && !caller.idempotencyKey.empty())
            route.key = claimKey(caller);
        request.lifecycle.isIdempotent = caller.isIdempotent;
        request.lifecycle.maxRetries = caller.retries;
        request.lifecycle.deadline = route.deadline;
        request.isStreaming = caller.chat.isStreaming;
        request.upstreamTarget = caller.upstreamTarget;
        request.http = std::move(http);
        return request;
    }

}

TrafficThread::TrafficThread(
    const Settings& settings, ControlThread& control, telemetry::Metrics& metrics, Ticket firstTicket)
    : m_settings(settings)
    , m_control(control)
    , m_metrics(metrics)
    , m_workGuard(m_context.get_executor())
    , m_client(m_context)
    , m_random(std::random_device {}())
    , m_sessionContext { m_context, control, metrics, m_client, m_random, m_budgets, settings.host }
    , m_nextTicket(firstTicket)
    , m_server(m_context, serverOptions(settings),
          [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
              handle(std::move(request), responder);
          })
{
}

void TrafficThread::run() { runEventLoop(m_context, "traffic"); }

void TrafficThread::stopAccepting()
{
    asio::post(m_context, [this] { m_server.stopAccepting(); });
}

void TrafficThread::closeAfterResponses()
{
    asio::post(m_context, [this] { m_server.closeAfterResponses(); });
}

void TrafficThread::stop()
{
    asio::post(m_context, [this] {
        m_workGuard.reset();
        m_context.stop();
    });
}

void TrafficThread::handle(gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder)
{
    const auto configuration = m_control.configuration();
    if (request.path() == "/v1/models" && request.method == "GET") {
        responder->respond(gateway::listModels(*configuration));
        return;
    }
    auto caller = gateway::readCallerRequest(request, *configuration);
    if (!caller) {
        m_metrics.countOutcome("invalid");
        responder->respond(gateway::toResponse(caller.error()));
        return;
    }
    auto session = std::make_shared<RequestSession>(
        m_sessionContext, makeSessionRequest(std::move(request), *caller, m_nextTicket++, currentTime()), responder);
    session->start();
}

}
