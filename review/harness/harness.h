// Stand-ins of the review's cases: a store, runners, callers, and the daemons as separate processes. POSIX only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline double seconds()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

/// Whether the case plays its disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Lines of record.txt.
class Record {
public:
    static Record& get()
    {
        static Record record;
        return record;
    }
    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%9.3f ", seconds());
        va_list list;
        va_start(list, format);
        std::vfprintf(m_file, format, list);
        va_end(list);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE* m_file = nullptr;
};

#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void cannotRun(const std::string& why)
{
    RECORD("cannot run: %s", why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A listening socket; a port of 0 takes a free one. Returns -1 if the address is in use.
inline int listenOn(const std::string& ip, int& port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort(const std::string& ip)
{
    int port = 0;
    const int fd = listenOn(ip, port);
    if (fd < 0)
        cannotRun("no free port on " + ip);
    close(fd);
    return port;
}

inline bool isSame(const std::string& left, const std::string& right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

struct Message {
    /// First line: of a request, or of a response.
    std::string start;
    Headers headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (isSame(key, name))
                return value;
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        for (const auto& entry : headers) {
            if (isSame(entry.first, name))
                return true;
        }
        return false;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// A connection with buffered reading.
class Channel {
public:
    explicit Channel(int fd = -1)
        : m_fd(fd)
    {
        const int yes = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~Channel() { shut(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    static std::unique_ptr<Channel> connectTo(const std::string& ip, int port, double timeout = 1.0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto address = addressOf(ip, port);
        if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            pollfd wait { fd, POLLOUT, 0 };
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                close(fd);
                return nullptr;
            }
        }
        return std::make_unique<Channel>(fd);
    }

    int fd() const { return m_fd; }
    void shut()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }
    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size > 0)
                sent += static_cast<std::size_t>(size);
            else if (size < 0 && errno == EAGAIN) {
                pollfd wait { m_fd, POLLOUT, 0 };
                if (poll(&wait, 1, 5000) != 1)
                    return false;
            } else
                return false;
        }
        return true;
    }
    enum class Got { Bytes, Closed, Reset, Timeout };
    /// Reads more bytes into the buffer.
    Got fill(double deadline)
    {
        pollfd wait { m_fd, POLLIN, 0 };
        const double left = deadline - seconds();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) < 1)
            return Got::Timeout;
        char buffer[16384];
        const auto size = recv(m_fd, buffer, sizeof buffer, 0);
        if (size < 0)
            return errno == EAGAIN ? Got::Bytes : Got::Reset;
        if (size == 0)
            return Got::Closed;
        m_buffer.append(buffer, static_cast<std::size_t>(size));
        return Got::Bytes;
    }
    /// Whether the peer closed the channel or sent bytes, without waiting.
    bool hasNews() const
    {
        pollfd wait { m_fd, POLLIN, 0 };
        return poll(&wait, 1, 0) == 1;
    }
    std::string& buffer() { return m_buffer; }

    /// Reads start line and headers.
    std::optional<Message> readHead(double deadline, Got* last = nullptr)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            const auto got = fill(deadline);
            if (last)
                *last = got;
            if (got != Got::Bytes)
                return std::nullopt;
        }
        Message message;
        std::istringstream text(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        while (std::getline(text, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const auto colon = line.find(':');
            auto value = line.substr(std::min(line.size(), colon + 1));
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? 0 : value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        return message;
    }
    /// Reads a body by length or chunks into @a message; false if it isn't whole.
    bool readBody(Message& message, double deadline, Got* last = nullptr)
    {
        const auto need = [&](std::size_t size) {
            while (m_buffer.size() < size) {
                const auto got = fill(deadline);
                if (last)
                    *last = got;
                if (got != Got::Bytes)
                    return false;
            }
            return true;
        };
        if (isSame(message.header("Transfer-Encoding"), "chunked")) {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!need(m_buffer.size() + 1))
                        return false;
                }
                const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                if (!need(size + 2))
                    return false;
                message.body += m_buffer.substr(0, size);
                m_buffer.erase(0, size + 2);
                if (size == 0)
                    return true;
            }
        }
        const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        if (!need(size))
            return false;
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    int m_fd;
    std::string m_buffer;
};

/// An HTTP server with a thread for each connection.
class Server {
public:
    /// Answers a request; false to close the channel.
    using Handler = std::function<bool(Channel&, const Message&)>;

    void start(const std::string& ip, Handler handler, int port = 0)
    {
        m_ip = ip;
        m_port = port;
        m_handler = std::move(handler);
        m_fd = listenOn(ip, m_port);
        if (m_fd < 0)
            cannotRun("an address is in use on " + ip);
        std::thread([this] {
            while (true) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    const std::string& ip() const { return m_ip; }
    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void serve(int fd)
    {
        Channel channel(fd);
        while (true) {
            auto request = channel.readHead(seconds() + 3600);
            if (!request || !channel.readBody(*request, seconds() + 30) || !m_handler(channel, *request))
                return;
        }
    }

    std::string m_ip;
    int m_port = 0;
    int m_fd = -1;
    Handler m_handler;
};

inline std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

/// The platform's metadata store: /kv-range, /kv-watch and /kv-key of PROTOCOL.md.
class Store {
public:
    void start(const std::string& ip)
    {
        m_server.start(ip, [this](Channel& channel, const Message& request) { return handle(channel, request); });
    }
    std::string address() const { return m_server.address(); }
    /// Writes an item and returns the time of the confirmation.
    double put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = { value, ++m_revision, false };
        m_changed.notify_all();
        RECORD("store: %s written at revision %llu", key.c_str(), static_cast<unsigned long long>(m_revision));
        return seconds();
    }
    double remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = { "", ++m_revision, true };
        m_changed.notify_all();
        RECORD("store: %s removed at revision %llu", key.c_str(), static_cast<unsigned long long>(m_revision));
        return seconds();
    }
    /// The copy from which restore() brings the store back.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_items;
        m_copyRevision = m_revision;
        RECORD("store: copied at revision %llu", static_cast<unsigned long long>(m_revision));
    }
    /// Brings the store back from the copy, in a new era.
    void restore()
    {
        const std::lock_guard lock(m_mutex);
        m_items = m_copy;
        m_revision = m_copyRevision;
        ++m_era;
        isDown = false;
        RECORD("store: back from the copy at revision %llu, era %llu", static_cast<unsigned long long>(m_revision),
            static_cast<unsigned long long>(m_era));
    }
    /// Ends a time that goDown() began.
    void comeBack()
    {
        isDown = false;
        RECORD("store: back");
    }
    /// Ends the watches that wait; no call is answered until restore() or isDown is reset.
    void goDown()
    {
        const std::lock_guard lock(m_mutex);
        isDown = true;
        m_changed.notify_all();
        RECORD("store: down");
    }
    /// While set, no call is answered and channels are closed: the store is down.
    std::atomic<bool> isDown { false };

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isRemoved = false;
    };

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }
    static std::string json(const std::string& key, const Item& item)
    {
        const auto revision = std::to_string(item.revision);
        if (item.isRemoved)
            return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"tombstone\":true}";
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value) + "\",\"revision\":" + revision
            + ",\"created\":" + revision + ",\"lease\":0}";
    }
    bool handle(Channel& channel, const Message& request)
    {
        if (isDown)
            return false;
        std::unique_lock lock(m_mutex);
        const auto target = request.target();
        std::string list;
        const auto add
            = [&](const std::string& key, const Item& item) { list += (list.empty() ? "" : ",") + json(key, item); };
        if (target.starts_with("/kv-range")) {
            const auto after = query(target, "after");
            for (const auto& [key, item] : m_items) {
                if (!item.isRemoved && key > after)
                    add(key, item);
            }
            list = "{\"items\":[" + list + "],\"hasMore\":false,\"storeRevision\":" + std::to_string(m_revision) + "}";
        } else if (target.starts_with("/kv-watch")) {
            const auto after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto headers = "Store-Era: " + std::to_string(m_era) + "\r\n";
            if (after > m_revision) {
                lock.unlock();
                return channel.send(answer(410, headers, ""));
            }
            const auto wait = std::chrono::milliseconds(std::atoi(query(target, "waitMs").c_str()));
            m_changed.wait_for(lock, wait, [&] { return m_revision > after || isDown; });
            if (isDown)
                return false;
            std::map<std::uint64_t, std::pair<std::string, Item>> events;
            for (const auto& [key, item] : m_items) {
                if (item.revision > after)
                    events[item.revision] = { key, item };
            }
            for (const auto& [revision, event] : events)
                add(event.first, event.second);
            list = "{\"events\":[" + list + "],\"storeRevision\":" + std::to_string(m_revision) + "}";
        } else {
            lock.unlock();
            return channel.send(answer(404, "", ""));
        }
        const auto headers = "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n";
        lock.unlock();
        return channel.send(answer(200, headers, list));
    }

    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    std::map<std::string, Item> m_copy;
    std::uint64_t m_copyRevision = 1;
};

/// What ran, by the ids of requests.
class Ledger {
public:
    void ran(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }
    int runs(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }

    long total()
    {
        const std::lock_guard lock(m_mutex);
        long sum = 0;
        for (const auto& entry : m_runs)
            sum += entry.second;
        return sum;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

inline std::string runnerEntry(const std::string& service, const std::string& address, const std::string& zone,
    int slots, const std::string& state = "ready")
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
        + "\",\"version\":1,\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state
        + "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1764890000000}";
}

/// One daemon, started as the deploy file says, restarted by the platform a second after it ends by itself.
class Daemon {
public:
    Daemon(std::string name, std::string ip, std::string zone)
        : name(std::move(name))
        , ip(std::move(ip))
        , zone(std::move(zone))
    {
        front = freePort(this->ip);
        ready = freePort(this->ip);
        metrics = freePort(this->ip);
    }

    /// Renders platform/settings.toml with the values of a small deployment.
    void render(
        const std::string& folder, const std::string& store, const std::vector<std::string>& seeds, int fleetPort)
    {
        std::ifstream file("platform/settings.toml");
        std::ostringstream text;
        text << file.rdbuf();
        auto settings = text.str();
        std::string list;
        for (const auto& seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        const std::vector<std::pair<std::string, std::string>> values = {
            { "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", list }, { "{{nodeName}}", name }, { "{{zone}}", zone },
            { "{{region}}", "tas-south" }, { "{{ip}}", ip }, { "{{listen.front}}", ip + ":" + std::to_string(front) },
            { "{{listen.ready}}", ip + ":" + std::to_string(ready) },
            { "{{internalPorts.1}}", std::to_string(metrics) }, { "{{platform.address}}", store },
            { "{{internalPorts.0}}", std::to_string(fleetPort) }, { "{{limits.linkMbps}}", "1000.0" },
            { "{{bounds.graceS}}", "8" }, { "{{bounds.configApplyMs}}", "2000" }, { "{{bounds.revokeMs}}", "5000" },
            { "{{bounds.retryBudgetRatio}}", "0.2" }, { "{{bounds.budgetExtra}}", "54" },
            { "{{bounds.budgetWindowS}}", "10" }, { "{{bounds.capMultiplier}}", "2" },
            { "{{faultTolerance.zones}}", "0" }, { "{{limits.memoryMb}}", "260" }, { "{{limits.maxFds}}", "4100" },
            { "{{#bounds.coldOverage}}cold_overage = {{bounds.coldOverage}}{{/bounds.coldOverage}}", "" },
            { "{{#bounds.coldSlack}}cold_slack = {{bounds.coldSlack}}{{/bounds.coldSlack}}", "" }
        };
        for (const auto& [from, to] : values) {
            for (auto at = settings.find(from); at != std::string::npos; at = settings.find(from, at + to.size()))
                settings.replace(at, from.size(), to);
        }
        if (settings.find("{{") != std::string::npos)
            cannotRun("a placeholder of platform/settings.toml is unknown");
        m_path = folder + "/" + name + ".toml";
        m_log = folder + "/" + name + ".log";
        std::ofstream(m_path) << settings;
    }
    void start()
    {
        pid = fork();
        if (pid == 0) {
            // No daemon outlives the case, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            const auto variable = "EELGRASSFORD_CONFIG=" + m_path;
            const char* const environment[]
                = { variable.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr };
            const char* const arguments[] = { "target/eelgrassfordd", "relay", nullptr };
            execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
            _exit(127);
        }
        RECORD("%s starts", name.c_str());
    }
    /// Notes whether the process ended by itself, and how.
    bool hasEnded()
    {
        int status = 0;
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid)
            return false;
        if (WIFEXITED(status) && WEXITSTATUS(status) == 127)
            cannotRun("target/eelgrassfordd is missing");
        ++ends;
        RECORD("%s ended by itself: %s %d", name.c_str(), WIFSIGNALED(status) ? "signal" : "exit code",
            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        pid = -1;
        return true;
    }
    void signal(int number) const
    {
        if (pid > 0)
            kill(pid, number);
    }
    void stop()
    {
        if (pid <= 0)
            return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
    bool isReady() const
    {
        const auto channel = Channel::connectTo(ip, ready);
        if (!channel || !channel->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto head = channel->readHead(seconds() + 1.0);
        return head && head->status() == 200;
    }
    std::string logPath() const { return m_log; }

    std::string name;
    std::string ip;
    std::string zone;
    int front = 0;
    int ready = 0;
    int metrics = 0;
    pid_t pid = -1;
    int ends = 0;
    double restartAt = 0;

private:
    std::string m_path;
    std::string m_log;
};

/// A small installation: the store and some daemons, in a temporary folder.
class Installation {
public:
    explicit Installation(int daemonCount, bool isOneZone = false)
    {
        const int base = 100 + static_cast<int>(getpid() % 100);
        prefix = "127." + std::to_string(base) + ".";
        char name[] = "/tmp/eelgrassford-review-XXXXXX";
        folder = mkdtemp(name);
        store.start(prefix + "0.1");
        std::vector<std::string> seeds;
        for (int i = 1; i <= daemonCount; ++i) {
            const auto ip = prefix + "1." + std::to_string(i);
            daemons.push_back(std::make_unique<Daemon>("edge-" + std::to_string(i), ip,
                "tas-south-" + std::string(1, static_cast<char>('a' + (isOneZone ? 0 : (i - 1) % 3)))));
            if (seeds.size() < 3)
                seeds.push_back(ip + ":" + std::to_string(daemons.back()->front));
        }
        const int fleetPort = freePort(prefix + "1.1");
        for (auto& daemon : daemons)
            daemon->render(folder, store.address(), seeds, fleetPort);
    }
    /// Ends all processes and the program; threads that serve channels are still running.
    [[noreturn]] void leave(int code)
    {
        for (auto& daemon : daemons)
            daemon->stop();
        const auto command = "rm -rf " + folder;
        if (std::system(command.c_str()) != 0)
            std::fprintf(stderr, "the temporary folder stays\n");
        RECORD("exit code %d", code);
        std::fflush(stdout);
        std::_Exit(code);
    }
    void startAll()
    {
        for (auto& daemon : daemons)
            daemon->start();
    }
    /// Starts daemons again that ended by themselves, half a second later, as the platform does.
    void restartEnded()
    {
        for (auto& daemon : daemons) {
            if (daemon->hasEnded())
                daemon->restartAt = seconds() + 0.5;
            if (daemon->pid < 0 && daemon->restartAt > 0 && seconds() > daemon->restartAt) {
                daemon->restartAt = 0;
                daemon->start();
            }
        }
    }
    void awaitReady(double timeout = 15.0)
    {
        const double until = seconds() + timeout;
        for (auto& daemon : daemons) {
            while (!daemon->isReady()) {
                if (seconds() > until)
                    cannotRun(daemon->name + " is not ready");
                sleepFor(0.05);
            }
        }
        RECORD("all daemons are ready");
    }

    std::string prefix;
    std::string folder;
    Store store;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

struct Reply {
    /// 0 without a whole answer.
    int status = 0;
    Message message;
};

/// One request on a channel of its own.
inline Reply ask(const Daemon& daemon, const std::string& head, const std::string& body, double timeout)
{
    Reply reply;
    const auto channel = Channel::connectTo(daemon.ip, daemon.front);
    if (!channel || !channel->send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return reply;
    const double until = seconds() + timeout;
    auto response = channel->readHead(until);
    if (!response || !channel->readBody(*response, until))
        return reply;
    reply.status = response->status();
    reply.message = std::move(*response);
    return reply;
}

/// The runners' digest: opaque to everything but callers.
inline const char* digest() { return "3e1b.07.5a2.600.0.c9f2a4d1"; }

/// How a daemon treated the requests of its kept channels, for the rule LOST.
struct Lost {
    std::atomic<long> sent { 0 }, whole { 0 }, refused { 0 }, unanswered { 0 };
    /// Passed on to a sound runner from a kept channel that was then closed without a whole answer.
    std::atomic<long> lost { 0 };
};

inline std::string limitsJson()
{
    return "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
           "15000}";
}

}
