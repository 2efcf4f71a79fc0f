#include "soak/Caller.h"

#include "daemon/SystemClock.h"
#include "upstream/EventStreamParser.h"

namespace eelgrassford::soak {

using daemon::currentTime;

namespace {

    constexpr std::uint16_t statusOk = 200;
    /// Events that a stand-in runner sends.
    constexpr std::uint64_t streamEvents = 40;

    const char* pathOf(Kind kind)
    {
        switch (kind) {
        case Kind::Booking:
            return "/book/";
        case Kind::Lookup:
            return "/look/";
        case Kind::Stream:
            return "/stream/";
        }
        return "/look/";
    }

}

Caller::Caller(asio::io_context& context, Options options, std::uint64_t seed, KeySource key, Sink sink)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(seed)
    , m_key(std::move(key))
    , m_sink(std::move(sink))
    , m_socket(context)
    , m_timer(context)
{
}

void Caller::start()
{
    m_isIdle = false;
    next();
}

void Caller::next()
{
    const auto round = ++m_round;
    if (m_isStopping) {
        m_timer.cancel();
        close();
        m_isIdle = true;
        return;
    }
    m_timer.expires_after(m_options.pause);
    m_timer.async_wait([self = shared_from_this(), round](const asio::error_code&) {
        if (round != self->m_round)
            return;
        if (self->m_socket.is_open() && self->m_onConnection < self->m_options.requestsPerConnection)
            self->send();
        else
            self->connect();
    });
}

void Caller::connect()
{
    close();
    m_onConnection = 0;
    m_daemon = m_random() % m_options.daemons.size();
    const auto round = ++m_round;
    m_timer.expires_after(std::chrono::seconds(1));
    m_timer.async_wait([self = shared_from_this(), round](const asio::error_code& error) {
        if (error || round != self->m_round)
            return;
        self->close();
        self->next();
    });
    m_socket.async_connect(
        m_options.daemons[m_daemon], [self = shared_from_this(), round](const asio::error_code& error) {
            if (round != self->m_round)
                return;
            if (error) {
                self->close();
                self->next();
            } else {
                self->send();
            }
        });
}

void Caller::send()
{
    const auto round = ++m_round;
    ++m_onConnection;
    m_record = {};
    m_record.id = m_options.name + "-" + std::to_string(++m_sent);
    m_record.kind = static_cast<Kind>(m_random() % 3);
    m_record.daemon = m_daemon;
    m_record.key = m_key();
    m_record.sentAt = currentTime();
    m_target = pathOf(m_record.kind) + m_record.id;
    m_head.reset();
    m_body.clear();
    m_isComplete = false;
    m_parser = std::make_unique<http::MessageParser>(http::MessageParser::Kind::Response,
        http::MessageParser::Events { [this](http::MessageHead& head) { m_head = head; },
            [this](std::string_view bytes) { m_body += bytes; }, [this] { m_isComplete = true; } });
    const auto text
        = std::make_shared<std::string>("POST " + m_target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: "
            + m_record.id + "\r\nX-Deadline-Ms: 5000\r\nX-Key: " + m_record.key + "\r\nContent-Length: 1\r\n\r\nx");
    asio::async_write(m_socket, asio::buffer(*text),
        [self = shared_from_this(), text, round](const asio::error_code& error, std::size_t) {
            if (error && round == self->m_round)
                self->onEnd();
        });
    m_timer.expires_after(m_options.patience);
    m_timer.async_wait([self = shared_from_this(), round](const asio::error_code& error) {
        if (error || round != self->m_round)
            return;
        self->close();
        self->finish();
    });
    read();
}

void Caller::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer),
        [self = shared_from_this(), round = m_round](const asio::error_code& error, std::size_t size) {
            if (round != self->m_round)
                return;
            if (error) {
                self->onEnd();
                return;
            }
            const auto used = self->m_parser->feed({ self->m_buffer.data(), size });
            if (!used || (self->m_isComplete && *used != size))
                self->m_record.flaw = "bytes that are no answer";
            if (self->m_isComplete)
                self->onMessage();
            else
                self->read();
        });
}

void Caller::onMessage()
{
    m_record.status = m_head->status;
    checkAnswer(*m_head);
    if (!m_head->isKeepAlive)
        close();
    finish();
}

void Caller::onEnd()
{
    close();
    m_record.isCut = !m_head.has_value();
    finish();
}

void Caller::finish()
{
    m_record.endedAt = currentTime();
    m_sink(m_record);
    next();
}

void Caller::checkAnswer(const http::MessageHead& head)
{
    if (!m_record.flaw.empty() || head.status != statusOk)
        return;
    if (head.header("X-Response-Signature").value_or("") != "digest-of-" + m_record.id)
        m_record.flaw = "another request's signature";
    else if (m_body != expectedBody())
        m_record.flaw = "not the whole body: " + std::to_string(m_body.size()) + " bytes";
}

std::string Caller::expectedBody() const
{
    if (m_record.kind != Kind::Stream)
        return m_target + " x\n";
    std::string result;
    for (std::uint64_t i = 1; i <= streamEvents; ++i)
        result += "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
    return result;
}

void Caller::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

}
