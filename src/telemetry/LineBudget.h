#pragma once

#include "common/Time.h"
#include <cstdint>
#include <utility>

namespace eelgrassford::telemetry {

/// @brief Limits the rate of routine log lines: those of requests that succeeded at the first attempt.
class LineBudget {
public:
    /// @param linesPerSecond routine lines written per second; further ones are skipped and counted
    explicit LineBudget(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// @brief Takes one line from the budget of the current second.
    /// @return whether the line may be written
    bool tryTake(TimePoint now)
    {
        if (now - m_secondStartedAt >= std::chrono::seconds(1)) {
            m_secondStartedAt = now;
            m_taken = 0;
        }
        if (m_taken >= m_linesPerSecond) {
            ++m_skipped;
            return false;
        }
        ++m_taken;
        return true;
    }

    /// @brief Lines skipped since the last call.
    std::uint64_t takeSkipped() { return std::exchange(m_skipped, 0); }

private:
    std::uint32_t m_linesPerSecond;
    TimePoint m_secondStartedAt {};
    std::uint32_t m_taken = 0;
    std::uint64_t m_skipped = 0;
};

}
