/// Callers that exceed the limits of a relay, for callers.test.sh. Usage: caller_load CASE IP:PORT CALLERS
///
/// Prints "held" once every caller has sent all of its bytes, was refused, or has been blocked for some time, and
/// keeps the connections open until the process is killed.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// Time without any progress after which the callers are taken to be blocked.
constexpr auto blockedTime = std::chrono::seconds(3);
constexpr std::size_t mebibyte = 1u << 20;

/// What each caller sends: the pattern is repeated between prefix and suffix.
struct Load {
    std::string prefix;
    std::string pattern;
    std::size_t count = 0;
    std::string suffix;
    bool readsResponses = true;

    std::size_t size() const { return prefix.size() + pattern.size() * count + suffix.size(); }
    /// The bytes from an offset to the end of the part that it is in.
    std::string_view from(std::size_t offset) const
    {
        if (offset < prefix.size())
            return std::string_view(prefix).substr(offset);
        offset -= prefix.size();
        if (offset < pattern.size() * count)
            return std::string_view(pattern).substr(offset % pattern.size());
        return std::string_view(suffix).substr(offset - pattern.size() * count);
    }
};

std::string head(std::string_view framing)
{
    return "POST /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: load\r\nX-Deadline-Ms: 5000\r\nX-Key: key-1\r\n"
        + std::string(framing) + "\r\n";
}

std::string chunk(std::size_t size, std::string_view extension = {})
{
    std::array<char, 24> length {};
    std::snprintf(length.data(), length.size(), "%zx", size);
    return length.data() + std::string(extension) + "\r\n" + std::string(size, 'x') + "\r\n";
}

std::optional<Load> loadOf(std::string_view name)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    if (name == "stalled-announced")
        return Load { head("Content-Length: 4194304\r\n"), std::string(4 * mebibyte - 1, 'x'), 1, "" };
    if (name == "stalled-chunked")
        return Load { head(chunked), chunk(65536), 63, chunk(65535) };
    if (name == "stalled-small-chunks") {
        // Many chunks at once, so that this program sends in large pieces.
        std::string chunks;
        for (std::size_t i = 0; i < 3 * mebibyte / 2 / 512; ++i)
            chunks += chunk(1);
        return Load { head(chunked), chunks, 512, "" };
    }
    if (name == "oversize-announced")
        return Load { head("Content-Length: 67108864\r\n"), std::string(mebibyte, 'x'), 64, "" };
    if (name == "oversize-sent")
        return Load { head(chunked), chunk(65536), 1024, "0\r\n\r\n" };
    if (name == "unread-responses")
        return Load { "", head("Content-Length: 524288\r\n") + std::string(mebibyte / 2, 'x'), 3, "", false };
    if (name == "idle" || name == "largest-request")
        return Load {};
    if (name == "pipelined") {
        std::string lines;
        for (int i = 0; i < 2000; ++i)
            lines += "a:b\r\n";
        std::string body;
        for (int i = 0; i < 32; ++i)
            body += chunk(4096, ";" + std::string(4096, 'e'));
        const auto request = head(chunked + lines) + body + "0\r\n" + lines + "\r\n";
        return Load { "", request, 16, request.substr(0, request.size() / 2) };
    }
    return std::nullopt;
}

struct Caller {
    int socket = -1;
    std::size_t sent = 0;
    bool isOpen = true;
};

int connectTo(const sockaddr_in& address, bool readsResponses)
{
    const int result = ::socket(AF_INET, SOCK_STREAM, 0);
    if (result < 0)
        return result;
    if (!readsResponses) {
        const int size = 4096;
        ::setsockopt(result, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    if (::connect(result, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(result);
        return -1;
    }
    ::fcntl(result, F_SETFL, O_NONBLOCK);
    return result;
}

/// Sends and receives what is possible; returns whether there was any progress.
bool advance(Caller& caller, const Load& load, short events)
{
    bool hasProgress = false;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        std::array<char, 65536> buffer;
        const auto size = ::recv(caller.socket, buffer.data(), buffer.size(), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            caller.isOpen = false;
            return true;
        }
        hasProgress = size > 0;
    }
    if ((events & POLLOUT) != 0) {
        const auto bytes = load.from(caller.sent);
        const auto size = ::send(caller.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size > 0)
            caller.sent += static_cast<std::size_t>(size);
        hasProgress = hasProgress || size > 0;
        if (size < 0 && errno != EAGAIN)
            caller.isOpen = false;
    }
    return hasProgress;
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4)
        return 2;
    const auto load = loadOf(arguments[1]);
    const std::string target = arguments[2];
    const auto colon = target.find(':');
    const auto count = std::strtoul(arguments[3], nullptr, 10);
    if (!load || colon == std::string::npos)
        return 2;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(target.c_str() + colon + 1, nullptr, 10)));
    ::inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr);

    std::vector<Caller> callers(count);
    for (auto& caller : callers) {
        caller.socket = connectTo(address, load->readsResponses);
        caller.isOpen = caller.socket >= 0;
    }
    auto progressAt = Clock::now();
    bool isHeld = false;
    while (true) {
        std::vector<pollfd> polled;
        std::vector<Caller*> order;
        bool isSending = false;
        for (auto& caller : callers) {
            if (!caller.isOpen)
                continue;
            const bool hasMore = caller.sent < load->size();
            isSending = isSending || hasMore;
            const auto events = (load->readsResponses ? POLLIN : 0) | (hasMore ? POLLOUT : 0);
            polled.push_back({ caller.socket, static_cast<short>(events), 0 });
            order.push_back(&caller);
        }
        // Without a pause a connection that neither reads nor sends would be reported as closed again and again.
        ::poll(polled.data(), polled.size(), 100);
        for (std::size_t i = 0; i < polled.size(); ++i) {
            if (polled[i].revents != 0 && advance(*order[i], *load, polled[i].revents))
                progressAt = Clock::now();
        }
        // Responses that still arrive count as progress, so that the load is complete when it is reported.
        const bool isBlocked = Clock::now() - progressAt > blockedTime;
        if (!isHeld && isBlocked) {
            isHeld = true;
            const auto open = std::count_if(callers.begin(), callers.end(), [](const auto& c) { return c.isOpen; });
            std::printf("held %d open %s\n", static_cast<int>(open), isSending ? "blocked" : "complete");
            std::fflush(stdout);
        }
    }
}
