#include "proxy/ListingProofs.h"

#include <algorithm>
#include <iterator>

namespace eelgrassford::proxy {

void ListingProofs::await(TimePoint since, Decision decision) { m_waiting.push_back({ since, std::move(decision) }); }

void ListingProofs::record(TimePoint provenAt) { decide(provenAt, true); }

void ListingProofs::expire(TimePoint now) { decide(now - m_options.timeout, false); }

void ListingProofs::decide(TimePoint until, bool isProven)
{
    const auto due = std::stable_partition(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting& waiting) { return waiting.since > until; });
    // A decision may wait for another proof.
    std::vector<Waiting> decided(std::make_move_iterator(due), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(due, m_waiting.end());
    for (const auto& waiting : decided)
        waiting.decision(isProven);
}

}
