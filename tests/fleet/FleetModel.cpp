#include "fleet/FleetModel.h"

#include <algorithm>

namespace eelgrassford::tests {

namespace {

    /// Seeds of every daemon; the first address belongs to none.
    constexpr const char* staleSeed = "10.9.9.9";

}

FleetModel::FleetModel(std::size_t size, std::uint64_t seed, const fleet::Gossip::Options& options)
    : m_random(seed)
    , m_options(options)
    , m_daemons(size)
{
    for (std::size_t i = 0; i < size; ++i) {
        m_daemons[i].ip
            = "10." + std::to_string(i % 5 + 1) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        m_byIp[m_daemons[i].ip] = i;
    }
    m_seeds = { staleSeed, m_daemons[0].ip, m_daemons[size / 2].ip };
    for (std::size_t i = 0; i < size; ++i)
        start(i);
}

void FleetModel::start(std::size_t index)
{
    auto& daemon = m_daemons[index];
    daemon.isUp = true;
    daemon.incarnation = m_nextIncarnation++;
    daemon.provenAt.reset();
    daemon.gossip = std::make_unique<fleet::Gossip>(
        fleet::GossipIdentity { daemon.ip, "region", daemon.incarnation }, m_options, [this] { return draw(); });
    daemon.gossip->addSeeds(m_seeds, m_now);
}

void FleetModel::run(Duration time)
{
    for (const auto end = m_now + time; m_now < end;)
        step();
}

void FleetModel::step()
{
    m_now += stepTime;
    auto arriving = std::move(m_inTransit);
    m_inTransit.clear();
    for (auto& message : arriving) {
        if (message.dueAt > m_now)
            m_inTransit.push_back(std::move(message));
        else
            deliver(message);
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (!m_daemons[i].isUp)
            continue;
        for (const auto& outgoing : m_daemons[i].gossip->takeDue(m_daemons[i].state, m_now))
            send(i, outgoing);
    }
}

bool FleetModel::isCut(std::size_t from, std::size_t to) const
{
    return m_partition && (from < *m_partition) != (to < *m_partition);
}

void FleetModel::send(std::size_t from, const fleet::Gossip::Outgoing& outgoing)
{
    m_daemons[from].sentBytes += outgoing.bytes.size();
    ++m_daemons[from].sentMessages;
    const auto to = m_byIp.find(outgoing.ip);
    if (to == m_byIp.end() || isCut(from, to->second) || draw() < m_loss)
        return;
    const int copies = draw() < m_duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto delay = draw() < m_delays ? fromSeconds(draw()) : Duration::zero();
        m_inTransit.push_back({ from, to->second, m_now + delay, outgoing.bytes });
    }
}

void FleetModel::deliver(const InTransit& message)
{
    auto& daemon = m_daemons[message.to];
    if (!daemon.isUp || isCut(message.from, message.to))
        return;
    daemon.receivedBytes += message.bytes.size();
    // Digests to many daemons arrive one after the other; each is decoded once.
    if (message.bytes != m_decodedBytes) {
        auto decoded = fleet::decode(message.bytes);
        if (!decoded)
            return;
        m_decodedBytes = message.bytes;
        m_decoded = std::move(*decoded);
    }
    std::optional<fleet::Gossip::News> news;
    if (const auto* digest = std::get_if<fleet::Digest>(&m_decoded))
        news = daemon.gossip->receive(*digest, m_now);
    else if (const auto* summary = std::get_if<fleet::Summary>(&m_decoded))
        news = daemon.gossip->receive(*summary, m_now);
    if (!news)
        return;
    daemon.state.changeRevision = std::max(daemon.state.changeRevision, news->changeRevision);
    for (auto limit : news->statements) {
        daemon.receivedLimits.push_back(limit);
        // Other daemons are told of it, as by a router that knows it from a message.
        limit.isOwn = false;
        std::erase_if(daemon.state.statements, [&](const auto& known) { return known.runner == limit.runner; });
        daemon.state.statements.push_back(limit);
    }
    if (news->provenAt)
        daemon.provenAt = std::max(daemon.provenAt.value_or(*news->provenAt), *news->provenAt);
}

void FleetModel::setLoad(std::size_t index, fleet::RunnerKey runner, std::uint32_t inFlight)
{
    auto& runners = m_daemons[index].state.runners;
    std::erase_if(runners, [&](const auto& state) { return state.runner == runner; });
    runners.push_back({ runner, inFlight, 10 * inFlight, 0, 0 });
}

std::uint32_t FleetModel::believedLoad(std::size_t index, fleet::RunnerKey runner) const
{
    const auto sum = m_daemons[index].gossip->summarize(m_now);
    const auto found = sum.find(runner);
    return found == sum.end() ? 0 : found->second.inFlight;
}

std::uint32_t FleetModel::trueLoad(std::size_t index, fleet::RunnerKey runner) const
{
    std::uint32_t total = 0;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (i == index || !m_daemons[i].isUp)
            continue;
        for (const auto& state : m_daemons[i].state.runners)
            total += state.runner == runner ? state.inFlight : 0;
    }
    return total;
}

std::size_t FleetModel::countExact(fleet::RunnerKey runner) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        count += m_daemons[i].isUp && believedLoad(i, runner) == trueLoad(i, runner) ? 1 : 0;
    return count;
}

std::size_t FleetModel::countUp() const
{
    return static_cast<std::size_t>(
        std::count_if(m_daemons.begin(), m_daemons.end(), [](const Daemon& daemon) { return daemon.isUp; }));
}

void FleetModel::resetCounts()
{
    for (auto& daemon : m_daemons)
        daemon.sentBytes = daemon.receivedBytes = daemon.sentMessages = 0;
}

}
