#pragma once

#include "common/Time.h"
#include "config/Bundle.h"
#include "config/Configuration.h"
#include <memory>

namespace eelgrassford::config {

/// @brief Outcome of an offered configuration.
enum class AdoptionResult {
    /// Its revision is greater than the one in force, which it replaces.
    Adopted,
    /// It is the configuration already in force.
    Current,
    /// Its revision is lower; the offer is ignored.
    Older,
    /// It has the revision in force but different content; the offer is ignored and needs an operator's attention.
    Conflict,
};

/// @brief Holds the configuration in force; its revision never decreases.
class ConfigurationStore {
public:
    using Snapshot = std::shared_ptr<const Configuration>;

    /// @brief Returns the result that adopt() would give, so that parts are fetched only if they are needed.
    AdoptionResult evaluate(const Manifest& manifest) const;

    /// @brief Puts a configuration in force if its revision is greater than the current one.
    /// @param manifest the manifest of @a configuration
    /// @param configuration the assembled configuration
    /// @param now the current time, recorded as the time of the last confirmation
    AdoptionResult adopt(const Manifest& manifest, Configuration configuration, TimePoint now);

    /// @brief Records that a source confirmed the revision in force as current.
    void confirmCurrent(TimePoint now) { m_confirmedAt = now; }

    Revision revision() const { return m_manifest.revision; }
    const Manifest& manifest() const { return m_manifest; }
    /// @brief The configuration in force. A request in flight keeps the snapshot that it started with.
    Snapshot snapshot() const { return m_snapshot; }
    /// @brief Time since a source last confirmed the revision in force.
    Duration confirmationAge(TimePoint now) const { return now - m_confirmedAt; }
    /// @brief Offers that ended in AdoptionResult::Conflict.
    std::uint64_t conflictCount() const { return m_conflicts; }

private:
    Manifest m_manifest;
    Snapshot m_snapshot = std::make_shared<const Configuration>();
    TimePoint m_confirmedAt {};
    std::uint64_t m_conflicts = 0;
};

}
