#pragma once

// Starts a small installation on loopback: the project's daemons and its stand-ins as separate processes, and callers
// in this process. POSIX sockets and threads only.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline double nowMs() { return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count(); }
inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }
inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// What was sent, answered and run, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(nowMs())
    {
    }
    void line(const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        std::array<char, 32> time {};
        std::snprintf(time.data(), time.size(), "%9.1f ", nowMs() - m_start);
        m_file << time.data() << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    double m_start;
};

struct Answer {
    /// 0 if the channel ended before a status.
    int status = 0;
    Headers headers;
    std::string body;
    /// The body ended as its framing says.
    bool isComplete = false;
    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

/// One channel to a server; sends one request after another.
class Channel {
public:
    Channel(std::string ip, int port)
        : m_ip(std::move(ip))
        , m_port(port)
    {
    }
    ~Channel() { close(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
        m_buffer.clear();
    }
    bool isOpen() const { return m_socket >= 0; }
    bool connect()
    {
        close();
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_port));
        inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
        const int one = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            close();
            return false;
        }
        return true;
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
    /// Sends a request and reads its answer.
    Answer ask(const std::string& method, const std::string& target, const Headers& headers, const std::string& body,
        double timeoutMs)
    {
        Answer answer;
        if (!isOpen() && !connect())
            return answer;
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        if (!body.empty() || method != "GET")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        m_deadline = nowMs() + timeoutMs;
        if (!send(text) || !readAnswer(answer) || strcasecmp(answer.header("Connection").c_str(), "close") == 0)
            close();
        return answer;
    }

private:
    bool fill()
    {
        pollfd state { m_socket, POLLIN, 0 };
        const auto left = m_deadline - nowMs();
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left) + 1) <= 0)
            return false;
        std::array<char, 16384> bytes;
        const auto size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
        return true;
    }
    bool readLine(std::string& line)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }
    bool readBytes(std::size_t size, std::string& into)
    {
        while (m_buffer.size() < size) {
            if (!fill()) {
                into += m_buffer;
                return false;
            }
        }
        into += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool readAnswer(Answer& answer)
    {
        std::string line;
        if (!readLine(line) || line.size() < 12)
            return false;
        answer.status = std::atoi(line.c_str() + 9);
        while (readLine(line) && !line.empty()) {
            const auto colon = line.find(':');
            auto value = line.substr(std::min(line.size(), colon + 1));
            value.erase(0, value.find_first_not_of(' '));
            answer.headers.emplace_back(line.substr(0, colon), value);
        }
        if (answer.header("Transfer-Encoding") == "chunked") {
            while (readLine(line)) {
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (!readBytes(size, answer.body) || !readLine(line))
                    return false;
                if (size == 0)
                    return answer.isComplete = true;
            }
            return false;
        }
        const auto length = std::strtoul(answer.header("Content-Length").c_str(), nullptr, 10);
        return answer.isComplete = readBytes(length, answer.body);
    }

    std::string m_ip;
    int m_port;
    int m_socket = -1;
    std::string m_buffer;
    double m_deadline = 0;
};

constexpr int storePort = 9000;
constexpr int callerPort = 8000;
constexpr int readyPort = 8001;
constexpr int runnerPort = 8000;
constexpr int fleetPort = 7340;

/// The processes of one installation.
class Installation {
public:
    /// @param folder of the case, for record.txt
    explicit Installation(const std::string& folder)
        : record(folder + "/record.txt")
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_work = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        mkdtemp(m_work.data());
        for (m_net = 70 + static_cast<int>(getpid() % 100); !isFree(store(), storePort); ++m_net) { }
    }
    ~Installation()
    {
        stopHeartbeats();
        for (const auto& [process, pid] : m_pids) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        if (std::getenv("KEEP"))
            std::printf("logs in %s\n", m_work.c_str());
        else
            std::system(("rm -rf " + m_work).c_str());
    }
    Installation(const Installation&) = delete;
    Installation& operator=(const Installation&) = delete;

    std::string store() const { return ip(0, 1); }
    std::string daemon(int number) const { return ip(1, number); }
    std::string runner(int number) const { return ip(2, number); }
    std::string logOf(const std::string& process) const
    {
        std::ifstream file(m_work + "/" + process + ".log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    void start(const std::string& process, const std::vector<std::string>& command, const std::string& settings = {})
    {
        const auto log = m_work + "/" + process + ".log";
        const auto pid = ::fork();
        if (pid == 0) {
            // No process outlives the case.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            if (!settings.empty())
                ::setenv("EELGRASSFORD_CONFIG", settings.c_str(), 1);
            std::vector<char*> arguments;
            for (const auto& word : command)
                arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        m_pids[process] = pid;
    }
    void kill(const std::string& process)
    {
        ::kill(m_pids.at(process), SIGKILL);
        ::waitpid(m_pids.at(process), nullptr, 0);
        m_pids.erase(process);
    }
    void signal(const std::string& process, int number) { ::kill(m_pids.at(process), number); }
    /// Whether a process ended by itself; describes how.
    bool hasEnded(const std::string& process, std::string& how)
    {
        const auto found = m_pids.find(process);
        int status = 0;
        if (found == m_pids.end() || ::waitpid(found->second, &status, WNOHANG) <= 0)
            return false;
        m_pids.erase(found);
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit code " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    void startStore() { start("store", { standins(), "store", "--listen", address(store(), storePort) }); }
    void startRunner(int number, const std::vector<std::string>& more = {})
    {
        std::vector<std::string> command { standins(), "runner", "--listen", address(runner(number), runnerPort),
            "--name", "i-" + std::to_string(number) };
        command.insert(command.end(), more.begin(), more.end());
        start("runner-" + std::to_string(number), command);
    }
    /// Settings as platform/settings.toml renders them for a host of a small site.
    void startDaemon(int number)
    {
        const auto path = m_work + "/daemon-" + std::to_string(number) + ".toml";
        std::ofstream(path) << "host = \"edge-" << number
                            << "\"\ndata_centre = \"south-a\"\nregion = \"south\"\nip = \"" << daemon(number)
                            << "\"\n[listen]\ncallers = \"" << address(daemon(number), callerPort) << "\"\nadmin = \""
                            << address(daemon(number), readyPort)
                            << "\"\nreadiness_path = \"/readiness\"\n[store]\naddress = \""
                            << address(store(), storePort) << "\"\n[fleet]\nport = " << fleetPort
                            << "\nlink_megabits = 1000.0\ndata_centre_losses = 0\nseeds = [\"" << daemon(1)
                            << ":8229\",\"" << daemon(2) << ":8229\",\"" << daemon(3) << ":8229\"]\n"
                            << "[stop]\ngrace_seconds = 8\n[configuration]\napply_milliseconds = 2000\n"
                            << "[credentials]\nrevocation_milliseconds = 5000\n[retries]\nratio = 0.2\nallowance = 54\n"
                            << "window_seconds = 10\n[runners]\nload_bound = 2\n[memory]\nlimit_megabytes = 260\n"
                            << "max_descriptors = 4100\n";
        start("daemon-" + std::to_string(number), { "target/eelgrassfordd", "relay" }, path);
    }

    bool put(const std::string& key, const std::string& value) { return call(storeTarget(key), "PUT", value); }
    bool remove(const std::string& key) { return call(storeTarget(key), "DELETE", ""); }
    bool storeCommand(const std::string& target) { return call(target, "GET", ""); }
    bool runnerCommand(int number, const std::string& target)
    {
        return Channel(runner(number), runnerPort).ask("GET", target, { { "Host", "x" } }, "", 2000).status == 200;
    }

    bool waitFor(const std::string& what, double limitMs, const std::function<bool()>& condition)
    {
        const auto end = nowMs() + limitMs;
        while (nowMs() < end) {
            if (condition())
                return true;
            sleepMs(30);
        }
        record.line("never: " + what);
        return false;
    }
    bool isReady(int number)
    {
        return Channel(daemon(number), readyPort).ask("GET", "/readiness", { { "Host", "x" } }, "", 500).status == 200;
    }
    bool isStoreUp()
    {
        return Channel(store(), storePort).ask("GET", "/calls", { { "Host", "x" } }, "", 500).status == 200;
    }

    /// The entry that a runner writes of itself, anew with each heartbeat.
    struct Entry {
        std::string service;
        std::string version;
        std::string state = "ready";
        long long born = 1;
    };
    /// Writes the entry now, and then with each heartbeat.
    bool list(int number, const Entry& entry)
    {
        const std::scoped_lock lock(m_entriesMutex);
        m_entries[number] = entry;
        return write(number);
    }
    /// The process has ended; its entry stays as it is.
    void stopListing(int number)
    {
        const std::scoped_lock lock(m_entriesMutex);
        m_entries.erase(number);
    }
    void startHeartbeats()
    {
        m_heart = std::thread([this] {
            // Each writes every 1.2 s, at times of its own.
            for (int turn = 0; !m_isStopping; ++turn) {
                sleepMs(100);
                const std::scoped_lock lock(m_entriesMutex);
                for (const auto& [number, entry] : m_entries) {
                    if (number * 3 % 12 == turn % 12)
                        write(number);
                }
            }
        });
    }
    void stopHeartbeats()
    {
        m_isStopping = true;
        if (m_heart.joinable())
            m_heart.join();
    }
    static std::string address(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }
    static std::string standins() { return "target/eelgrassford-standins"; }

    Record record;

private:
    std::string ip(int group, int number) const
    {
        return "127." + std::to_string(m_net) + "." + std::to_string(group) + "." + std::to_string(number);
    }
    static bool isFree(const std::string& ip, int port)
    {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const bool result = ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        return result;
    }
    static std::string storeTarget(const std::string& key) { return "/item/" + key; }
    bool call(const std::string& target, const std::string& method, const std::string& body)
    {
        return Channel(store(), storePort).ask(method, target, { { "Host", "x" } }, body, 2000).status == 200;
    }
    bool write(int number)
    {
        const auto& entry = m_entries.at(number);
        std::ostringstream text;
        text << R"({"service":")" << entry.service << R"(","address":")" << address(runner(number), runnerPort)
             << R"(","zone":"south-a","slots":64,"state":")" << entry.state << R"(","version":")" << entry.version
             << R"(","coldRemainingMs":0,"sequence":)" << ++m_sequence << R"(,"born":)" << entry.born << "}";
        return put("servers/i-" + std::to_string(number), text.str());
    }

    std::string m_work;
    int m_net = 0;
    std::map<std::string, pid_t> m_pids;
    std::mutex m_entriesMutex;
    std::map<int, Entry> m_entries;
    int m_sequence = 0;
    std::thread m_heart;
    std::atomic<bool> m_isStopping = false;
};

/// A configuration with one service of streams and one of bookings.
inline std::string configuration(int version, const std::string& keys)
{
    std::ostringstream text;
    text
        << R"({"version":)" << version << R"(,"routes":[)"
        << R"({"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false},)"
        << R"({"name":"look","host":"a.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false},)"
        << R"({"name":"report","host":"a.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapTargetMs":400}],)"
        << R"("services":[{"name":"pool","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":546534,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":5,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},)"
        << R"({"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],)"
        << R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
        << R"("tenants":[{"name":"yard","apiKeys":[)" << keys << "]}]}";
    return text.str();
}

/// Headers of a request for a stream.
inline Headers streamHeaders(const std::string& id, const std::string& key, int session)
{
    // A part that all share, one that a few share, and the session's own.
    std::array<char, 64> parts {};
    std::snprintf(parts.data(), parts.size(), "5c1e07a2:100,%x:400,%x:300", 0x7000 + session % 12, 0x100000 + session);
    return { { "Host", "a.example" }, { "X-Attempt-Id", id }, { "X-Model", "m" }, { "X-Token-Usage", "800,200" },
        { "X-Prompt-Prefix", parts.data() }, { "X-Deadline-Ms", "15000" }, { "X-Key", key } };
}

}
