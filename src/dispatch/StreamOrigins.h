#pragma once

#include "common/Time.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassford::dispatch {

/// Identifies a stream: a hash of the organisation and of the attempt id of the request that began it. Ids are chosen
/// by callers, so that only those of one organisation can be told apart by them.
using StreamKey = std::uint64_t;

/// @brief Key of the stream that a request of an organisation began.
StreamKey streamKey(std::string_view organisation, std::string_view attemptId);

/// @brief Which software began a stream.
struct StreamOrigin {
    StreamKey stream = 0;
    /// Hash of service and software version of the runner that sent the first event.
    std::uint64_t software = 0;
    bool operator==(const StreamOrigin&) const = default;
};

/// @brief At how many daemons the origin of a stream is kept.
enum class OriginCopies {
    /// For streams whose origin the only version of their service tells as well: a few daemons may be lost.
    Few,
    /// For streams whose origin nothing else may tell: most daemons may be lost.
    Many,
};

/// @brief Remembers for a while which software began each stream.
///
/// Load pattern: a connection, a runner or a daemon breaks, and callers continue their streams within some hundred
/// milliseconds, at any daemon; the events of two software versions do not fit together.
class StreamOrigins {
public:
    struct Options {
        /// Time for which an origin is remembered after it was last recorded.
        Duration lifetime = std::chrono::seconds(60);
        /// Most origins; above it the one that was recorded first is dropped. Each takes about 80 bytes.
        std::size_t capacity = 50'000;
    };

    explicit StreamOrigins(const Options& options)
        : m_options(options)
    {
    }
    StreamOrigins()
        : StreamOrigins(Options {})
    {
    }

    /// @brief Records the origin of a stream. Two origins of one stream contradict each other, as when a caller uses an
    /// id twice; then none is known.
    void record(const StreamOrigin& origin, TimePoint now);
    /// @return the software that began the stream; empty if it is not known
    std::optional<std::uint64_t> find(StreamKey stream, TimePoint now) const;
    /// @brief All origins that are remembered.
    std::vector<StreamOrigin> all(TimePoint now) const;
    /// @brief The origins that are remembered of streams that a software began.
    std::vector<StreamOrigin> of(std::uint64_t software, TimePoint now) const;
    std::size_t size() const { return m_origins.size(); }

private:
    struct Entry {
        std::uint64_t software = 0;
        bool isContradicted = false;
        TimePoint recordedAt {};
    };

    bool isExpired(const Entry& entry, TimePoint now) const { return now - entry.recordedAt > m_options.lifetime; }
    void dropExpired(TimePoint now);

    Options m_options;
    std::unordered_map<StreamKey, Entry> m_origins;
    /// Streams in the order in which they were recorded; those recorded again are in it several times.
    std::deque<std::pair<StreamKey, TimePoint>> m_order;
};

}
