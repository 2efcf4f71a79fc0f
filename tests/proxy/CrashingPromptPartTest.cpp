#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::chunk;
using tests::event;
using tests::runUntil;
using tests::streamHead;

namespace {

/// A service whose runner ends, and is replaced by another one, under each request that has a certain part.
struct CrashingService {
    tests::RouterFixture fixture;
    std::unique_ptr<tests::Listener> runner;
    int runners = 0;
    int requests = 0;

    CrashingService() { replaceRunner(); }

    void replaceRunner()
    {
        runner = std::make_unique<tests::Listener>(fixture.context);
        fixture.router.setRunners(std::vector<runners::RunnerEntry> {
            tests::RouterFixture::runnerEntry("runner-" + std::to_string(++runners), runner->port()) });
    }

    /// Sends a request with some shared parts, and with a last part of its own.
    void call(const std::string& sharedParts)
    {
        fixture.clockOffset += std::chrono::seconds(1);
        ++requests;
        fixture.call("POST", "/once/" + std::to_string(requests),
            "X-Model: m\r\nX-Prompt-Prefix: " + sharedParts + "," + std::to_string(1000 + requests) + ":100\r\n");
    }

    /// Connection on which the runner has received the request; null if the request was answered without it.
    tests::Peer* awaitRequest()
    {
        const auto received = [this]() -> tests::Peer* {
            for (const auto& peer : runner->peers) {
                if (peer->has("/once/" + std::to_string(requests) + " "))
                    return peer.get();
            }
            return nullptr;
        };
        runUntil(fixture.context, [&] { return received() || fixture.caller->has("\r\n\r\n"); });
        return received();
    }

    /// Lets the runner end under a request.
    /// @return whether the request reached a runner
    bool crash(const std::string& sharedParts)
    {
        call(sharedParts);
        auto* connection = awaitRequest();
        if (!connection)
            return false;
        const auto known = fixture.router.crashRecords(daemon::currentTime()).size();
        runner->stop();
        connection->reset();
        runUntil(fixture.context, [&] { return fixture.router.crashRecords(daemon::currentTime()).size() > known; });
        fixture.awaitAnswer("\r\n\r\n");
        replaceRunner();
        return true;
    }

    /// Lets the runner answer a request.
    /// @return whether the request reached a runner
    bool serve(const std::string& sharedParts)
    {
        call(sharedParts);
        auto* connection = awaitRequest();
        if (!connection)
            return false;
        connection->send(streamHead("s") + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
        fixture.awaitAnswer("data: e2");
        return true;
    }
};

}

TEST_CASE("requests that share the prompt part under which three runners ended are refused, others are served")
{
    CrashingService service;
    for (int i = 0; i < 3; ++i)
        CHECK(service.crash("aa:100,bb:500"));
    CHECK_FALSE(service.crash("aa:100,bb:500"));
    CHECK(service.fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(service.fixture.caller->has("crashes-runners"));
    CHECK(service.serve("aa:100,cc:500"));
    CHECK(service.serve("dd:100"));
}

TEST_CASE("a request whose part is found out while it runs is not sent to another runner when it is lost")
{
    CrashingService service;
    service.fixture.clockOffset += std::chrono::seconds(1);
    service.requests = 1;
    service.fixture.call("POST", "/stream/once/1", "X-Model: m\r\nX-Prompt-Prefix: aa:100,bb:500,1001:100\r\n");
    auto* connection = service.awaitRequest();
    REQUIRE(connection);
    const std::vector<proxy::PromptPart> prompt { { 0xaa, 100 }, { 0xbb, 500 }, { 0x1001, 100 } };
    dispatch::CrashRecord record { proxy::sharedPartDigests("m", prompt).at(1), { 1, 2, 3 }, 1 };
    record.isQuarantined = true;
    service.fixture.router.mergeCrashRecords(std::vector { record });
    service.replaceRunner();
    connection->reset();
    service.fixture.awaitAnswer("\r\n\r\n");
    CHECK(service.fixture.caller->received.starts_with("HTTP/1.1 502"));
    CHECK(service.runner->peers.empty());
}
