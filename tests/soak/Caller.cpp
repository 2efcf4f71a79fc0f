#include "soak/Caller.h"

#include "daemon/SystemClock.h"
#include <set>
#include <sstream>

namespace eelgrassford::soak {

using daemon::currentTime;

namespace {

    constexpr std::uint16_t statusOk = 200;
    /// Events in each stream of the simulated runner.
    constexpr std::uint64_t streamEventCount = 40;

    /// Requests with which a caller tries to continue a stream.
    constexpr std::size_t maxContinuations = 3;
    constexpr std::string_view versionField = "event: ";

    std::size_t countOf(std::string_view text, std::string_view body)
    {
        std::size_t count = 0;
        for (auto at = body.find(text); at != std::string_view::npos; at = body.find(text, at + text.size()))
            ++count;
        return count;
    }

    /// Software versions of the runners that sent the events of a stream.
    std::set<std::string> versionsIn(const std::string& body)
    {
        std::set<std::string> result;
        std::istringstream lines(body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(versionField))
                result.insert(line);
        }
        return result;
    }

    std::string withoutVersions(const std::string& body)
    {
        std::string result;
        std::istringstream lines(body);
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with(versionField))
                result += line + "\n";
        }
        return result;
    }

    const char* pathOf(RequestKind kind)
    {
        switch (kind) {
        case RequestKind::Booking:
            return "/book/";
        case RequestKind::Lookup:
            return "/look/";
        case RequestKind::Stream:
            return "/stream/";
        }
        return "/look/";
    }

}

Caller::Caller(
    asio::io_context& context, Options options, std::uint64_t seed, KeySource keySource, RecordHandler recordHandler)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(seed)
    , m_keySource(std::move(keySource))
    , m_recordHandler(std::move(recordHandler))
    , m_socket(context)
    , m_timer(context)
{
}

void Caller::start()
{
    m_isIdle = false;
    scheduleNext();
}

void Caller::scheduleNext()
{
    const auto generation = ++m_generation;
    if (m_isStopping) {
        m_timer.cancel();
        close();
        m_isIdle = true;
        return;
    }
    m_timer.expires_after(m_options.pauseBetweenRequests);
    m_timer.async_wait([self = shared_from_this(), generation](const asio::error_code&) {
        if (generation != self->m_generation)
            return;
        if (self->m_socket.is_open() && self->m_requestsOnConnection < self->m_options.requestsPerConnection)
            self->send();
        else
            self->connect();
    });
}

void Caller::connect()
{
    close();
    m_requestsOnConnection = 0;
    m_daemonIndex = m_random() % m_options.daemons.size();
    const auto generation = ++m_generation;
    m_timer.expires_after(std::chrono::seconds(1));
    m_timer.async_wait([self = shared_from_this(), generation](const asio::error_code& error) {
        if (error || generation != self->m_generation)
            return;
        self->close();
        self->scheduleNext();
    });
    m_socket.async_connect(
        m_options.daemons[m_daemonIndex], [self = shared_from_this(), generation](const asio::error_code& error) {
            if (generation != self->m_generation)
                return;
            if (error) {
                self->close();
                self->scheduleNext();
            } else {
                self->send();
            }
        });
}

void Caller::send()
{
    const auto generation = ++m_generation;
    ++m_requestsOnConnection;
    m_record = {};
    m_record.id = m_options.name + "-" + std::to_string(++m_sentRequests);
    m_record.kind = m_begunBy.empty() ? static_cast<RequestKind>(m_random() % 3) : RequestKind::Stream;
    m_record.isContinuation = !m_begunBy.empty();
    m_record.daemon = m_daemonIndex;
    m_record.key = m_keySource();
    m_record.sentAt = currentTime();
    m_target = pathOf(m_record.kind) + m_record.id;
    m_head.reset();
    m_body.clear();
    m_isComplete = false;
    m_parser = std::make_unique<http::MessageParser>(http::MessageParser::Kind::Response,
        http::MessageParser::Events { [this](http::MessageHead& head) { m_head = head; },
            [this](std::string_view bytes) { m_body += bytes; }, [this] { m_isComplete = true; } });
    const auto text = std::make_shared<std::string>("POST " + m_target
        + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + m_record.id + "\r\nX-Deadline-Ms: 5000\r\nX-Key: "
        + m_record.key + "\r\n" + continuationHeaders() + "Content-Length: 1\r\n\r\nx");
    asio::async_write(m_socket, asio::buffer(*text),
        [self = shared_from_this(), text, generation](const asio::error_code& error, std::size_t) {
            if (error && generation == self->m_generation)
                self->handleConnectionEnd();
        });
    m_timer.expires_after(m_options.timeout);
    m_timer.async_wait([self = shared_from_this(), generation](const asio::error_code& error) {
        if (error || generation != self->m_generation)
            return;
        self->close();
        self->finish();
    });
    read();
}

void Caller::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer),
        [self = shared_from_this(), generation = m_generation](const asio::error_code& error, std::size_t size) {
            if (generation != self->m_generation)
                return;
            if (error) {
                self->handleConnectionEnd();
                return;
            }
            const auto used = self->m_parser->feed({ self->m_buffer.data(), size });
            if (!used || (self->m_isComplete && *used != size))
                self->m_record.responseError = "bytes outside a valid HTTP response";
            if (self->m_isComplete)
                self->handleResponse();
            else
                self->read();
        });
}

void Caller::handleResponse()
{
    m_record.status = m_head->status;
    checkResponse(*m_head);
    if (!m_head->isKeepAlive)
        close();
    finish();
}

void Caller::handleConnectionEnd()
{
    close();
    m_record.isClosedWithoutResponse = !m_head.has_value();
    finish();
}

void Caller::finish()
{
    m_record.endedAt = currentTime();
    keepBrokenStream();
    m_recordHandler(m_record);
    scheduleNext();
}

void Caller::checkResponse(const http::MessageHead& head)
{
    if (!m_record.responseError.empty() || head.status != statusOk)
        return;
    if (head.header("X-Response-Signature").value_or("") != "digest-of-" + m_record.id)
        m_record.responseError = "signature of another request";
    else if (m_begunBody.empty() && withoutVersions(m_body) != expectedBody())
        m_record.responseError = "incomplete or wrong body: " + std::to_string(m_body.size()) + " bytes";
    else if (!m_begunBody.empty() && withoutVersions(m_begunBody + m_body) != expectedBody())
        m_record.responseError = "a continued stream lacks events, or has some twice";
}

std::string Caller::expectedBody() const
{
    if (m_record.kind != RequestKind::Stream)
        return m_target + " x\n";
    std::string result;
    for (std::uint64_t i = 1; i <= streamEventCount; ++i)
        result += "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
    return result;
}

void Caller::keepBrokenStream()
{
    const bool isOfStream = m_record.kind == RequestKind::Stream && m_head && m_head->status == statusOk;
    m_record.hasEvents = isOfStream && m_body.find("\n\n") != std::string::npos;
    const bool isWhole = m_record.status == statusOk;
    if (m_record.hasEvents) {
        m_begunBody += m_body.substr(0, m_body.rfind("\n\n") + 2);
        if (versionsIn(m_begunBody).size() > 1)
            m_record.responseError = "events of two software versions";
        if (m_begunBy.empty())
            m_begunBy = m_record.id;
    }
    if (isWhole || ++m_continuations > maxContinuations || m_begunBy.empty()) {
        m_begunBody.clear();
        m_begunBy.clear();
        m_continuations = 0;
    } else {
        // Callers return on a new connection, at any daemon.
        close();
    }
}

std::string Caller::continuationHeaders() const
{
    if (m_begunBy.empty())
        return {};
    const auto events = countOf("\n\n", m_begunBody);
    return "Resumes: " + m_begunBy + "\r\nLast-Event-Id: " + std::to_string(events) + "\r\n";
}

void Caller::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

}
