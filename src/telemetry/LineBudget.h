#pragma once

#include "common/Time.h"
#include <cstdint>
#include <utility>

namespace eelgrassford::telemetry {

/// @brief Bounds the plain lines of a log, those of requests that went well at once.
class LineBudget {
public:
    /// @param linesPerSecond plain lines that are written in a second; more are skipped and counted
    explicit LineBudget(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    bool tryTake(TimePoint now)
    {
        if (now - m_secondBegan >= std::chrono::seconds(1)) {
            m_secondBegan = now;
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
    TimePoint m_secondBegan {};
    std::uint32_t m_taken = 0;
    std::uint64_t m_skipped = 0;
};

}
