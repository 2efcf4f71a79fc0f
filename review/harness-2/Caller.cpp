// Callers of the users' platform: each opens a channel, keeps it for a look-up and the request after it, and writes to
// standard output what it got. A stream that breaks off is taken up again, if so asked, at another daemon.
#include "Http.h"

#include <thread>
#include <vector>

using namespace review;

namespace {

struct Settings {
    std::string to;
    std::string againAt;
    std::string path;
    std::string lookUp;
    std::string method;
    std::string key;
    std::string prefix;
    int limitMs = 15000;
    int againLimitMs = 15000;
    int againTries = 1;
    int againPauseMs = 0;
};

struct Outcome {
    int status = 0;
    bool isWhole = false;
    std::string end;
    int lastEvent = 0;
    /// Events that are missing or came twice.
    int misplaced = 0;
    std::string versions;
};

std::string fieldOf(const std::string& event, const std::string& name)
{
    const auto at = ("\n" + event).find("\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return event.substr(begin, event.find('\n', begin) - begin);
}

void takeEvents(std::string& text, Outcome& outcome)
{
    std::size_t end = 0;
    while ((end = text.find("\n\n")) != std::string::npos) {
        const auto event = text.substr(0, end + 1);
        text.erase(0, end + 2);
        const auto id = std::atoi(fieldOf(event, "id").c_str());
        outcome.misplaced += id == outcome.lastEvent + 1 ? 0 : 1;
        outcome.lastEvent = id;
        const auto version = fieldOf(event, "event");
        if (("," + outcome.versions + ",").find("," + version + ",") == std::string::npos)
            outcome.versions += (outcome.versions.empty() ? "" : ",") + version;
    }
}

std::string encode(const Settings& settings, const std::string& method, const std::string& path, const std::string& id,
    const std::string& more, int limitMs)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(limitMs) + "\r\nX-Model: m\r\nX-Token-Usage: 300,40\r\n" + more;
    if (!settings.key.empty())
        text += "X-Key: " + settings.key + "\r\n";
    return text + (method == "POST" ? "Content-Length: 1\r\n\r\nx" : "\r\n");
}

/// Sends a request and reads its answer to the end.
void ask(Channel& channel, const std::string& bytes, int limitMs, Outcome& outcome)
{
    const auto until = nowMs() + limitMs + 1000;
    std::string line;
    Headers headers;
    outcome.status = 0;
    outcome.isWhole = false;
    if (!channel.send(bytes) || !channel.readHead(line, headers, until)) {
        outcome.end = channel.end();
        return;
    }
    outcome.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
    std::string part;
    if (headers.contains("Content-Length")) {
        outcome.isWhole = channel.readBytes(std::strtoul(headers["Content-Length"].c_str(), nullptr, 10), part, until);
        outcome.end = outcome.isWhole ? "whole: " + part.substr(0, part.find('\n')) : channel.end();
        return;
    }
    std::string text;
    while (channel.readChunk(part, until)) {
        if (part.empty()) {
            outcome.isWhole = true;
            outcome.end = "whole";
            return;
        }
        text += part;
        takeEvents(text, outcome);
    }
    outcome.end = channel.end();
}

int connectTo(const std::string& to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(to);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return socket;
    close(socket);
    return -1;
}

std::string describe(const std::string& id, const std::string& to, const Outcome& outcome)
{
    return "caller " + id + " at " + to + " got status=" + std::to_string(outcome.status)
        + " whole=" + (outcome.isWhole ? "yes" : "no") + " last_event=" + std::to_string(outcome.lastEvent)
        + " misplaced=" + std::to_string(outcome.misplaced)
        + " versions=" + (outcome.versions.empty() ? "-" : outcome.versions) + " end: " + outcome.end;
}

void call(const Settings& settings, int number)
{
    const auto id = settings.prefix + "-" + std::to_string(number);
    // No two callers share a part, so that their streams spread over the runners.
    const auto prompt
        = "X-Prompt-Prefix: " + std::to_string(100 + number) + ":100," + std::to_string(1000 + number) + ":200\r\n";
    Outcome outcome;
    const int socket = connectTo(settings.to);
    if (socket < 0) {
        logLine("caller " + id + " at " + settings.to + " could not connect");
        return;
    }
    {
        Channel channel(socket);
        if (!settings.lookUp.empty()) {
            Outcome first;
            ask(channel, encode(settings, "GET", settings.lookUp, id + "-first", "", 5000), 5000, first);
            logLine(describe(id + "-first", settings.to, first));
        }
        logLine("caller " + id + " at " + settings.to + " sends " + settings.method + " " + settings.path);
        ask(channel, encode(settings, settings.method, settings.path, id, prompt, settings.limitMs), settings.limitMs,
            outcome);
        logLine(describe(id, settings.to, outcome));
    }
    // As a caller does after a broken channel, with the events that it has.
    for (int i = 1; !settings.againAt.empty() && !outcome.isWhole && outcome.lastEvent > 0 && i <= settings.againTries;
         ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.againPauseMs));
        const int next = connectTo(settings.againAt);
        if (next < 0) {
            logLine("caller " + id + " could not connect to " + settings.againAt);
            continue;
        }
        Channel channel(next);
        const auto againId = id + "-again-" + std::to_string(i);
        logLine("caller " + againId + " at " + settings.againAt + " takes up " + id + " after event "
            + std::to_string(outcome.lastEvent));
        ask(channel,
            encode(settings, settings.method, settings.path, againId,
                prompt + "Resumes: " + id + "\r\nLast-Event-Id: " + std::to_string(outcome.lastEvent) + "\r\n",
                settings.againLimitMs),
            settings.againLimitMs, outcome);
        logLine(describe(againId, settings.againAt, outcome));
    }
}

}

int main(int count, char** arguments)
{
    const Options options(count, arguments);
    Settings settings;
    settings.to = options.text("to");
    settings.againAt = options.text("again-at");
    settings.path = options.text("path");
    settings.lookUp = options.text("look-up");
    settings.method = options.text("method", "POST");
    settings.key = options.text("key");
    settings.prefix = options.text("prefix", "c");
    settings.limitMs = options.number("limit-ms", settings.limitMs);
    settings.againLimitMs = options.number("again-limit-ms", settings.againLimitMs);
    settings.againTries = options.number("again-tries", settings.againTries);
    settings.againPauseMs = options.number("again-pause-ms", 0);
    std::vector<std::thread> threads;
    for (int i = 1; i <= options.number("count", 1); ++i) {
        threads.emplace_back([&settings, i] { call(settings, i); });
        std::this_thread::sleep_for(std::chrono::milliseconds(options.number("pause-ms", 0)));
    }
    for (auto& thread : threads)
        thread.join();
}
