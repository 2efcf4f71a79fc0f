#pragma once

#include "soak/Caller.h"
#include "soak/Checks.h"
#include "soak/Installation.h"
#include "soak/Schedule.h"
#include <iosfwd>

namespace eelgrassford::soak {

/// @brief Runs one seed: callers send requests while scheduled operations and faults act on the installation; then all
/// faults end, and the observations of callers and runners are checked.
class Soak {
public:
    struct Options {
        Installation::Options installation;
        std::uint64_t seed = 1;
        /// Duration of the schedule.
        std::chrono::milliseconds length { 15000 };
        /// Callers that send requests at the same time; the last one keeps using revoked keys.
        std::size_t callerCount = 12;
    };

    Soak(const Options& options, std::ostream& output);

    /// @return whether no guarantee was violated
    bool run();

private:
    using Milliseconds = std::chrono::milliseconds;

    /// Runs the event loop until a condition holds; false if it does not within a limit that only guards against
    /// hanging.
    bool waitFor(const std::function<bool()>& isDone);
    void runFor(Milliseconds time);
    void startCallers();
    void perform(const Step& step);
    void scheduleAfter(Milliseconds delay, std::function<void()> action);
    void stopDaemon(std::size_t daemon);
    void restartWhenEnded(std::size_t daemon);
    void replaceKey();
    void evacuate(std::size_t dataCentre, Milliseconds duration);
    void setLinkStateFor(LoopbackProxy& link, const LinkState& state, Milliseconds duration);
    void recover();
    /// Whether a daemon is ready; restarts one that has ended.
    bool isReadyAgain(std::size_t daemon);
    void printSummary(std::size_t steps);
    void stopAll();
    void report(const std::string& line);

    Options m_options;
    std::ostream& m_output;
    asio::io_context m_context;
    Installation m_installation;
    Observations m_observations;
    std::vector<std::string> m_violations;
    std::vector<std::shared_ptr<Caller>> m_callers;
    /// Data centres that are evacuated now, with their places in the observations.
    std::map<std::size_t, std::size_t> m_evacuations;
    /// Keys in the published configuration.
    std::vector<std::string> m_keys { "key-1" };
    /// The key that callers use; a new key is used only once it has had time to reach every daemon.
    std::string m_currentKey = "key-1";
    /// The key revoked last; empty if there is none.
    std::string m_revokedKey;
    bool m_isRecovering = false;
};

}
