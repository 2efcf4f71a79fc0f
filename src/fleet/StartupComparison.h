#pragma once

#include "common/Time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace eelgrassford::fleet {

/// @brief Decides which daemons a starting one asks for their configuration before it serves, and for how long. No I/O.
///
/// Load pattern: the store is restored from a copy that is older than the configuration in force, while daemons are
/// started again. The others keep the later configuration, and a credential that it revokes must not be admitted by
/// those that have only read the copy.
class StartupComparison {
public:
    struct Options {
        /// Daemons that have to answer. Some of those asked may have started on the same copy.
        std::size_t answers = 3;
        /// Longest time for which answers are awaited. Most of it passes while the daemon reads the store.
        Duration timeout = std::chrono::milliseconds(300);
    };

    explicit StartupComparison(const Options& options)
        : m_options(options)
    {
    }
    StartupComparison()
        : StartupComparison(Options {})
    {
    }

    /// @brief Begins as the daemon starts; further calls have no effect.
    void begin(TimePoint now);
    /// @brief The next daemon to ask, if one should be asked now.
    /// @param known addresses of other daemons
    /// @param draw uniform random bits
    std::optional<std::string> next(std::span<const std::string> known, std::uint64_t draw);
    /// @brief Records that a daemon has answered, or failed to.
    void recordResult(bool isAnswered);
    /// @brief Whether no further answer is awaited.
    /// @param known addresses of other daemons
    bool isOver(std::span<const std::string> known, TimePoint now);
    std::size_t answers() const { return m_answers; }

private:
    Options m_options;
    std::optional<TimePoint> m_begunAt;
    std::set<std::string> m_asked;
    std::size_t m_pending = 0;
    std::size_t m_answers = 0;
    bool m_isOver = false;
};

}
