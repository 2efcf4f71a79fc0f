#include "runners/VersionHistory.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::runners {

void VersionHistory::recordListing(std::span<const RunnerEntry> entries, TimePoint now)
{
    std::map<std::uint64_t, std::set<std::uint64_t>> listed;
    for (const auto& entry : entries)
        listed[hash64(entry.service)].insert(softwareOf(entry));
    for (const auto& [key, versions] : listed) {
        const auto [service, isNew] = m_services.try_emplace(key);
        if (isNew)
            service->second.knownSince = now;
    }
    for (auto& entry : m_services) {
        auto& service = entry.second;
        for (const auto version : service.listed)
            service.gone[version] = now;
        service.listed = listed[entry.first];
        std::erase_if(service.gone, [&](const auto& version) {
            return service.listed.contains(version.first) || now - version.second > m_options.window;
        });
    }
}

void VersionHistory::recordProof(TimePoint provenAt)
{
    if (m_provenAt && provenAt - *m_provenAt > m_options.maxProofGap) {
        for (auto& [key, service] : m_services)
            service.knownSince = provenAt;
    }
    if (!m_provenAt || provenAt > *m_provenAt)
        m_provenAt = provenAt;
}

void VersionHistory::adopt(const SoleVersion& told, TimePoint now)
{
    const auto found = m_services.find(told.service);
    if (found == m_services.end())
        return;
    const auto own = soleVersion(told.service, found->second, now);
    if (own && own->software == told.software)
        found->second.knownSince = std::min(found->second.knownSince, now - told.age);
}

std::optional<std::uint64_t> VersionHistory::soleVersion(std::string_view service, TimePoint now) const
{
    const auto key = hash64(service);
    const auto found = m_services.find(key);
    if (found == m_services.end())
        return std::nullopt;
    const auto sole = soleVersion(key, found->second, now);
    return sole && sole->age >= m_options.window ? std::optional(sole->software) : std::nullopt;
}

std::set<std::uint64_t> VersionHistory::singleVersions(TimePoint now) const
{
    std::set<std::uint64_t> result;
    for (const auto& [key, service] : m_services) {
        const auto versions = recentVersions(service, now);
        if (versions.size() == 1 && *versions.begin() != unknownSoftware)
            result.insert(*versions.begin());
    }
    return result;
}

std::set<std::uint64_t> VersionHistory::recentVersions(const Service& service, TimePoint now) const
{
    auto versions = service.listed;
    for (const auto& [version, listedUntil] : service.gone) {
        if (now - listedUntil <= m_options.window)
            versions.insert(version);
    }
    return versions;
}

std::vector<SoleVersion> VersionHistory::soleVersions(TimePoint now) const
{
    std::vector<SoleVersion> result;
    for (const auto& [key, service] : m_services) {
        if (const auto sole = soleVersion(key, service, now))
            result.push_back(*sole);
    }
    return result;
}

std::optional<SoleVersion> VersionHistory::soleVersion(std::uint64_t key, const Service& service, TimePoint now) const
{
    if (!m_provenAt || now - *m_provenAt > m_options.maxProofGap)
        return std::nullopt;
    const auto versions = recentVersions(service, now);
    if (versions.size() != 1 || *versions.begin() == unknownSoftware)
        return std::nullopt;
    return SoleVersion { key, *versions.begin(), now - service.knownSince };
}

}
