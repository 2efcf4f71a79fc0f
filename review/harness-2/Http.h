// Blocking HTTP/1.1 on POSIX sockets, as much as the stand-ins of the second review need.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

struct NoCase {
    bool operator()(const std::string& left, const std::string& right) const
    {
        return strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};
using Headers = std::map<std::string, std::string, NoCase>;

inline long long nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Writes one line, with the time of day in milliseconds, in a single write.
inline void logLine(const std::string& text)
{
    const auto line = std::to_string(nowMs()) + " " + text + "\n";
    [[maybe_unused]] const auto written = write(STDOUT_FILENO, line.data(), line.size());
}

inline sockaddr_in addressOf(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// One connection with a buffer of the bytes that were received and not yet used.
class Channel {
public:
    explicit Channel(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel() { close(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Receives more bytes; false at the end of the channel, after an error, or at the time limit.
    bool receive(long long untilMs)
    {
        pollfd poller { m_socket, POLLIN, 0 };
        const auto left = untilMs - nowMs();
        if (left <= 0 || poll(&poller, 1, static_cast<int>(left)) <= 0) {
            m_end = "no answer in time";
            return false;
        }
        char bytes[16384];
        const auto size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0) {
            m_end = size == 0 ? "channel closed" : "channel reset";
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    /// Whether the peer has closed the channel, or reset it.
    bool isGone() const
    {
        char byte = 0;
        const auto size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    /// Start line and headers; false if the channel ended before them.
    bool readHead(std::string& startLine, Headers& headers, long long untilMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(untilMs))
                return false;
        }
        const auto head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        auto lineEnd = head.find("\r\n");
        startLine = head.substr(0, lineEnd);
        headers.clear();
        for (auto at = lineEnd + 2; at < head.size(); at = lineEnd + 2) {
            lineEnd = head.find("\r\n", at);
            const auto line = head.substr(at, lineEnd - at);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[line.substr(0, colon)] = value == std::string::npos ? "" : line.substr(value);
        }
        return true;
    }
    /// Takes a number of bytes; false if the channel ended before them.
    bool readBytes(std::size_t size, std::string& bytes, long long untilMs)
    {
        while (m_buffer.size() < size) {
            if (!receive(untilMs))
                return false;
        }
        bytes = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    /// Takes one chunk of a chunked body; an empty one is the last.
    bool readChunk(std::string& chunk, long long untilMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!receive(untilMs))
                return false;
        }
        const auto size = std::strtoul(m_buffer.substr(0, end).c_str(), nullptr, 16);
        m_buffer.erase(0, end + 2);
        if (!readBytes(size + 2, chunk, untilMs))
            return false;
        chunk.resize(size);
        return true;
    }
    const std::string& end() const { return m_end; }

private:
    int m_socket;
    std::string m_buffer;
    std::string m_end;
};

/// Options of the form --name value.
class Options {
public:
    Options(int count, char** arguments)
    {
        for (int i = 1; i + 1 < count; i += 2)
            m_values[arguments[i]] = arguments[i + 1];
    }
    std::string text(const std::string& name, const std::string& missing = {}) const
    {
        const auto found = m_values.find("--" + name);
        return found == m_values.end() ? missing : found->second;
    }
    int number(const std::string& name, int missing) const
    {
        const auto value = text(name);
        return value.empty() ? missing : std::atoi(value.c_str());
    }

private:
    std::map<std::string, std::string> m_values;
};

}
