#pragma once

#include "daemon/SystemClock.h"
#include "soak/LoopbackProxy.h"
#include "soak/Processes.h"
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassford::soak {

/// @brief Runs a simulated store, simulated runners and real daemons on loopback; proxies on the links to daemons,
/// runners and the store inject network faults.
class Installation {
public:
    struct Options {
        /// Directory of the built programs.
        std::filesystem::path programs;
        /// Directory for settings and logs.
        std::filesystem::path work;
        /// Second octet of all addresses (127.N.0.0/16), so that several installations can run at once.
        int secondOctet = 48;
        std::size_t daemonCount = 3;
        std::size_t runnerCount = 4;
    };

    Installation(asio::io_context& context, const Options& options);

    void startAll();
    void startDaemon(std::size_t daemon);
    /// Software version of a runner; two versions serve side by side.
    static std::string versionOf(std::size_t runner);
    void startRunner(std::size_t runner);
    /// @brief Publishes the next revision of the configuration with these API keys.
    /// @return whether the store accepted it
    bool publish(const std::vector<std::string>& keys);
    bool listRunner(std::size_t runner, std::string_view state);
    /// @brief Takes a data centre out of service, or returns it.
    /// @return whether the store accepted it
    bool setEvacuated(std::size_t dataCentre, bool isEvacuated);
    /// @brief Names of the runners in a data centre.
    std::vector<std::string> runnersIn(std::size_t dataCentre) const;
    /// @brief Ends the fault of a runner and lists its next lifetime as ready.
    void renewRunner(std::size_t runner);
    /// @brief Copies the data of the store, for restoreStore().
    bool saveStore();
    /// @brief Lets the store come back from the copy, and writes again what was published since: the configuration
    /// under its next revision, and the runners.
    bool restoreStore(const std::vector<std::string>& keys);
    bool setStoreFault(std::string_view name);
    bool setRunnerFault(std::size_t runner, std::string_view name);
    bool isReady(std::size_t daemon);

    /// @brief Ends all faults, resumes frozen processes and restarts those that have ended.
    void heal();

    Processes& processes() { return m_processes; }
    LoopbackProxy& callerLink(std::size_t daemon) { return *m_callerLinks[daemon]; }
    LoopbackProxy& storeLink(std::size_t daemon) { return *m_storeLinks[daemon]; }
    LoopbackProxy& runnerLink(std::size_t runner) { return *m_runnerLinks[runner]; }
    std::vector<asio::ip::tcp::endpoint> callerEndpoints() const;
    std::filesystem::path runLog() const { return m_options.work / "runs"; }
    const Options& options() const { return m_options; }

    static std::string daemonName(std::size_t daemon) { return "daemon-" + std::to_string(daemon + 1); }
    static std::string runnerName(std::size_t runner) { return "runner-" + std::to_string(runner + 1); }

private:
    enum class Subnet { Store = 0, Daemon = 1, Runner = 2, CallerLink = 3, StoreLink = 4, RunnerLink = 5 };

    asio::ip::tcp::endpoint endpoint(Subnet subnet, std::size_t index, std::uint16_t port) const;
    std::string address(Subnet subnet, std::size_t index, std::uint16_t port) const;
    void writeSettings(std::size_t daemon) const;
    std::string output(const std::string& name) const { return (m_options.work / (name + ".log")).string(); }
    /// Makes one HTTP request; false unless a response with status 200 arrives within a second.
    bool call(const asio::ip::tcp::endpoint& endpoint, std::string_view method, const std::string& target,
        const std::string& body = {});

    asio::io_context& m_context;
    Options m_options;
    Processes m_processes;
    std::vector<std::unique_ptr<LoopbackProxy>> m_callerLinks;
    std::vector<std::unique_ptr<LoopbackProxy>> m_storeLinks;
    std::vector<std::unique_ptr<LoopbackProxy>> m_runnerLinks;
    std::vector<std::uint64_t> m_incarnations;
    /// State of each runner as it was listed last.
    std::vector<std::string> m_runnerStates;
    /// Data centres that are out of service.
    std::set<std::size_t> m_evacuated;
    std::uint64_t m_revision = 0;
    /// Rises with each entry of a runner.
    std::uint64_t m_sequence = 0;
};

}
