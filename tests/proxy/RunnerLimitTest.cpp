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
