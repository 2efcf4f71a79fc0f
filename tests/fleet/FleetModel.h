#pragma once

#include "fleet/Gossip.h"
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassford::tests {

/// A fleet of daemons that exchange gossip over a simulated network; seeded, without sockets or clocks.
class FleetModel {
public:
    static constexpr Duration stepTime = std::chrono::milliseconds(75);

    struct Daemon {
        std::string ip;
        std::unique_ptr<fleet::Gossip> gossip;
        fleet::LocalState state;
        bool isUp = true;
        std::uint64_t incarnation = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedBytes = 0;
        std::uint64_t sentMessages = 0;
        /// Newest proof that a message brought.
        std::optional<TimePoint> provenAt;
        /// Limits of runners that messages brought.
        std::vector<fleet::RunnerStatement> receivedLimits;
    };

    FleetModel(std::size_t size, std::uint64_t seed, const fleet::Gossip::Options& options = {});

    /// Starts a daemon anew, with the seeds and nothing else.
    void start(std::size_t index);
    void stop(std::size_t index) { m_daemons[index].isUp = false; }
    /// Advances the time; each message takes one step or, if it is delayed, some more.
    void run(Duration time);
    void step();
    /// Sets the load that a daemon reports for one runner.
    void setLoad(std::size_t index, fleet::RunnerKey runner, std::uint32_t inFlight);
    /// Drops all messages between the two groups while set; the first holds the daemons below the index.
    void setPartition(std::optional<std::size_t> firstOfSecondGroup) { m_partition = firstOfSecondGroup; }
    void setLoss(double share) { m_loss = share; }
    void setDuplication(double share) { m_duplication = share; }
    /// Share of the messages that are delayed by up to a second.
    void setDelays(double share) { m_delays = share; }

    /// Requests in flight that a daemon believes the others to have at a runner.
    std::uint32_t believedLoad(std::size_t index, fleet::RunnerKey runner) const;
    /// The requests that the other running daemons have there.
    std::uint32_t trueLoad(std::size_t index, fleet::RunnerKey runner) const;
    /// Running daemons whose belief about a runner is the truth.
    std::size_t countExact(fleet::RunnerKey runner) const;
    std::size_t countUp() const;
    void resetCounts();

    std::vector<Daemon>& daemons() { return m_daemons; }
    const std::vector<Daemon>& daemons() const { return m_daemons; }
    TimePoint now() const { return m_now; }

private:
    struct InTransit {
        std::size_t from = 0;
        std::size_t to = 0;
        TimePoint dueAt {};
        std::string bytes;
    };

    void send(std::size_t from, const fleet::Gossip::Outgoing& outgoing);
    void deliver(const InTransit& message);
    bool isCut(std::size_t from, std::size_t to) const;
    double draw() { return std::uniform_real_distribution<double>()(m_random); }

    std::mt19937_64 m_random;
    fleet::Gossip::Options m_options;
    std::vector<Daemon> m_daemons;
    std::map<std::string, std::size_t> m_byIp;
    std::vector<std::string> m_seeds;
    std::vector<InTransit> m_inTransit;
    /// The last message that was decoded.
    std::string m_decodedBytes;
    fleet::Message m_decoded;
    TimePoint m_now { std::chrono::seconds(1000) };
    std::optional<std::size_t> m_partition;
    double m_loss = 0.0;
    double m_duplication = 0.0;
    double m_delays = 0.0;
    std::uint64_t m_nextIncarnation = 1;
};

}
