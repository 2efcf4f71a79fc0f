#include "upstream/ConnectionPool.h"

#include "support/Loopback.h"

using namespace eelgrassford;
using tests::runUntil;
using upstream::ConnectionPool;
using upstream::ExchangeEnd;

namespace {

constexpr const char* request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

std::string response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Outcome {
    std::optional<upstream::ExchangeResult> result;
    std::string body;
};

struct Fixture {
    asio::io_context context;
    tests::Listener listener { context };
    int idleLosses = 0;
    ConnectionPool pool { context, "127.0.0.1", listener.port(), daemon::currentTime, {}, [this] { ++idleLosses; } };

    std::shared_ptr<Outcome> start(const std::string& id, const std::string& bytes = request)
    {
        auto outcome = std::make_shared<Outcome>();
        upstream::Exchange exchange;
        exchange.bytes = bytes;
        exchange.isAnswer = [id](const http::MessageHead& head) { return head.header("Id") == std::string_view(id); };
        handle = pool.start(std::move(exchange),
            { {}, [outcome](std::string_view part) { outcome->body += part; },
                [outcome](const upstream::ExchangeResult& result) { outcome->result = result; } });
        return outcome;
    }
    tests::Peer& peer(std::size_t index)
    {
        runUntil(context, [&] { return listener.peers.size() > index; });
        return *listener.peers[index];
    }
    void awaitRequests(std::size_t index, std::size_t count)
    {
        auto& connection = peer(index);
        runUntil(context, [&] {
            std::size_t found = 0;
            for (auto at = connection.received.find("POST"); at != std::string::npos;
                 at = connection.received.find("POST", at + 1))
                ++found;
            return found >= count;
        });
    }
    ExchangeEnd endOf(const std::shared_ptr<Outcome>& outcome)
    {
        runUntil(context, [&] { return outcome->result.has_value(); });
        return outcome->result->end;
    }

    ConnectionPool::Handle handle;
};

}

TEST_CASE("a connection is reused after a complete response")
{
    Fixture fixture;
    for (std::size_t i = 1; i <= 3; ++i) {
        const auto outcome = fixture.start("1");
        fixture.awaitRequests(0, i);
        fixture.peer(0).send(response("1", "body"));
        CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
        CHECK(outcome->body == "body");
    }
    CHECK(fixture.pool.openedCount() == 1);
}

TEST_CASE("a request is not retried when its reused connection closes after the request was received")
{
    Fixture fixture;
    auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", ""));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    outcome = fixture.start("2");
    fixture.awaitRequests(0, 2);
    fixture.peer(0).close();
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Broken);
    CHECK(outcome->result->isConnectionLost);
    CHECK(fixture.pool.openedCount() == 1);
}

TEST_CASE("an idle connection that the peer closed is not reused")
{
    Fixture fixture;
    auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", ""));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    fixture.peer(0).close();
    outcome = fixture.start("2");
    fixture.awaitRequests(1, 1);
    fixture.peer(1).send(response("2", "two"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    CHECK(fixture.pool.openedCount() == 2);
}

TEST_CASE("a request to a port without a listener is reported as not sent")
{
    asio::io_context context;
    ConnectionPool pool(context, "127.0.0.1", tests::freePort(context), daemon::currentTime, {});
    std::optional<upstream::ExchangeResult> result;
    pool.start({ request, [](const http::MessageHead&) { return true; } },
        { {}, {}, [&](const upstream::ExchangeResult& ended) { result = ended; } });
    runUntil(context, [&] { return result.has_value(); });
    CHECK(result->end == ExchangeEnd::NotSent);
}

TEST_CASE("a late response to an earlier request is skipped and the connection is not reused")
{
    Fixture fixture;
    auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", "one"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    outcome = fixture.start("2");
    fixture.awaitRequests(0, 2);
    fixture.peer(0).send(response("1", "one again") + response("2", "two"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    CHECK(outcome->body == "two");
    CHECK(fixture.pool.idleCount() == 0);
}

TEST_CASE("bytes after a complete response are discarded and the connection is not reused")
{
    Fixture fixture;
    const auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", "one") + response("1", "extra"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    CHECK(outcome->body == "one");
    CHECK(fixture.pool.idleCount() == 0);
}

TEST_CASE("a connection is not reused if the response ends before the whole request was written")
{
    Fixture fixture;
    const std::string body(32u << 20, 'x');
    const auto outcome = fixture.start(
        "1", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", "early"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    CHECK(fixture.pool.idleCount() == 0);
}

TEST_CASE("a response that is delimited by the end of its connection")
{
    Fixture fixture;
    const auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end");
    runUntil(fixture.context, [&] { return outcome->body == "open end"; });
    SUBCASE("is complete after an orderly close")
    {
        fixture.peer(0).close();
        CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    }
    SUBCASE("is broken off after a reset")
    {
        fixture.peer(0).reset();
        CHECK(fixture.endOf(outcome) == ExchangeEnd::Broken);
    }
}

TEST_CASE("bytes that are not an HTTP response break the exchange but do not count as a lost connection")
{
    Fixture fixture;
    const auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send("nonsense\r\n\r\n");
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Broken);
    CHECK_FALSE(outcome->result->isConnectionLost);
}

TEST_CASE("cancelling an exchange closes its connection without a callback")
{
    Fixture fixture;
    const auto outcome = fixture.start("1");
    fixture.awaitRequests(0, 1);
    ConnectionPool::cancel(fixture.handle);
    runUntil(fixture.context, [&] { return fixture.peer(0).isEnded; });
    CHECK_FALSE(outcome->result);
}

TEST_CASE("cancelling an ended exchange does not affect the next one on the same connection")
{
    Fixture fixture;
    auto outcome = fixture.start("1");
    const auto ended = fixture.handle;
    fixture.awaitRequests(0, 1);
    fixture.peer(0).send(response("1", ""));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
    outcome = fixture.start("2");
    ConnectionPool::cancel(ended);
    fixture.awaitRequests(0, 2);
    fixture.peer(0).send(response("2", "two"));
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
}

TEST_CASE("bytes without end that are no answer break the exchange after a bounded number of them")
{
    constexpr std::size_t blockBytes = 16384;
    std::string head;
    std::string block(blockBytes, 'x');
    SUBCASE("in the body of a late response to an earlier request") { head = "HTTP/1.1 200 OK\r\nId: earlier\r\n\r\n"; }
    SUBCASE("as informational responses")
    {
        block.clear();
        while (block.size() < blockBytes)
            block += "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    SUBCASE("in the headers") { head = "HTTP/1.1 200 OK\r\nId: a\r\nX-Padding: "; }
    SUBCASE("in the reason phrase") { head = "HTTP/1.1 200 "; }
    SUBCASE("as empty lines before the status line") { block.assign(blockBytes, '\n'); }
    Fixture fixture;
    const auto outcome = fixture.start("a");
    fixture.awaitRequests(0, 1);
    auto& runner = fixture.peer(0);
    runner.sendEndlessly(head, block);
    CHECK(fixture.endOf(outcome) == ExchangeEnd::Broken);
    CHECK_FALSE(outcome->result->isConnectionLost);
    CHECK(fixture.pool.idleCount() == 0);
    runUntil(fixture.context, [&] { return runner.isEnded; });
}

// Guards against a restart of a runner that no connection attempt meets.
TEST_CASE("idle connections that the peer closes are reported, unless the response announced that")
{
    for (const bool isAnnounced : { false, true }) {
        CAPTURE(isAnnounced);
        Fixture fixture;
        const auto outcome = fixture.start("1");
        fixture.awaitRequests(0, 1);
        fixture.peer(0).send(isAnnounced ? "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                                         : response("1", ""));
        CHECK(fixture.endOf(outcome) == ExchangeEnd::Complete);
        CHECK(fixture.idleLosses == 0);
        fixture.peer(0).close();
        fixture.context.run_for(std::chrono::milliseconds(20));
        CHECK(fixture.idleLosses == (isAnnounced ? 0 : 1));
    }
}
