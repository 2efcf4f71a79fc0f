#include "gateway/CallerRequest.h"
#include "telemetry/DecisionLog.h"
#include "upstream/CurlClient.h"
#include "upstream/EventStreamParser.h"
#include <asio.hpp>
#include <doctest/doctest.h>

using namespace eelgrassford;
using namespace eelgrassford::gateway;

namespace {

config::Configuration makeConfiguration()
{
    config::Configuration configuration;
    configuration.services
        = { { "bookings", config::ServiceKind::Application }, { "reports", config::ServiceKind::Model } };
    configuration.organisations.emplace_back().name = "yard";
    configuration.models.emplace_back().name = "drum-report";
    configuration.rules = { { "bookings", "POST", "/collections*", false, 15.0, 0 } };
    return configuration;
}

HttpRequest makeRequest(std::string method, std::string target, std::string body = {})
{
    return { std::move(method), std::move(target), { { "eelgrassford-organisation", "yard" } }, std::move(body), {} };
}

/// Answers each complete request with the next entry of a script. "close" closes the connection instead, and
/// "vanish" also stops listening.
class ScriptedServer {
public:
    ScriptedServer(asio::io_context& context, std::vector<std::string> script)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_script(std::move(script))
    {
        accept();
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/"; }
    std::size_t requestCount() const { return m_requests; }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        std::string buffer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->buffer), "body-end",
            [this, connection](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                connection->buffer.clear();
                const auto answer = m_script[std::min(m_requests++, m_script.size() - 1)];
                if (answer == "vanish")
                    m_acceptor.close();
                if (answer == "close" || answer == "vanish")
                    return;
                asio::write(connection->socket, asio::buffer(answer));
                read(connection);
            });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_script;
    std::size_t m_requests = 0;
};

/// Sends one request on a connection that is kept alive, then a second one on whose receipt the server closes the
/// connection without an answer.
/// @return number of requests that reach the server
std::size_t requestCountAfterDrop(bool isRepeatable)
{
    asio::io_context context;
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    ScriptedServer server(context, { ok, "close", ok });
    upstream::CurlClient client(context);
    upstream::Call call;
    call.method = "POST";
    call.url = server.url();
    call.body = "body-end";
    call.isRepeatable = isRepeatable;
    client.fetch(call, [&](const auto&, std::uint16_t, const std::string&) {
        asio::post(context,
            [&] { client.fetch(call, [&](const auto&, std::uint16_t, const std::string&) { context.stop(); }); });
    });
    context.run();
    return server.requestCount();
}

}

TEST_CASE("the HTTP library does not resend a call that is not repeatable")
{
    // The library resends a request if a reused connection is closed before the response: three requests arrive.
    CHECK(requestCountAfterDrop(true) == 3);
    CHECK(requestCountAfterDrop(false) == 2);
}

TEST_CASE("a refused connection does not prove that a request was not sent if a reused connection broke before")
{
    asio::io_context context;
    ScriptedServer server(context, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "vanish" });
    upstream::CurlClient client(context);
    upstream::Call call;
    call.method = "POST";
    call.url = server.url();
    call.body = "body-end";
    auto end = upstream::CallEnd::Complete;
    client.fetch(call, [&](const auto&, std::uint16_t, const std::string&) {
        asio::post(context, [&] {
            client.fetch(call, [&](const upstream::CallResult& result, std::uint16_t, const std::string&) {
                end = result.end;
                context.stop();
            });
        });
    });
    context.run();
    CHECK(end == upstream::CallEnd::Broken);

    SUBCASE("a refused connection proves it if no connection was open before")
    {
        context.restart();
        client.fetch(call, [&](const upstream::CallResult& result, std::uint16_t, const std::string&) {
            end = result.end;
            context.stop();
        });
        context.run();
        CHECK(end == upstream::CallEnd::NeverConnected);
    }
}

TEST_CASE("redirects are returned to the caller, not followed")
{
    asio::io_context context;
    ScriptedServer server(
        context, { "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n" });
    upstream::CurlClient client(context);
    upstream::Call call;
    call.method = "POST";
    call.url = server.url();
    call.body = "body-end";
    std::uint16_t seen = 0;
    client.fetch(call, [&](const auto&, std::uint16_t status, const std::string&) {
        seen = status;
        context.stop();
    });
    context.run();
    CHECK(seen == 307);
    CHECK(server.requestCount() == 1);
}

TEST_CASE("a caller's request")
{
    const auto configuration = makeConfiguration();

    SUBCASE("is read with the settings of its rule")
    {
        auto request = makeRequest("POST", "/services/bookings/collections?day=1", "{}");
        request.headers.emplace_back("Idempotency-Key", "\"k-1\"");
        const auto caller = readCallerRequest(request, configuration);
        REQUIRE(caller);
        CHECK(caller->destination == "bookings");
        CHECK(caller->upstreamTarget == "/collections?day=1");
        CHECK_FALSE(caller->isIdempotent);
        CHECK(caller->idempotencyKey == "k-1");
        CHECK(caller->timeoutSeconds == 15.0);
        CHECK(readCallerRequest(makeRequest("GET", "/services/bookings/x"), configuration)->isIdempotent);
    }

    SUBCASE("is refused with the matching problem code when it is invalid")
    {
        auto codeOf
            = [&](const HttpRequest& request) { return readCallerRequest(request, configuration).error().code; };
        CHECK(codeOf(makeRequest("GET", "/nowhere")) == ProblemCode::UnknownPath);
        CHECK(codeOf(makeRequest("GET", "/services/unknown/x")) == ProblemCode::UnknownService);
        CHECK(codeOf(makeRequest("POST", "/services/reports/x")) == ProblemCode::UnknownService);
        CHECK(codeOf(makeRequest("GET", "/v1/chat/completions")) == ProblemCode::UnknownPath);
        CHECK(codeOf(makeRequest("POST", "/v1/chat/completions", "{")) == ProblemCode::MalformedRequest);
        CHECK(codeOf(makeRequest("POST", "/v1/chat/completions", R"({"model":"other","prompt":"p"})"))
            == ProblemCode::UnknownModel);
        auto request = makeRequest("POST", "/services/bookings/collections");
        request.headers[0].second = "stranger";
        CHECK(codeOf(request) == ProblemCode::UnknownOrganisation);
        request = makeRequest("POST", "/services/bookings/collections");
        request.headers.emplace_back("Idempotency-Key", "a");
        request.headers.emplace_back("idempotency-key", "b");
        CHECK(codeOf(request) == ProblemCode::BadIdempotencyKey);
        request.headers.pop_back();
        request.headers.back().second = std::string(256, 'x');
        CHECK(codeOf(request) == ProblemCode::BadIdempotencyKey);
        request.headers.back() = { "Eelgrassford-Priority", "12" };
        CHECK(codeOf(request) == ProblemCode::MalformedRequest);
    }

    SUBCASE("is answered with a problem that states the outcome and the delay before a retry")
    {
        const auto response = toResponse({ 503, ProblemCode::Overloaded, "quoted \"detail\" \xff",
            ProblemOutcome::NotRun, std::chrono::milliseconds(1500) });
        CHECK(response.status == 503);
        CHECK(response.body.find("\"outcome\":\"not-run\"") != std::string::npos);
        CHECK(std::find(response.headers.begin(), response.headers.end(),
                  std::pair<std::string, std::string>("Retry-After", "2"))
            != response.headers.end());
    }
}

TEST_CASE("an event stream is divided into complete events wherever its bytes are split")
{
    const std::string text = "id: 0\ndata: {\"a\":1}\n\n: comment\n\nid: 1\ndata: [DONE]\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        upstream::EventStreamParser stream;
        std::string all;
        std::vector<std::optional<std::uint64_t>> offsets;
        bool hasEnd = false;
        for (const auto& part : { text.substr(0, split), text.substr(split) }) {
            stream.feed(part);
            while (const auto event = stream.next()) {
                all += event->text;
                offsets.push_back(event->offset);
                hasEnd = hasEnd || event->isEnd;
            }
        }
        CHECK(all == text);
        CHECK(offsets == std::vector<std::optional<std::uint64_t>> { 0, std::nullopt, 1 });
        CHECK(hasEnd);
    }
}

TEST_CASE("a log event is one line of key=value pairs whatever its values contain")
{
    CHECK(telemetry::formatEvent("placement",
              { { "chat", "ab" }, { "detail", "two words\n\"x\"=1" }, { "empty", "" }, { "load", 0.5 },
                  { "count", std::uint64_t { 7 } } })
        == "event=placement chat=ab detail=\"two words \\\"x\\\"=1\" empty=\"\" load=0.5 count=7");
}
