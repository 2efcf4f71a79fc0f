#pragma once

#include "common/Time.h"
#include "config/Bundle.h"
#include "config/Configuration.h"
#include <memory>

namespace eelgrassford::config {

/// @brief What became of an offered configuration.
enum class AdoptionResult {
    /// Its revision is greater: it is in force now.
    Adopted,
    /// It is the one in force.
    Current,
    /// Its revision is lower; nothing changed.
    Older,
    /// Same revision, other content; nothing changed, an operator must look.
    Conflict,
};

/// @brief Holds the configuration in force and lets its revision only grow.
class ConfigurationStore {
public:
    using Snapshot = std::shared_ptr<const Configuration>;

    /// @brief Decides what adopt() would do, before any part is fetched.
    AdoptionResult evaluate(const Manifest& manifest) const;

    /// @brief Puts an assembled configuration in force if its revision is greater.
    /// @param manifest the manifest it was assembled from
    /// @param configuration the whole configuration
    /// @param now the present time, kept as the time of adoption
    AdoptionResult adopt(const Manifest& manifest, Configuration configuration, TimePoint now);

    /// @brief Records that the source confirmed the revision in force.
    void confirmCurrent(TimePoint now) { m_confirmedAt = now; }

    Revision revision() const { return m_manifest.revision; }
    const Manifest& manifest() const { return m_manifest; }
    /// @brief The configuration in force; requests under way keep the snapshot that they began with.
    Snapshot snapshot() const { return m_snapshot; }
    /// @brief Time since a source last confirmed the revision in force.
    Duration confirmationAge(TimePoint now) const { return now - m_confirmedAt; }
    std::uint64_t conflictCount() const { return m_conflicts; }

private:
    Manifest m_manifest;
    Snapshot m_snapshot = std::make_shared<const Configuration>();
    TimePoint m_confirmedAt {};
    std::uint64_t m_conflicts = 0;
};

}
