#pragma once

#include <cstdint>

namespace eelgrassford::store {

/// @brief Revision of the store together with the era that it belongs to.
///
/// The store's own revisions go back, and are given out again, when it is restored from an older copy. The era rises
/// then. It stands in the upper bits, so that revisions of a later era are greater than all of earlier ones. Revisions
/// of the first era, 1, and of a store without eras are those of the store itself.
using Revision = std::uint64_t;

/// Bits for the store's own revision.
constexpr unsigned revisionBits = 40;

constexpr Revision toRevision(std::uint64_t era, std::uint64_t storeRevision)
{
    const auto laterEras = era > 0 ? era - 1 : 0;
    return (laterEras << revisionBits) | storeRevision;
}

/// @brief The store's own revision.
constexpr std::uint64_t storeRevisionOf(Revision revision)
{
    return revision & ((std::uint64_t { 1 } << revisionBits) - 1);
}

/// @brief Whether two revisions belong to the same era.
constexpr bool isSameEra(Revision left, Revision right) { return left >> revisionBits == right >> revisionBits; }

/// @brief The era of a revision; 1 for a store without eras.
constexpr std::uint64_t eraOf(Revision revision) { return (revision >> revisionBits) + 1; }

}
