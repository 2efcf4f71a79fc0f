#include "config/ConfigurationStore.h"

namespace eelgrassford::config {

AdoptionResult ConfigurationStore::evaluate(const Manifest& manifest) const
{
    if (manifest.revision > m_manifest.revision)
        return AdoptionResult::Adopted;
    if (manifest.revision < m_manifest.revision)
        return AdoptionResult::Older;
    return manifest.hash == m_manifest.hash ? AdoptionResult::Current : AdoptionResult::Conflict;
}

AdoptionResult ConfigurationStore::adopt(const Manifest& manifest, Configuration configuration, TimePoint now)
{
    const auto result = evaluate(manifest);
    if (result == AdoptionResult::Conflict)
        ++m_conflicts;
    if (result == AdoptionResult::Current)
        confirmCurrent(now);
    if (result != AdoptionResult::Adopted)
        return result;
    m_manifest = manifest;
    m_snapshot = std::make_shared<const Configuration>(std::move(configuration));
    confirmCurrent(now);
    return result;
}

}
