#pragma once

#include "fleet/StreamDirectory.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>

namespace eelgrassford::tests {

/// Directories of several daemons, and datagrams between them, some of which are lost.
class DirectoryFleet {
public:
    explicit DirectoryFleet(std::size_t count, double loss = 0.0, std::uint64_t seed = 1)
        : m_loss(loss)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_ips.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1));
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
    }

    fleet::StreamDirectory& daemon(std::size_t index) { return *m_daemons.at(m_ips[index]); }
    const std::string& ip(std::size_t index) const { return m_ips[index]; }

    void kill(std::size_t index) { m_daemons.erase(m_ips[index]); }
    void restart(std::size_t index)
    {
        m_daemons[m_ips[index]]
            = std::make_unique<fleet::StreamDirectory>(m_ips[index], m_random(), fleet::StreamDirectory::Options {});
        auto others = m_ips;
        std::erase(others, m_ips[index]);
        daemon(index).setMembers(others);
    }
    /// A daemon learns that another one has ended.
    void forget(std::size_t index, const std::vector<std::size_t>& ended)
    {
        std::vector<std::string> others;
        for (std::size_t i = 0; i < m_ips.size(); ++i) {
            if (i != index && std::find(ended.begin(), ended.end(), i) == ended.end())
                others.push_back(m_ips[i]);
        }
        daemon(index).setMembers(others);
    }

    void deliver(const std::string& from, const std::vector<fleet::StreamDirectory::Outgoing>& outgoing)
    {
        for (const auto& datagram : outgoing) {
            m_bytes += datagram.bytes.size();
            const auto to = m_daemons.find(datagram.ip);
            if (to == m_daemons.end() || std::uniform_real_distribution<double>()(m_random) < m_loss)
                continue;
            const auto message = fleet::decode(datagram.bytes);
            REQUIRE(message);
            if (const auto* list = std::get_if<fleet::StreamOriginList>(&*message))
                to->second->receive(*list, now);
            else if (const auto* question = std::get_if<fleet::StreamQuestion>(&*message))
                deliver(datagram.ip, to->second->receive(from, *question, now));
            else if (const auto* answer = std::get_if<fleet::StreamAnswer>(&*message)) {
                m_lastDepartures = answer->departures;
                deliver(datagram.ip, to->second->receive(from, *answer, now));
            }
        }
    }

    void publish(
        std::size_t index, dispatch::StreamOrigin origin, dispatch::OriginCopies copies = dispatch::OriginCopies::Few)
    {
        const std::vector<dispatch::StreamOrigin> origins { origin };
        deliver(m_ips[index], daemon(index).publish(origins, copies, now));
    }

    /// Asks, and lets time pass until the question is concluded.
    std::optional<std::uint64_t> find(std::size_t index, dispatch::StreamKey stream)
    {
        std::optional<std::uint64_t> result;
        int conclusions = 0;
        deliver(m_ips[index],
            daemon(index).find(
                stream,
                [&](std::optional<std::uint64_t> software) {
                    result = software;
                    ++conclusions;
                },
                now));
        for (int tick = 0; tick < 8; ++tick) {
            now += std::chrono::milliseconds(75);
            deliver(m_ips[index], daemon(index).tick(now));
        }
        CHECK(conclusions == 1);
        return result;
    }

    TimePoint now { std::chrono::seconds(1000) };
    std::size_t bytes() const { return m_bytes; }
    /// What the last answer told of runners that left.
    const std::vector<runners::Departure>& lastDepartures() const { return m_lastDepartures; }

private:
    double m_loss;
    std::mt19937_64 m_random;
    std::vector<std::string> m_ips;
    std::map<std::string, std::unique_ptr<fleet::StreamDirectory>> m_daemons;
    std::size_t m_bytes = 0;
    std::vector<runners::Departure> m_lastDepartures;
};

}
