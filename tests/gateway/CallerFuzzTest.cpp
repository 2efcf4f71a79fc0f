#include "gateway/CallerBudget.h"

#include "http/MessageParser.h"
#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassford;
using gateway::CallerBudget;
using gateway::CallerPhase;

namespace {

/// Seeds that CI plays; EELGRASSFORD_FUZZ_SEEDS plays more.
std::uint64_t seedCount()
{
    const char* text = std::getenv("EELGRASSFORD_FUZZ_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 300;
}

/// Requests with many header lines, chunk extensions and trailers, some of them damaged.
std::string randomInput(std::mt19937_64& random)
{
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    std::string text;
    for (std::size_t request = 0; request < 1 + below(4); ++request) {
        text += below(2) == 0 ? "POST /a HTTP/1.1\r\n" : "GET /b?c=d HTTP/1.1\r\n";
        for (std::size_t line = below(below(20) == 0 ? 5000 : 20); line > 0; --line)
            text += std::string(1 + below(3), 'h') + ":" + std::string(below(30), 'v') + "\r\n";
        if (below(3) == 0) {
            const auto size = below(3000);
            text += "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
            continue;
        }
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t chunk = below(20); chunk > 0; --chunk) {
            const auto size = 1 + below(9);
            text += std::to_string(size) + (below(2) == 0 ? ";" + std::string(below(200), 'e') : "") + "\r\n"
                + std::string(size, 'x') + "\r\n";
        }
        text += "0\r\n";
        for (std::size_t line = below(10); line > 0; --line)
            text += "t: " + std::string(below(100), 't') + "\r\n";
        text += "\r\n";
    }
    for (std::size_t damage = below(3) == 0 ? below(6) : 0; damage > 0 && !text.empty(); --damage)
        text[below(text.size())] = static_cast<char>(random());
    text.resize(below(4) == 0 ? below(text.size() + 1) : text.size());
    return text;
}

struct Parsed {
    std::vector<std::string> messages;
    std::string error;
    bool operator==(const Parsed&) const = default;
};

/// Feeds the input in pieces of random size.
Parsed parse(const std::string& input, std::size_t largestPiece, std::mt19937_64& random)
{
    constexpr std::size_t headerLimit = 16384;
    Parsed result;
    std::string message;
    http::MessageParser parser(http::MessageParser::Kind::Request,
        { [&](http::MessageHead& head) {
             message = head.method + head.target;
             for (const auto& [name, value] : head.headers)
                 message.append(name).append(":").append(value).append(";");
         },
            [&](std::string_view bytes) { message += bytes; },
            [&] { result.messages.push_back(std::exchange(message, {})); } });
    parser.setHeaderLimit(headerLimit);
    std::string buffer;
    for (std::size_t at = 0; at < input.size();) {
        const auto size = std::min<std::size_t>(1 + random() % largestPiece, input.size() - at);
        buffer.append(input, at, size);
        at += size;
        while (!buffer.empty()) {
            const auto used = parser.feed(buffer);
            if (!used) {
                result.error = used.error().what;
                return result;
            }
            CHECK(*used <= buffer.size());
            // A line takes at least one byte of the limit, and the list of lines may be doubled once.
            CHECK(parser.heldBytes() <= headerLimit + 2 * headerLimit * sizeof(gateway::Headers::value_type));
            if (*used == 0)
                break;
            buffer.erase(0, *used);
        }
    }
    return result;
}

}

TEST_CASE("requests in any pieces are parsed alike, within bounded memory")
{
    // Failure: a message is split or merged with the next one depending on where its bytes were cut, or headers,
    // extensions or trailers grow without bound.
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed ", seed);
        std::mt19937_64 random(seed);
        const auto input = randomInput(random);
        const auto whole = parse(input, input.size() + 1, random);
        const auto pieces = parse(input, 7, random);
        CHECK(whole.messages == pieces.messages);
        CHECK(whole.error == pieces.error);
    }
}

TEST_CASE("chunk extensions and trailers without end are refused")
{
    // Failure: a caller keeps a request open with bytes that no limit counts.
    std::mt19937_64 random(1);
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK_FALSE(parse(head + "1;" + std::string(1u << 20, 'e'), 16384, random).error.empty());
    std::string trailers;
    for (int i = 0; i < 100000; ++i)
        trailers += "t: 1\r\n";
    CHECK_FALSE(parse(head + "0\r\n" + trailers, 16384, random).error.empty());
}

TEST_CASE("accounting is never below zero, and zero when all callers have left")
{
    // Failure: a leak in the accounting ends in the refusal of every caller, and an underflow in that of none.
    constexpr CallerPhase phases[]
        = { CallerPhase::Idle, CallerPhase::Reading, CallerPhase::Running, CallerPhase::Sending };
    constexpr const char* addresses[] = { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed ", seed);
        std::mt19937_64 random(seed);
        CallerBudget budget;
        gateway::CallerBudgetOptions options;
        options.bytes = 1u << 20;
        options.descriptors = 20;
        budget.setOptions(options);
        auto now = TimePoint {} + std::chrono::hours(1);
        struct Held {
            CallerBudget::Key key;
            std::size_t bytes;
            CallerPhase phase;
        };
        std::vector<Held> callers;
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::milliseconds(random() % 500);
            if (callers.empty() || random() % 4 == 0)
                callers.push_back({ budget.join(addresses[random() % 3], now), 0, CallerPhase::Idle });
            const auto at = random() % callers.size();
            auto& caller = callers[at];
            switch (random() % 4) {
            case 0:
                budget.leave(caller.key);
                // Leaving again, as a closed connection that is destroyed, changes nothing.
                budget.leave(caller.key);
                callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(at));
                break;
            case 1:
                budget.recordProgress(caller.key, random() % 100000, now);
                budget.isTooSlow(caller.key, now);
                break;
            default:
                caller.bytes = random() % 200000;
                caller.phase = phases[random() % 4];
                budget.update(caller.key, caller.bytes, caller.phase, now);
            }
            std::size_t bytes = 0;
            std::size_t descriptors = 0;
            for (const auto& held : callers) {
                bytes += held.bytes + CallerBudget::connectionBytes;
                descriptors += held.phase == CallerPhase::Running || held.phase == CallerPhase::Sending ? 2 : 1;
            }
            CHECK(budget.heldBytes() == bytes);
            CHECK(budget.descriptors() == descriptors);
            std::size_t rejected = 0;
            while (const auto decision = budget.nextRejection(now)) {
                REQUIRE(++rejected <= callers.size());
                const auto found = std::find_if(
                    callers.begin(), callers.end(), [&](const auto& held) { return held.key == decision->key; });
                REQUIRE(found != callers.end());
                CHECK(found->phase != CallerPhase::Running);
                if (random() % 2 == 0) {
                    budget.leave(found->key);
                    callers.erase(found);
                }
            }
        }
        for (const auto& held : callers)
            budget.leave(held.key);
        CHECK(budget.heldBytes() == 0);
        CHECK(budget.descriptors() == 0);
        CHECK(budget.connections() == 0);
        CHECK_FALSE(budget.nextRejection(now));
    }
}
