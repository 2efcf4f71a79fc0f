// A runner of the users' platform. It writes to standard output each request that it runs and how the run ended.
#include "Http.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <thread>

using namespace review;

namespace {

struct Settings {
    std::string id;
    std::string version;
    int events = 40;
    int intervalMs = 50;
    int workMs = 30;
    int channels = 0;
    /// The process ends, as in a crash, once this number of streams has sent this many events each; 0 for never.
    int crashStreams = 0;
    int crashEvents = 0;
};

std::atomic<int> openChannels { 0 };
std::atomic<int> streamsForCrash { 0 };

/// Parts of prompts that the runner has read, as entries of its list.
std::mutex heldMutex;
std::string held;

void hold(const std::string& prompt)
{
    const std::lock_guard lock(heldMutex);
    for (std::size_t at = 0; at < prompt.size();) {
        const auto end = std::min(prompt.find(',', at), prompt.size());
        const auto colon = prompt.find(':', at);
        if (colon >= end)
            return;
        held += (held.empty() ? "[\"\",\"" : ",[\"\",\"") + prompt.substr(at, colon - at) + "\","
            + prompt.substr(colon + 1, end - colon - 1) + ",\"m\"]";
        at = end + 1;
    }
}

std::string listHeld()
{
    const std::lock_guard lock(heldMutex);
    return "{\"epoch\":1,\"next\":1,\"held\":[" + held + "]}";
}

std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string answerHead(const std::string& status, const Settings& settings, const std::string& id)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Instance-Id: " + settings.id + "\r\n";
}

/// Sends the events of a stream; false if its caller has gone.
bool runStream(Channel& channel, const Settings& settings, const Headers& headers, const std::string& id)
{
    int next = 1;
    if (const auto last = headers.find("Last-Event-Id"); last != headers.end())
        next = std::atoi(last->second.c_str()) + 1;
    bool isOpen = channel.send(answerHead("200 OK", settings, id) + "X-Response-Signature: s-" + id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int sent = 0;
    for (; isOpen && next <= settings.events; ++next) {
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.intervalMs));
        isOpen = !channel.isGone()
            && channel.send(chunk("id: " + std::to_string(next) + "\nevent: " + settings.version + "\ndata: e"
                + std::to_string(next) + "\n\n"));
        if (++sent == settings.crashEvents && ++streamsForCrash == settings.crashStreams) {
            logLine("runner " + settings.id + " " + settings.version + " crashes");
            std::raise(SIGKILL);
        }
    }
    return isOpen && channel.send("0\r\n\r\n");
}

/// Answers one request; false if the channel is to be closed.
bool serve(Channel& channel, const Settings& settings)
{
    std::string line;
    Headers headers;
    std::string body;
    if (!channel.readHead(line, headers, nowMs() + 60000))
        return false;
    if (!channel.readBytes(std::strtoul(headers["Content-Length"].c_str(), nullptr, 10), body, nowMs() + 10000))
        return false;
    const auto path = line.substr(line.find(' ') + 1);
    const auto id = headers["X-Attempt-Id"];
    if (path.starts_with("/kv-list")) {
        const auto list = listHeld();
        return channel.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(list.size()) + "\r\n\r\n" + list);
    }
    const auto who = "runner " + settings.id + " " + settings.version;
    if (headers["X-Expect-Instance"] != settings.id) {
        logLine(who + " turns away " + id + " (421)");
        return channel.send(
            answerHead("421 Misdirected Request", settings, id) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    logLine(who + " runs " + id + " " + line + " tenant=" + headers["X-Tenant"] + " after=" + headers["Last-Event-Id"]);
    hold(headers["X-Prompt-Prefix"]);
    if (path.starts_with("/stream/")) {
        const bool isWhole = runStream(channel, settings, headers, id);
        logLine(who + (isWhole ? " ran whole " : " was left by the daemon, still at work on ") + id);
        return isWhole;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(settings.workMs));
    const auto text = path + "\n";
    const bool isSent = channel.send(answerHead("200 OK", settings, id) + "X-Response-Signature: s-" + id
        + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    logLine(who + (isSent ? " ran whole " : " could not answer ") + id);
    return isSent;
}

int listenAt(const std::string& address, int backlog)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto bound = addressOf(address);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 || listen(socket, backlog) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return socket;
}

}

int main(int count, char** arguments)
{
    const Options options(count, arguments);
    Settings settings;
    settings.id = options.text("id");
    settings.version = options.text("version", "v1");
    settings.events = options.number("events", settings.events);
    settings.intervalMs = options.number("interval-ms", settings.intervalMs);
    settings.workMs = options.number("work-ms", settings.workMs);
    settings.crashStreams = options.number("crash-streams", 0);
    settings.crashEvents = options.number("crash-events", 0);
    settings.channels = options.number("channels", 360);
    const int listener = listenAt(options.text("listen"), options.number("backlog", 128));
    logLine("runner " + settings.id + " " + settings.version + " starts");
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        if (openChannels >= settings.channels) {
            // Channels beyond the limit are reset.
            const linger reset { 1, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(socket);
            continue;
        }
        ++openChannels;
        std::thread([socket, settings] {
            Channel channel(socket);
            while (serve(channel, settings)) { }
            --openChannels;
        }).detach();
    }
}
