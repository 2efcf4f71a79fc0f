#pragma once

#include "gateway/StreamServer.h"
#include "platform/HeaderCodec.h"
#include "proxy/Router.h"
#include "support/Loopback.h"
#include <sstream>

namespace eelgrassford::tests {

inline routing::Route route(
    const std::string& prefix, routing::RequestKind kind, bool isResumable, std::uint32_t attempts)
{
    routing::Route result;
    result.name = prefix;
    result.host = "a.example";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.isResumable = isResumable;
    result.maxAttempts = attempts;
    result.timeout = std::chrono::seconds(15);
    result.latencyObjective = std::chrono::seconds(5);
    result.destinations = { { "pool", 1.0 } };
    return result;
}

inline std::shared_ptr<const routing::RouteTable> routeTable()
{
    routing::Configuration configuration;
    configuration.revision = 1;
    configuration.routes = { route("/book/", routing::RequestKind::NonIdempotent, false, 1),
        route("/look/", routing::RequestKind::Idempotent, false, 2),
        route("/stream/", routing::RequestKind::Stream, true, 2),
        route("/once/", routing::RequestKind::Stream, false, 1) };
    configuration.organisations = { { "works", { "key" }, {} } };
    return std::make_shared<const routing::RouteTable>(std::move(configuration));
}

inline std::string successResponse(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s-" + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHead(const std::string& signature)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: " + signature
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& text)
{
    std::ostringstream result;
    result << std::hex << text.size() << "\r\n" << text << "\r\n";
    return result.str();
}

inline std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n"; }

/// A router with a caller and two runners, all of which the test controls byte by byte.
struct RouterFixture {
    asio::io_context context;
    platform::HeaderCodec codec;
    telemetry::Metrics metrics;
    /// Added to the time that the router sees, so that a test can let time pass.
    Duration clockOffset {};
    /// Time at which the router's clock stands still, apart from the offset; empty while it runs.
    std::optional<TimePoint> frozenAt;
    TimePoint confirmedAt = daemon::currentTime();
    proxy::Router router;
    std::uint16_t port = tests::freePort(context);
    gateway::StreamServer server { context, "127.0.0.1", port, daemon::currentTime,
        [this](gateway::HttpRequest request, const std::shared_ptr<gateway::Responder>& responder) {
            router.handle(std::move(request), responder);
        } };
    tests::Listener firstRunner { context };
    tests::Listener secondRunner { context };
    std::shared_ptr<Peer> caller;

    /// @param secondVersion software version of the second runner; that of the first one is v1
    explicit RouterFixture(
        const proxy::RouterOptions& routerOptions = options(), const std::string& secondVersion = "v1")
        : router(context, routerOptions, codec, metrics,
            [this] { return frozenAt.value_or(daemon::currentTime()) + clockOffset; })
    {
        router.setRoutes(routeTable());
        list("v1", secondVersion);
        router.confirmConfiguration(confirmedAt);
        server.startAccepting();
    }

    void list(const std::string& firstVersion, const std::string& secondVersion)
    {
        auto first = runnerEntry("r-1", firstRunner.port());
        auto second = runnerEntry("r-2", secondRunner.port());
        first.version = firstVersion;
        second.version = secondVersion;
        router.setRunners(std::vector<runners::RunnerEntry> { first, second });
    }

    static proxy::RouterOptions options()
    {
        proxy::RouterOptions result;
        result.dataCentre = "a";
        result.credentialLease = std::chrono::hours(1);
        result.retryBudget.ratio = 5.0;
        // A silent runner is probed at once if the other one was heard from.
        result.registry.silenceThreshold = Duration::zero();
        return result;
    }

    static runners::RunnerEntry runnerEntry(const std::string& id, std::uint16_t port)
    {
        return { id, "pool", "127.0.0.1", port, "a", 8, false, 1, "v1" };
    }

    std::shared_ptr<Peer> connect(
        const std::string& method, const std::string& target, const std::string& id, const std::string& extraHeaders)
    {
        auto peer = Peer::connect(context, port);
        peer->send(method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Key: key\r\n"
            + extraHeaders + "Content-Length: 0\r\n\r\n");
        return peer;
    }

    void call(const std::string& method, const std::string& target, const std::string& extraHeaders = {})
    {
        caller = connect(method, target, "id", extraHeaders);
    }

    std::size_t requestCount() const
    {
        std::size_t count = 0;
        for (const auto* listener : { &firstRunner, &secondRunner }) {
            for (const auto& peer : listener->peers) {
                for (auto at = peer->received.find("X-Expect-Instance"); at != std::string::npos;
                     at = peer->received.find("X-Expect-Instance", at + 1))
                    ++count;
            }
        }
        return count;
    }

    /// Waits until the runners have received @a count requests. Returns the open connection of a request other than the
    /// one that was returned last.
    Peer& awaitRequest(std::size_t count)
    {
        runUntil(context, [&] { return requestCount() >= count; });
        for (const auto* listener : { &firstRunner, &secondRunner }) {
            for (const auto& peer : listener->peers) {
                if (peer->has("X-Expect-Instance") && !peer->isEnded && peer.get() != m_lastReturned) {
                    m_lastReturned = peer.get();
                    return *peer;
                }
            }
        }
        FAIL("no request arrived on a new connection");
        return *firstRunner.peers.front();
    }

    void awaitAnswer(std::string_view text)
    {
        runUntil(context, [&] { return caller->has(text); });
    }
    void awaitEnd()
    {
        runUntil(context, [&] { return caller->isEnded; });
    }

private:
    Peer* m_lastReturned = nullptr;
};

}
