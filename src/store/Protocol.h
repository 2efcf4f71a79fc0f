#pragma once

#include "common/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::store {

/// @brief A key of the published store with its value.
struct Item {
    std::string key;
    std::string value;
    /// Revision of the store at the item's last change.
    std::uint64_t revision = 0;
};

/// @brief One page of the items below a prefix.
struct Page {
    std::vector<Item> items;
    bool hasMore = false;
    /// Revision of the store when the page was made.
    std::uint64_t storeRevision = 0;
};

/// @brief A written or removed item.
struct Change {
    Item item;
    bool isRemoved = false;
};

struct Changes {
    std::vector<Change> changes;
    /// Revision from which to watch on.
    std::uint64_t storeRevision = 0;
};

/// @brief A response of the store that cannot be read.
struct ProtocolError {
    std::string what;
};

/// @brief How the store is asked and how it answers.
class Protocol {
public:
    virtual ~Protocol() = default;
    /// @brief Path and query that list the items after a key; the first page for an empty one.
    virtual std::string listTarget(std::string_view after) const = 0;
    /// @brief Path and query that wait for changes after a revision.
    virtual std::string watchTarget(std::uint64_t after, Duration wait) const = 0;
    virtual tl::expected<Page, ProtocolError> decodePage(std::string_view body) const = 0;
    virtual tl::expected<Changes, ProtocolError> decodeChanges(std::string_view body) const = 0;
    /// @brief Whether a status says that the history since the revision is gone.
    virtual bool isHistoryLost(std::uint16_t status) const = 0;
};

}
