#pragma once

#include "dispatch/StreamOrigins.h"
#include <functional>
#include <optional>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Where other daemons learn, and tell, which software began a stream.
class OriginDirectory {
public:
    /// Called once, with the software that began the stream, or without it if nobody knows.
    using Finder = std::function<void(std::optional<std::uint64_t>)>;

    virtual ~OriginDirectory() = default;
    /// @brief Tells other daemons of streams that this one relays.
    virtual void publish(std::vector<dispatch::StreamOrigin> origins, dispatch::OriginCopies copies) = 0;
    /// @brief Asks other daemons; the finder is called later, in the thread of the caller.
    virtual void find(dispatch::StreamKey stream, Finder finder) = 0;
};

}
