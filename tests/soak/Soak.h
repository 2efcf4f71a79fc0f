#pragma once

#include "soak/Caller.h"
#include "soak/Checks.h"
#include "soak/Installation.h"
#include "soak/Schedule.h"
#include <iosfwd>

namespace eelgrassford::soak {

/// @brief Plays one seed: callers send while a schedule of steps disturbs the installation; then all is healed, and
/// what callers and runners saw is checked.
class Soak {
public:
    struct Options {
        Installation::Options installation;
        std::uint64_t seed = 1;
        std::chrono::milliseconds length { 15000 };
        std::size_t callers = 12;
    };

    Soak(const Options& options, std::ostream& output);

    /// @return whether every promise was kept
    bool play();

private:
    using Milliseconds = std::chrono::milliseconds;

    /// Runs the loop until something has come true; false if it has not within a limit that only ends a soak that
    /// hangs.
    bool waitFor(const std::function<bool()>& isDone);
    void runFor(Milliseconds time);
    void startCallers();
    void perform(const Step& step);
    void after(Milliseconds delay, std::function<void()> action);
    void stopDaemon(std::size_t daemon);
    void restartWhenEnded(std::size_t daemon);
    void replaceKey();
    void silence(LoopbackProxy& link, const LinkState& state, Milliseconds duration);
    void recover();
    /// Whether a daemon is ready; starts one that had ended.
    bool isBack(std::size_t daemon);
    void summarize(std::size_t steps);
    void stopAll();
    void report(const std::string& line);

    Options m_options;
    std::ostream& m_output;
    asio::io_context m_context;
    Installation m_installation;
    Evidence m_evidence;
    std::vector<std::string> m_broken;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::vector<std::string> m_keys { "key-1" };
    /// The key that callers use; keys that were added are used a while after their publication.
    std::string m_key = "key-1";
    std::string m_pastKey;
    bool m_isHealing = false;
};

}
