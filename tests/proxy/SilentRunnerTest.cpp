#include "proxy/VersionsFixture.h"

using namespace eelgrassford;
using std::chrono::milliseconds;
using tests::chunk;
using tests::event;
using tests::Peer;
using tests::runUntil;
using tests::streamHead;

namespace {

constexpr Duration idleTimeout = milliseconds(100);
/// Time of silence after which an attempt would be given up if another runner could go on.
constexpr Duration silence = milliseconds(400);

proxy::RouterOptions optionsWithShortTimeout()
{
    auto options = tests::RouterFixture::options();
    options.streamIdleTimeout = idleTimeout;
    options.streamIdleFactor = 0.0;
    return options;
}

/// A stream whose runner is silent after its second event.
template <typename Base> struct SilentStream : Base {
    Peer* runner = nullptr;

    explicit SilentStream(const std::string& target = "/stream/1")
    {
        this->router.setOptions(optionsWithShortTimeout());
        this->call("POST", target);
        runner = &this->awaitRequest(1);
        runner->send(streamHead("s-1") + chunk(event(1) + event(2)));
        this->awaitAnswer("e2\n\n");
    }
    void checkThatItGoesOn()
    {
        CHECK(this->requestCount() == 1);
        CHECK_FALSE(this->caller->isEnded);
        REQUIRE_FALSE(runner->isEnded);
        runner->send(chunk(event(3)) + "0\r\n\r\n");
        this->awaitAnswer("0\r\n\r\n");
        CHECK(this->caller->has("e3\n\n"));
    }
};

}

// Guards against streams that are cut because the only runner that can go on is silent for a moment.
TEST_CASE("a stream stays at a silent runner while no other one can continue it")
{
    SilentStream<tests::VersionsFixture> stream;
    stream.context.run_for(silence);
    stream.checkThatItGoesOn();
}

// Guards against losing the other side: a stream leaves a silent runner for one that can go on.
TEST_CASE("a stream leaves a silent runner as soon as another one can continue it")
{
    SUBCASE("one can at once")
    {
        SilentStream<tests::RouterFixture> stream;
        runUntil(stream.context, [&] { return stream.requestCount() == 2; });
    }
    SUBCASE("one is listed later")
    {
        SilentStream<tests::VersionsFixture> stream;
        stream.context.run_for(silence);
        REQUIRE(stream.requestCount() == 1);
        const auto isFirst = stream.runner->has("X-Expect-Instance: r-1");
        stream.list(isFirst ? "v1" : "v2", isFirst ? "v1" : "v2");
        runUntil(stream.context, [&] { return stream.requestCount() == 2; });
    }
}

// Guards against requests that fail although their only runner would have answered in time.
TEST_CASE("a repeatable request stays at a slow runner while no other one can take it")
{
    tests::RouterFixture fixture;
    fixture.router.setRunners(std::vector { tests::RouterFixture::runnerEntry("r-1", fixture.firstRunner.port()) });
    fixture.call("GET", "/look/1", "X-Deadline-Ms: 1000\r\n");
    auto& runner = fixture.awaitRequest(1);
    fixture.context.run_for(milliseconds(700));
    REQUIRE_FALSE(runner.isEnded);
    runner.send(tests::successResponse("id", "answer"));
    fixture.awaitAnswer("answer");
}

TEST_CASE("the failure of a runner reaches the caller unchanged if no other runner can take the request")
{
    tests::RouterFixture fixture;
    fixture.router.setRunners(std::vector { tests::RouterFixture::runnerEntry("r-1", fixture.firstRunner.port()) });
    fixture.call("GET", "/look/1");
    fixture.awaitRequest(1).send("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: id\r\nX-Response-Signature: s\r\n"
                                 "Content-Length: 3\r\n\r\nown");
    fixture.awaitAnswer("own");
    CHECK(fixture.caller->has("HTTP/1.1 500"));
}

// Guards against established connections that are closed because a new one gets no answer.
TEST_CASE("a silent runner with a full queue of new connections ends no request that nobody else can go on with")
{
    SilentStream<tests::RouterFixture> stream("/once/1");
    auto& silent = stream.runner->has("X-Expect-Instance: r-1") ? stream.firstRunner : stream.secondRunner;
    silent.fillQueue();
    // The other runner is heard from, so that the missing answer is not due to this host's link.
    std::shared_ptr<Peer> other;
    for (int i = 0; i < 20 && !other; ++i) {
        const auto id = "x-" + std::to_string(i);
        auto asked = stream.connect("GET", "/look/1", id, {});
        runUntil(stream.context, [&] { return stream.requestCount() > static_cast<std::size_t>(i) + 1 || i > 0; });
        for (auto* listener : { &stream.firstRunner, &stream.secondRunner }) {
            for (auto& peer : listener->peers) {
                if (listener != &silent && peer->has(id))
                    other = peer;
            }
        }
        if (other) {
            stream.router.probeSilentRunners();
            stream.context.run_for(milliseconds(50));
            other->send(tests::successResponse(id, "answer"));
        }
    }
    REQUIRE(other);
    // Longer than a probe waits for an answer.
    stream.context.run_for(milliseconds(800));
    CHECK_FALSE(stream.caller->isEnded);
    REQUIRE_FALSE(stream.runner->isEnded);
    stream.runner->send(chunk(event(3)) + "0\r\n\r\n");
    stream.awaitAnswer("0\r\n\r\n");
}
