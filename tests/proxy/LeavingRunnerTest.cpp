#include "common/Hash.h"
#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::Listener;
using tests::Peer;
using tests::runUntil;

namespace {

/// Two runners, of which some answers say that they leave.
struct Fixture : tests::RouterFixture {
    int requests = 0;

    static std::string response(const std::string& id, const std::string& extraHeaders)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n" + extraHeaders
            + "Content-Length: 2\r\n\r\nok";
    }

    std::vector<runners::RunnerEntry> bothRunners() const
    {
        return { runnerEntry("r-1", firstRunner.port()), runnerEntry("r-2", secondRunner.port()) };
    }

    /// The connection on which a runner has received a request; null if it has not.
    static Peer* find(const Listener& runner, const std::string& id)
    {
        for (const auto& peer : runner.peers) {
            if (peer->has("X-Attempt-Id: " + id + "\r\n"))
                return peer.get();
        }
        return nullptr;
    }

    /// Sends requests until the first runner has answered one with the given headers.
    void answerAtFirst(const std::string& extraHeaders, const std::string& status = "200 OK")
    {
        for (bool hasAnswered = false; !hasAnswered;) {
            const auto id = "q" + std::to_string(++requests);
            caller = connect("GET", "/look/1", id, {});
            runUntil(context, [&] { return find(firstRunner, id) || find(secondRunner, id); });
            if (auto* peer = find(firstRunner, id)) {
                auto text = response(id, extraHeaders);
                text.replace(text.find("200 OK"), 6, status);
                peer->send(text);
                hasAnswered = true;
            } else {
                find(secondRunner, id)->send(response(id, {}));
            }
            if (!extraHeaders.empty() && hasAnswered && status != "200 OK") {
                // Refused there, it goes to the other runner.
                runUntil(context, [&] { return find(secondRunner, id) || caller->has("\r\n\r\n"); });
                if (auto* next = find(secondRunner, id))
                    next->send(response(id, {}));
            }
            runUntil(context, [&] { return caller->has("\r\n\r\n"); });
        }
    }

    /// Sends requests and has the second runner answer them; returns how many reached the first one.
    int countAtFirst(int count)
    {
        int atFirst = 0;
        for (int i = 0; i < count; ++i) {
            const auto id = "q" + std::to_string(++requests);
            caller = connect("GET", "/look/1", id, {});
            runUntil(context, [&] {
                if (auto* peer = find(secondRunner, id)) {
                    peer->received.clear();
                    peer->send(response(id, {}));
                }
                if (auto* peer = find(firstRunner, id)) {
                    ++atFirst;
                    peer->received.clear();
                    peer->send(response(id, {}));
                }
                return caller->has("\r\n\r\n");
            });
        }
        return atFirst;
    }
};

const std::string leaving = "Server-Leaving: 1\r\n";

}

// Guards against requests to a runner that said that it leaves, on a host that cannot reach the store.
TEST_CASE("a runner that says in any answer that it leaves gets no new request")
{
    for (const std::string status : { "200 OK", "404 Not Found", "503 Service Unavailable" }) {
        CAPTURE(status);
        Fixture fixture;
        CHECK(fixture.countAtFirst(40) > 0);
        fixture.answerAtFirst(leaving + (status[0] == '5' ? "X-Not-Executed: 1\r\n" : ""), status);
        CHECK(fixture.countAtFirst(12) == 0);
        // Silence does not end it.
        fixture.clockOffset += std::chrono::seconds(30);
        CHECK(fixture.countAtFirst(12) == 0);
    }
}

TEST_CASE("an answer that does not say so, and an older listing, do not end a runner's leaving; a new lifetime does")
{
    Fixture fixture;
    fixture.answerAtFirst(leaving);
    SUBCASE("listed as ready again")
    {
        fixture.router.setRunners(fixture.bothRunners());
        CHECK(fixture.countAtFirst(12) == 0);
    }
    SUBCASE("removed and listed again by an older copy")
    {
        fixture.router.setRunners(
            std::vector<runners::RunnerEntry> { Fixture::runnerEntry("r-2", fixture.secondRunner.port()) });
        fixture.clockOffset += std::chrono::seconds(20);
        fixture.router.setRunners(fixture.bothRunners());
        CHECK(fixture.countAtFirst(12) == 0);
    }
    SUBCASE("started again")
    {
        auto entries = fixture.bothRunners();
        entries[0].startedAtMs = 2;
        fixture.router.setRunners(entries);
        CHECK(fixture.countAtFirst(12) > 0);
    }
}

TEST_CASE("an answer that was overtaken by one that says that the runner leaves does not end its leaving")
{
    Fixture fixture;
    fixture.router.setRunners(
        std::vector<runners::RunnerEntry> { Fixture::runnerEntry("r-1", fixture.firstRunner.port()) });
    const auto first = fixture.connect("GET", "/look/1", "first", {});
    const auto second = fixture.connect("GET", "/look/1", "second", {});
    runUntil(fixture.context, [&] { return fixture.requestCount() == 2; });
    fixture.router.setRunners(fixture.bothRunners());
    Fixture::find(fixture.firstRunner, "second")->send(Fixture::response("second", leaving));
    runUntil(fixture.context, [&] { return second->has("ok"); });
    Fixture::find(fixture.firstRunner, "first")->send(Fixture::response("first", {}));
    runUntil(fixture.context, [&] { return first->has("ok"); });
    CHECK(fixture.countAtFirst(12) == 0);
}

TEST_CASE("a stream whose head says that its runner leaves goes on, and the runner gets no other request")
{
    Fixture fixture;
    fixture.call("POST", "/stream/1");
    auto& peer = fixture.awaitRequest(1);
    const bool isFirst = Fixture::find(fixture.firstRunner, "id") != nullptr;
    peer.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n" + leaving
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1)));
    fixture.awaitAnswer("e1\n\n");
    const auto stream = fixture.caller;
    const int atFirst = fixture.countAtFirst(12);
    CHECK(atFirst == (isFirst ? 0 : 12));
    peer.send(chunk(event(2)) + "0\r\n\r\n");
    runUntil(fixture.context, [&] { return stream->has("0\r\n\r\n"); });
    CHECK(stream->has("e2\n\n"));
}

TEST_CASE("a request that waits for a connection to a runner is sent elsewhere when the runner says that it leaves")
{
    Fixture fixture;
    auto entry = Fixture::runnerEntry("r-1", fixture.firstRunner.port());
    fixture.router.setRunners(std::vector<runners::RunnerEntry> { entry });
    const auto first = fixture.connect("GET", "/look/1", "first", {});
    runUntil(fixture.context, [&] { return fixture.requestCount() == 1; });
    // Read by the router in one turn: the answer that says so, after the request that needs another connection.
    gateway::HttpRequest request { "GET", "/look/2",
        { { "Host", "a.example" }, { "X-Attempt-Id", "second" }, { "X-Key", "key" } }, {}, {} };
    struct Recorder : gateway::Responder {
        std::string body;
        void respond(const gateway::HttpResponse& response) override { body = response.body; }
        void begin(std::uint16_t, const gateway::Headers&) override { }
        void write(std::string) override { }
        void end() override { }
        void abort() override { }
        void onCallerDisconnected(std::function<void()>) override { }
    };
    const auto recorder = std::make_shared<Recorder>();
    Fixture::find(fixture.firstRunner, "first")->send(Fixture::response("first", leaving));
    fixture.router.handle(std::move(request), recorder);
    fixture.router.setRunners(fixture.bothRunners());
    runUntil(fixture.context, [&] { return Fixture::find(fixture.secondRunner, "second") != nullptr; });
    Fixture::find(fixture.secondRunner, "second")->send(Fixture::response("second", {}));
    runUntil(fixture.context, [&] { return recorder->body == "ok"; });
    CHECK(Fixture::find(fixture.firstRunner, "second") == nullptr);
    runUntil(fixture.context, [&] { return first->has("ok"); });
}

TEST_CASE("when all runners of a service leave, its requests are refused at once as not run")
{
    Fixture fixture;
    fixture.router.setRunners(
        std::vector<runners::RunnerEntry> { Fixture::runnerEntry("r-1", fixture.firstRunner.port()) });
    fixture.answerAtFirst(leaving);
    const auto before = fixture.requestCount();
    fixture.call("POST", "/book/1");
    fixture.awaitAnswer("\r\n\r\n");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.caller->has("Retry-After: "));
    CHECK(fixture.requestCount() == before);
}

TEST_CASE("a daemon that another one tells of a leaving runner sends it nothing, and does not tell others of it")
{
    Fixture fixture;
    const auto key = static_cast<fleet::RunnerKey>(hash64("r-1", 1));
    fixture.router.mergeStatements(
        std::vector<fleet::RunnerStatement> { { key, {}, std::chrono::milliseconds(300), true, true } });
    CHECK(fixture.countAtFirst(12) == 0);
    const auto statements = fixture.router.runnerReport(daemon::currentTime()).statements;
    REQUIRE(statements.size() == 1);
    CHECK(statements[0].isLeaving);
    CHECK_FALSE(statements[0].isOwn);
}

TEST_CASE("leaving is no failure: it neither suspends a runner nor hides the failures of others")
{
    Fixture fixture;
    fixture.answerAtFirst(leaving + "X-Not-Executed: 1\r\n", "503 Service Unavailable");
    const auto report = fixture.router.runnerReport(daemon::currentTime());
    for (const auto& state : report.states) {
        CHECK(state.failedTenths == 0);
        CHECK(state.suspendedMs == 0);
    }
}
