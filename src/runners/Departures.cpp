#include "runners/Departures.h"

#include "common/Hash.h"
#include <algorithm>
#include <map>

namespace eelgrassford::runners {

namespace {

    /// Time by which daemons may see the same departure one after the other.
    constexpr Duration listingSkew = std::chrono::seconds(2);

}

void Departures::recordListing(TimePoint now)
{
    if (!m_listedSince)
        m_listedSince = now;
}

void Departures::record(const Runner& runner, TimePoint now)
{
    dropExpired(now);
    m_departed.push_back({ hash64(runner.entry.service), runner.identity, runner.software, now });
}

void Departures::adopt(std::span<const Departure> departures, TimePoint now)
{
    dropExpired(now);
    for (const auto& told : departures) {
        const auto leftAt = now - told.age;
        if (told.age > m_window || (m_listedSince && leftAt > *m_listedSince + listingSkew))
            continue;
        const auto known = std::ranges::find_if(m_departed, [&](const Departed& departed) {
            return departed.identity == 0 && departed.service == told.service && departed.software == told.software;
        });
        if (known == m_departed.end())
            m_departed.push_back({ told.service, 0, told.software, leftAt });
        else
            known->leftAt = std::max(known->leftAt, leftAt);
    }
}

std::set<std::uint64_t> Departures::softwareOf(std::uint64_t service, const Listed& listed, TimePoint now)
{
    dropExpired(now);
    std::set<std::uint64_t> result;
    for (const auto& departed : m_departed) {
        if (departed.service == service && !listed.contains({ departed.identity, departed.software }))
            result.insert(departed.software);
    }
    return result;
}

std::vector<Departure> Departures::summary(const Listed& listed, TimePoint now)
{
    dropExpired(now);
    std::map<std::pair<std::uint64_t, std::uint64_t>, TimePoint> latest;
    for (const auto& departed : m_departed) {
        if (listed.contains({ departed.identity, departed.software }))
            continue;
        auto& leftAt = latest.try_emplace({ departed.service, departed.software }, departed.leftAt).first->second;
        leftAt = std::max(leftAt, departed.leftAt);
    }
    std::vector<Departure> result;
    result.reserve(latest.size());
    for (const auto& [version, leftAt] : latest)
        result.push_back({ version.first, version.second, now - leftAt });
    return result;
}

void Departures::dropExpired(TimePoint now)
{
    std::erase_if(m_departed, [&](const Departed& departed) { return now - departed.leftAt > m_window; });
}

}
