#include "upstream/CurlClient.h"
#include "upstream/EventStreamParser.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <asio.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>

using namespace eelgrassford;
using Clock = std::chrono::steady_clock;

namespace {

struct Options {
    std::vector<std::string> urls;
    std::size_t concurrency = 32;
    std::size_t requests = 4000;
    std::size_t tokens = 1;
    bool isStreaming = false;
};

/// Keeps a fixed number of requests or streams in flight until a total has been sent.
class LoadGenerator {
public:
    LoadGenerator(asio::io_context& context, const Options& options)
        : m_options(options)
        , m_client(context)
    {
    }

    void start()
    {
        m_startedAt = Clock::now();
        for (std::size_t i = 0; i < m_options.concurrency; ++i)
            startNext();
    }

    void print()
    {
        const double seconds = std::chrono::duration<double>(m_lastFinishedAt - m_startedAt).count();
        std::sort(m_latencies.begin(), m_latencies.end());
        auto quantile = [&](double q) {
            return m_latencies.empty()
                ? 0.0
                : m_latencies[static_cast<std::size_t>(q * static_cast<double>(m_latencies.size() - 1))];
        };
        std::printf("%.1f %.1f %.3f %.3f %zu\n", static_cast<double>(m_finished) / seconds,
            static_cast<double>(m_tokens) / seconds, quantile(0.5), quantile(0.99), m_failed);
    }

private:
    void startNext()
    {
        if (m_started >= m_options.requests)
            return;
        const auto number = m_started++;
        upstream::Call call;
        call.method = "POST";
        call.url = m_options.urls[number % m_options.urls.size()] + "/v1/chat/completions";
        call.timeout = std::chrono::seconds(120);
        call.headers
            = { { "Eelgrassford-Organisation", "yard" }, { "Eelgrassford-Call-Id", "load-" + std::to_string(number) } };
        call.body = R"({"model":"drum-report","stream":)" + std::string(m_options.isStreaming ? "true" : "false")
            + R"(,"max_tokens":)" + std::to_string(m_options.tokens) + R"(,"messages":[{"role":"user","content":"load )"
            + std::to_string(number) + R"("}]})";
        const auto startedAt = Clock::now();
        auto stream = std::make_shared<upstream::EventStreamParser>();
        auto hasStreamEnd = std::make_shared<bool>(!m_options.isStreaming);
        upstream::CallEvents events;
        auto hasSucceeded = std::make_shared<bool>(false);
        events.responded
            = [hasSucceeded](std::uint16_t status, const upstream::Headers&) { *hasSucceeded = status == 200; };
        events.received = [this, stream, hasStreamEnd](std::string_view bytes) {
            if (!m_options.isStreaming)
                return;
            stream->feed(bytes);
            while (const auto event = stream->next()) {
                *hasStreamEnd = *hasStreamEnd || event->isEnd;
                recordToken(event->text);
            }
        };
        events.ended = [this, startedAt, hasStreamEnd, hasSucceeded](const upstream::CallResult& result) {
            m_lastFinishedAt = Clock::now();
            ++m_finished;
            m_failed += result.end == upstream::CallEnd::Complete && *hasStreamEnd && *hasSucceeded ? 0 : 1;
            if (!m_options.isStreaming)
                m_latencies.push_back(std::chrono::duration<double, std::milli>(m_lastFinishedAt - startedAt).count());
            startNext();
        };
        m_client.start(call, std::move(events));
    }

    /// Records the latency of a token from its production in the engine to its arrival here. Both times come from the
    /// steady clock of one machine, so engines must run on the same machine.
    void recordToken(std::string_view text)
    {
        constexpr std::string_view field = "\"produced_ns\":";
        const auto position = text.find(field);
        if (position == std::string_view::npos)
            return;
        std::int64_t produced = 0;
        std::from_chars(text.data() + position + field.size(), text.data() + text.size(), produced);
        ++m_tokens;
        m_latencies.push_back(static_cast<double>(Clock::now().time_since_epoch().count() - produced) / 1e6);
    }

    Options m_options;
    upstream::CurlClient m_client;
    Clock::time_point m_startedAt;
    Clock::time_point m_lastFinishedAt;
    std::size_t m_started = 0;
    std::size_t m_finished = 0;
    std::size_t m_failed = 0;
    std::size_t m_tokens = 0;
    /// Milliseconds for each request, or for each token of streams.
    std::vector<double> m_latencies;
};

}

int main(int argumentCount, char** arguments)
{
    Options options;
    CLI::App app {
        "Generates load on engines or daemons; prints requests/s, tokens/s, p50 and p99 in ms, failed requests."
    };
    app.add_option("--url", options.urls, "Base URLs")->required();
    app.add_option("--concurrency", options.concurrency, "Requests in flight")->capture_default_str();
    app.add_option("--requests", options.requests, "Total number of requests")->capture_default_str();
    app.add_option("--tokens", options.tokens, "Tokens per request")->capture_default_str();
    app.add_flag("--stream", options.isStreaming,
        "Request streams, and measure the latency of each token instead of each request");
    CLI11_PARSE(app, argumentCount, arguments);
    asio::io_context context;
    LoadGenerator generator(context, options);
    generator.start();
    context.run();
    generator.print();
    return 0;
}
