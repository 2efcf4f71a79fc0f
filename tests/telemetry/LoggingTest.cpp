#include "telemetry/BoundedSink.h"
#include "telemetry/DecisionLog.h"
#include "telemetry/LineBudget.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

using namespace eelgrassford;

namespace {

/// A pipe that is read only when a test asks for it.
struct Pipe {
    int ends[2] = { -1, -1 };
    Pipe() { REQUIRE(pipe(ends) == 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string readAll()
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string result;
        char buffer[4096];
        for (auto size = read(ends[0], buffer, sizeof(buffer)); size > 0; size = read(ends[0], buffer, sizeof(buffer)))
            result.append(buffer, static_cast<std::size_t>(size));
        return result;
    }
};

}

TEST_CASE("a log sink whose reader is stalled drops lines beyond its limit without blocking and logs their number")
{
    Pipe pipe;
    const auto sink = std::make_shared<telemetry::BoundedSink>(pipe.ends[1], 100000);
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    const std::string line(999, 'x');
    for (int i = 0; i < 500; ++i) {
        logger.info(line);
        logger.flush();
    }
    CHECK(sink->droppedCount() > 300);
    std::string text;
    for (int i = 0; i < 10; ++i) {
        text += pipe.readAll();
        logger.flush();
    }
    const auto dropped = "event=log-dropped lines=" + std::to_string(sink->droppedCount());
    CHECK(text.find(dropped) != std::string::npos);
    CHECK(text.find(line) != std::string::npos);
}

TEST_CASE("routine lines are limited per second, and skipped lines are counted")
{
    telemetry::LineBudget budget(3);
    const TimePoint start { std::chrono::seconds(100) };
    int written = 0;
    for (int i = 0; i < 10; ++i)
        written += budget.tryTake(start + std::chrono::milliseconds(10 * i)) ? 1 : 0;
    CHECK(written == 3);
    CHECK(budget.takeSkipped() == 7);
    CHECK(budget.takeSkipped() == 0);
    CHECK(budget.tryTake(start + std::chrono::milliseconds(1000)));
}

TEST_CASE("a long value in a log line is cut, so that foreign bytes do not fill the log")
{
    CHECK(telemetry::formatEvent("test", { { "detail", std::string(1u << 20, 'x') } }).size() < 1100);
    CHECK(telemetry::formatEvent("test", { { "detail", "a \"b\"\n" } }) == "event=test detail=\"a \\\"b\\\" \"");
}
