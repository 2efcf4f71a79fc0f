#include "fleet/ReaderElection.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::fleet {

ReaderElection::ReaderElection(std::string ownIp, std::uint64_t firstNonce, const Options& options)
    : m_ownIp(std::move(ownIp))
    , m_options(options)
    , m_nextNonce(firstNonce)
{
}

ReaderElection::ReaderElection(std::string ownIp, std::uint64_t firstNonce)
    : ReaderElection(std::move(ownIp), firstNonce, Options {})
{
}

void ReaderElection::update(std::span<const std::string> heard)
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto& ip : heard)
        order.emplace_back(hash64(ip), ip);
    order.emplace_back(hash64(m_ownIp), m_ownIp);
    const auto wanted = std::max(m_options.readers, order.size() / m_options.membersPerReader);
    const auto count = std::min(wanted, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    m_readers.clear();
    m_isElected = false;
    for (std::size_t i = 0; i < count; ++i) {
        if (order[i].second == m_ownIp)
            m_isElected = true;
        else
            m_readers.push_back(order[i].second);
    }
}

bool ReaderElection::isReader(std::optional<TimePoint> provenAt, TimePoint now) const
{
    return m_isElected || !provenAt || now - *provenAt > m_options.fallbackAge;
}

std::optional<ReaderElection::OutgoingRequest> ReaderElection::nextRequest(TimePoint now)
{
    if (m_isElected || m_readers.empty() || now < m_nextAt)
        return std::nullopt;
    m_nextAt = now + m_options.askInterval;
    const auto& ip = m_readers[m_turn++ % m_readers.size()];
    const auto nonce = m_nextNonce++;
    m_open[nonce] = { ip, now };
    if (m_open.size() > m_options.openQuestions)
        m_open.erase(m_open.begin());
    return OutgoingRequest { ip, { nonce } };
}

std::optional<ReaderElection::ReaderStatus> ReaderElection::receive(const FreshnessReply& reply)
{
    const auto found = m_open.find(reply.nonce);
    if (found == m_open.end())
        return std::nullopt;
    ReaderStatus answer;
    answer.ip = found->second.ip;
    answer.changeRevision = reply.changeRevision;
    if (reply.proofAgeMs >= 0)
        answer.provenAt = found->second.askedAt - std::chrono::milliseconds(reply.proofAgeMs);
    m_open.erase(found);
    return answer;
}

}
