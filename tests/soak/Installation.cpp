#include "soak/Installation.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace eelgrassford::soak {

namespace {

    using asio::ip::tcp;
    using Json = nlohmann::json;

    constexpr std::uint16_t trafficPort = 8000;
    constexpr std::uint16_t adminPort = 8001;
    constexpr std::uint16_t storePort = 9000;
    constexpr int runnerSlots = 8;

    std::string dataCentreName(std::size_t index) { return "south-" + std::to_string(index + 1); }

    Json route(const char* name, const char* prefix, const char* kind, int attempts)
    {
        return { { "name", name }, { "host", "a.example" }, { "pathPrefix", prefix }, { "kind", kind },
            { "timeoutMs", 5000 }, { "targetLatencyMs", 2000 }, { "service", "pool" }, { "maxAttempts", attempts },
            { "streamResume", true } };
    }

}

Installation::Installation(asio::io_context& context, const Options& options)
    : m_context(context)
    , m_options(options)
    , m_incarnations(options.runnerCount, 1)
    , m_runnerStates(options.runnerCount, "ready")
{
    std::filesystem::create_directories(m_options.work);
    for (std::size_t i = 0; i < m_options.daemonCount; ++i) {
        m_callerLinks.push_back(std::make_unique<LoopbackProxy>(
            m_context, endpoint(Subnet::CallerLink, i, trafficPort), endpoint(Subnet::Daemon, i, trafficPort)));
        m_storeLinks.push_back(std::make_unique<LoopbackProxy>(
            m_context, endpoint(Subnet::StoreLink, i, storePort), endpoint(Subnet::Store, 0, storePort)));
        writeSettings(i);
    }
    for (std::size_t i = 0; i < m_options.runnerCount; ++i)
        m_runnerLinks.push_back(std::make_unique<LoopbackProxy>(
            m_context, endpoint(Subnet::RunnerLink, i, trafficPort), endpoint(Subnet::Runner, i, trafficPort)));
}

tcp::endpoint Installation::endpoint(Subnet subnet, std::size_t index, std::uint16_t port) const
{
    const auto ip = "127." + std::to_string(m_options.secondOctet) + "." + std::to_string(static_cast<int>(subnet))
        + "." + std::to_string(index + 1);
    return { asio::ip::make_address(ip), port };
}

std::string Installation::address(Subnet subnet, std::size_t index, std::uint16_t port) const
{
    return endpoint(subnet, index, port).address().to_string() + ":" + std::to_string(port);
}

std::vector<tcp::endpoint> Installation::callerEndpoints() const
{
    std::vector<tcp::endpoint> result;
    for (std::size_t i = 0; i < m_options.daemonCount; ++i)
        result.push_back(endpoint(Subnet::CallerLink, i, trafficPort));
    return result;
}

void Installation::writeSettings(std::size_t daemon) const
{
    const auto zone = dataCentreName(daemon);
    std::ofstream file(m_options.work / (daemonName(daemon) + ".toml"));
    file << "host = \"entry-" << daemon + 1 << "\"\ndata_centre = \"" << zone << "\"\nregion = \"south\"\n"
         << "ip = \"" << endpoint(Subnet::Daemon, daemon, 0).address().to_string() << "\"\n[listen]\n"
         << "callers = \"" << address(Subnet::Daemon, daemon, trafficPort) << "\"\n"
         << "admin = \"" << address(Subnet::Daemon, daemon, adminPort) << "\"\nreadiness_path = \"/ready\"\n"
         << "[store]\naddress = \"" << address(Subnet::StoreLink, daemon, storePort) << "\"\n"
         << "[fleet]\nport = 7340\nseeds = [\"" << address(Subnet::Daemon, 0, 1) << "\", \""
         << address(Subnet::Daemon, 1, 1) << "\"]\n[stop]\ngrace_seconds = 6\n[retries]\nratio = 0.2\nallowance = 54\n";
}

void Installation::startAll()
{
    m_processes.start("store",
        { (m_options.programs / "eelgrassford-standins").string(), "store", "--listen",
            address(Subnet::Store, 0, storePort) },
        output("store"));
    for (std::size_t i = 0; i < m_options.runnerCount; ++i)
        startRunner(i);
    for (std::size_t i = 0; i < m_options.daemonCount; ++i)
        startDaemon(i);
}

void Installation::startDaemon(std::size_t daemon)
{
    const auto name = daemonName(daemon);
    m_processes.start(name,
        { (m_options.programs / "eelgrassfordd").string(), "relay", "--settings",
            (m_options.work / (name + ".toml")).string() },
        output(name));
}

std::string Installation::versionOf(std::size_t runner) { return runner % 2 == 0 ? "v1" : "v2"; }

void Installation::startRunner(std::size_t runner)
{
    const auto name = runnerName(runner);
    m_processes.start(name,
        { (m_options.programs / "eelgrassford-standins").string(), "runner", "--listen",
            address(Subnet::Runner, runner, trafficPort), "--name", name, "--run-log", runLog().string(), "--version",
            versionOf(runner) },
        output(name));
}

bool Installation::call(
    const tcp::endpoint& to, std::string_view method, const std::string& target, const std::string& body)
{
    // Runs on a separate event loop, so the proxies forward nothing until the exchange has ended.
    asio::io_context context;
    tcp::socket socket(context);
    std::string answer;
    asio::error_code result = asio::error::would_block;
    const auto request = std::string(method) + " " + target
        + " HTTP/1.1\r\nHost: soak\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
    socket.async_connect(to, [&](const asio::error_code& error) {
        result = error;
        if (error)
            return;
        asio::async_write(socket, asio::buffer(request), [&](const asio::error_code&, std::size_t) {
            asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n",
                [&](const asio::error_code& readError, std::size_t) { result = readError; });
        });
    });
    context.run_for(std::chrono::seconds(1));
    return !result && answer.starts_with("HTTP/1.1 200");
}

bool Installation::publish(const std::vector<std::string>& keys)
{
    ++m_revision;
    const Json configuration = { { "version", m_revision },
        { "routes",
            { route("book", "/book/", "non_idempotent", 2), route("look", "/look/", "idempotent", 2),
                route("stream", "/stream/", "streaming", 2) } },
        { "services", { { { "name", "pool" }, { "healthPath", "/health" }, { "maxConnections", 100 } } } },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 65536 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "yard" }, { "apiKeys", keys } } } } };
    return call(endpoint(Subnet::Store, 0, storePort), "PUT", "/item/op/config", configuration.dump());
}

bool Installation::listRunner(std::size_t runner, std::string_view state)
{
    const Json entry = { { "service", "pool" }, { "address", address(Subnet::RunnerLink, runner, trafficPort) },
        { "zone", dataCentreName(runner % m_options.daemonCount) }, { "slots", runnerSlots }, { "state", state },
        { "coldRemainingMs", 0 }, { "sequence", ++m_sequence }, { "born", m_incarnations[runner] },
        { "version", versionOf(runner) } };
    m_runnerStates[runner] = state;
    return call(endpoint(Subnet::Store, 0, storePort), "PUT", "/item/servers/" + runnerName(runner), entry.dump());
}

bool Installation::setEvacuated(std::size_t dataCentre, bool isEvacuated)
{
    if (isEvacuated)
        m_evacuated.insert(dataCentre);
    else
        m_evacuated.erase(dataCentre);
    return call(endpoint(Subnet::Store, 0, storePort), isEvacuated ? "PUT" : "DELETE",
        "/item/op/evacuate/" + dataCentreName(dataCentre), isEvacuated ? "{}" : "");
}

std::vector<std::string> Installation::runnersIn(std::size_t dataCentre) const
{
    std::vector<std::string> result;
    for (auto runner = dataCentre; runner < m_options.runnerCount; runner += m_options.daemonCount)
        result.push_back(runnerName(runner));
    return result;
}

void Installation::renewRunner(std::size_t runner)
{
    setRunnerFault(runner, "none");
    ++m_incarnations[runner];
    listRunner(runner, "ready");
}

bool Installation::saveStore() { return call(endpoint(Subnet::Store, 0, storePort), "GET", "/save"); }

bool Installation::restoreStore(const std::vector<std::string>& keys)
{
    bool isDone = call(endpoint(Subnet::Store, 0, storePort), "GET", "/restore") && publish(keys);
    for (std::size_t i = 0; i < m_options.runnerCount; ++i)
        isDone = listRunner(i, std::string(m_runnerStates[i])) && isDone;
    // The copy may lack an evacuation, or hold one that has ended.
    for (std::size_t i = 0; i < m_options.daemonCount; ++i)
        isDone = setEvacuated(i, m_evacuated.contains(i)) && isDone;
    return isDone;
}

bool Installation::setStoreFault(std::string_view name)
{
    return call(endpoint(Subnet::Store, 0, storePort), "GET", "/fault?name=" + std::string(name));
}

bool Installation::setRunnerFault(std::size_t runner, std::string_view name)
{
    return call(endpoint(Subnet::Runner, runner, trafficPort), "GET", "/fault?name=" + std::string(name));
}

bool Installation::isReady(std::size_t daemon)
{
    return call(endpoint(Subnet::Daemon, daemon, adminPort), "GET", "/ready");
}

void Installation::heal()
{
    m_processes.signal("store", SIGCONT);
    setStoreFault("none");
    for (std::size_t i = 0; i < m_options.daemonCount; ++i)
        setEvacuated(i, false);
    for (std::size_t i = 0; i < m_options.runnerCount; ++i) {
        m_processes.signal(runnerName(i), SIGCONT);
        m_runnerLinks[i]->setState({});
        if (!m_processes.isRunning(runnerName(i)))
            startRunner(i);
        else
            setRunnerFault(i, "none");
        ++m_incarnations[i];
        listRunner(i, "ready");
    }
    for (std::size_t i = 0; i < m_options.daemonCount; ++i) {
        m_processes.signal(daemonName(i), SIGCONT);
        m_callerLinks[i]->setState({});
        m_storeLinks[i]->setState({});
        if (!m_processes.isRunning(daemonName(i)))
            startDaemon(i);
    }
}

}
