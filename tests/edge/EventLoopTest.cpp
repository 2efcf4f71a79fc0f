#include "daemon/EventLoop.h"
#include "daemon/PeriodicTimer.h"
#include "gateway/StreamServer.h"
#include "support/Loopback.h"

using namespace eelgrassford;

// Guards against a process that ends, with all requests of other callers, because of one unexpected error.
TEST_CASE("an exception ends the handler that it leaves, not its event loop nor a periodic timer")
{
    asio::io_context context;
    int calls = 0;
    daemon::PeriodicTimer timer(context, std::chrono::milliseconds(1), [&](TimePoint) {
        if (++calls == 3)
            context.stop();
        throw std::runtime_error("unexpected");
    });
    timer.start();
    daemon::runEventLoop(context, "test");
    CHECK(calls == 3);
}

TEST_CASE("a request whose handler throws closes its connection, and the server serves the next one")
{
    asio::io_context context;
    const auto port = tests::freePort(context);
    gateway::StreamServer server(context, "127.0.0.1", port, daemon::currentTime,
        [&](const gateway::HttpRequest& request, const std::shared_ptr<gateway::Responder>& responder) {
            if (request.target == "/broken")
                throw std::runtime_error("unexpected");
            responder->respond({ 200, {}, "served" });
        });
    server.startAccepting();
    const auto first = tests::Peer::connect(context, port);
    first->send("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto second = tests::Peer::connect(context, port);
    second->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    asio::steady_timer poll(context);
    std::function<void()> stopWhenAnswered = [&] {
        if (first->isEnded && second->has("served"))
            context.stop();
        poll.expires_after(std::chrono::milliseconds(2));
        poll.async_wait([&](const asio::error_code&) { stopWhenAnswered(); });
    };
    stopWhenAnswered();
    asio::steady_timer limit(context, std::chrono::seconds(20));
    limit.async_wait([&](const asio::error_code&) { context.stop(); });
    daemon::runEventLoop(context, "test");
    CHECK(first->isEnded);
    CHECK(first->received.empty());
    CHECK(second->has("served"));
}
