#include "common/Hash.h"
#include "proxy/RouterFixture.h"

using namespace eelgrassford;
using tests::runUntil;

namespace {

/// Two runners that answer every request at once; the first one states a limit of its request rate.
struct LimitedService {
    tests::RouterFixture fixture;
    std::string limit;
    int requests = 0;
    int served = 0;
    int atLimitedRunner = 0;

    /// Sends one request and lets its runner answer.
    void call()
    {
        const auto id = "r" + std::to_string(++requests);
        fixture.caller = fixture.connect("GET", "/look/" + id, id, {});
        runUntil(fixture.context, [&] {
            atLimitedRunner += answer(fixture.firstRunner, id, limit) ? 1 : 0;
            answer(fixture.secondRunner, id, {});
            return fixture.caller->has("\r\n\r\n");
        });
        served += fixture.caller->received.starts_with("HTTP/1.1 200") ? 1 : 0;
    }

    static fleet::RunnerKey keyOf(const std::string& id) { return static_cast<fleet::RunnerKey>(hash64(id, 1)); }

    /// Lets another daemon tell that a runner states a limit.
    void stateLimit(const std::string& id, double perSecond)
    {
        fixture.router.mergeStatements(
            std::vector<fleet::RunnerStatement> { { keyOf(id), perSecond, Duration::zero() } });
    }

    static bool answer(const tests::Listener& runner, const std::string& id, const std::string& limit)
    {
        for (const auto& peer : runner.peers) {
            if (!peer->has("/look/" + id + " "))
                continue;
            peer->received.clear();
            const auto header = limit.empty() ? "" : "Server-Limit: " + limit + "\r\n";
            peer->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n" + header
                + "Content-Length: 2\r\n\r\nok");
            return true;
        }
        return false;
    }

    void callRepeatedly(int count, Duration pause)
    {
        for (int i = 0; i < count; ++i) {
            fixture.clockOffset += pause;
            call();
        }
    }
};

}

TEST_CASE("a runner gets no more requests than the limit that it stated allows")
{
    LimitedService service;
    service.limit = "1.0";
    service.callRepeatedly(10, std::chrono::milliseconds(100));
    service.atLimitedRunner = 0;
    service.callRepeatedly(40, std::chrono::milliseconds(100));
    // One and a half times the limit in four seconds, and five requests.
    CHECK(service.atLimitedRunner <= 11);
    CHECK(service.atLimitedRunner >= 1);
    CHECK(service.served == service.requests);
}

TEST_CASE(
    "a request waits for a runner's limit if that is short, and is refused at once with the time to come back if not")
{
    LimitedService service;
    auto& router = service.fixture.router;
    // Both runners accept 50 requests a second; the objective of five seconds allows a wait of 0.6 s.
    const std::vector<std::string> ids { "r-1", "r-2" };
    for (const auto& id : ids)
        service.stateLimit(id, 50.0);
    for (int i = 0; i < 4; ++i)
        service.call();
    CHECK(service.served == 4);
    // Each runner's share holds one request when the limits fall, and the clock stands still from then on.
    service.fixture.frozenAt = daemon::currentTime();
    for (const double limit : { 50.0, 0.0 }) {
        service.fixture.clockOffset += std::chrono::seconds(1);
        for (const auto& id : ids)
            service.stateLimit(id, limit);
    }
    service.call();
    service.call();
    CHECK(service.served == 6);
    service.call();
    CHECK(service.served == 6);
    CHECK(service.fixture.caller->received.starts_with("HTTP/1.1 503"));
    CHECK(service.fixture.caller->has("rate-limited"));
    CHECK(service.fixture.caller->has("Retry-After"));
    CHECK(router.requestsInFlight() == 0);
}

TEST_CASE("a limit that another daemon tells is kept, and an older one or one of another runner is not taken")
{
    LimitedService service;
    auto& router = service.fixture.router;
    const auto limitOfFirst = [&router] {
        const auto limits = router.runnerReport(daemon::currentTime()).statements;
        return limits.empty() ? std::nullopt : limits.front().perSecond;
    };
    const auto key = service.keyOf("r-1");
    router.mergeStatements(std::vector<fleet::RunnerStatement> { { key + 1, 1.0, Duration::zero() } });
    CHECK(router.runnerReport(daemon::currentTime()).statements.empty());
    router.mergeStatements(std::vector<fleet::RunnerStatement> { { key, 2.0, std::chrono::milliseconds(500) } });
    CHECK(limitOfFirst() == 2.0);
    router.mergeStatements(std::vector<fleet::RunnerStatement> { { key, {}, std::chrono::milliseconds(900) } });
    CHECK(limitOfFirst() == 2.0);
    router.mergeStatements(std::vector<fleet::RunnerStatement> { { key, {}, std::chrono::milliseconds(100) } });
    CHECK_FALSE(limitOfFirst());
    CHECK_FALSE(router.runnerReport(daemon::currentTime()).statements.front().isOwn);
}
