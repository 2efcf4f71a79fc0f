#include "fleet/ReaderElection.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::fleet {

namespace {

    /// Share of the deadline after which a daemon without a newer proof reads the store; the rest covers the query and
    /// the adoption of what it returns.
    constexpr double proofAgeShare = 0.8;
    constexpr double requestIntervalShare = 0.15;
    /// Longest values, for deadlines of many seconds. The proof must also stay well within the lease of credentials.
    constexpr Duration maxProofAgeLimit = std::chrono::milliseconds(2700);
    constexpr Duration requestIntervalLimit = std::chrono::milliseconds(600);

}

ReaderElection::Options ReaderElection::Options::forDeadline(Duration deadline)
{
    Options options;
    options.maxProofAge = std::min(fromSeconds(toSeconds(deadline) * proofAgeShare), maxProofAgeLimit);
    options.requestInterval = std::min(fromSeconds(toSeconds(deadline) * requestIntervalShare), requestIntervalLimit);
    return options;
}

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

void ReaderElection::update(std::span<const std::string> liveIps)
{
    // Daemons that know the same members elect the same readers, because all sort by the same hash.
    std::vector<std::pair<std::uint64_t, std::string>> candidates;
    for (const auto& ip : liveIps)
        candidates.emplace_back(hash64(ip), ip);
    candidates.emplace_back(hash64(m_ownIp), m_ownIp);
    const auto count = std::min(m_options.readers, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    m_readers.clear();
    m_isElected = false;
    for (std::size_t i = 0; i < count; ++i) {
        if (candidates[i].second == m_ownIp)
            m_isElected = true;
        else
            m_readers.push_back(candidates[i].second);
    }
}

bool ReaderElection::isReader(std::optional<TimePoint> provenAt, TimePoint now) const
{
    return m_isElected || isTooOld(provenAt, now);
}

bool ReaderElection::needsProof(std::optional<TimePoint> ownProvenAt, TimePoint now) const
{
    return !m_isElected || isTooOld(ownProvenAt, now);
}

bool ReaderElection::isTooOld(std::optional<TimePoint> provenAt, TimePoint now) const
{
    return !provenAt || now - *provenAt > m_options.maxProofAge;
}

std::optional<ReaderElection::OutgoingRequest> ReaderElection::nextRequest(TimePoint now, bool isAggregator)
{
    if (m_readers.empty() || now < m_nextRequestAt)
        return std::nullopt;
    m_nextRequestAt = now + (isAggregator ? m_options.aggregatorRequestInterval : m_options.requestInterval);
    const auto& ip = m_readers[m_nextReader++ % m_readers.size()];
    const auto nonce = m_nextNonce++;
    m_pending[nonce] = { ip, now };
    if (m_pending.size() > m_options.maxPendingRequests)
        m_pending.erase(m_pending.begin());
    return OutgoingRequest { ip, { nonce } };
}

std::optional<ReaderElection::ReaderStatus> ReaderElection::receive(const FreshnessReply& reply)
{
    const auto found = m_pending.find(reply.nonce);
    if (found == m_pending.end())
        return std::nullopt;
    ReaderStatus status;
    status.ip = found->second.ip;
    status.changeRevision = reply.changeRevision;
    if (reply.proofAgeMs >= 0)
        status.provenAt = found->second.sentAt - std::chrono::milliseconds(reply.proofAgeMs);
    m_pending.erase(found);
    return status;
}

}
