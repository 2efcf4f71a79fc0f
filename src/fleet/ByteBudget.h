#pragma once

#include "common/Time.h"
#include <algorithm>

namespace eelgrassford::fleet {

/// @brief Bounds the bytes that are served to other daemons, so that callers' streams keep the link.
class ByteBudget {
public:
    /// @param bytesPerSecond rate; a second's worth may go at once
    ByteBudget(double bytesPerSecond, TimePoint now)
        : m_rate(bytesPerSecond)
        , m_left(bytesPerSecond)
        , m_at(now)
    {
    }

    /// @brief Takes the bytes of a response if any are left; a large one may overdraw, and delays the next ones.
    bool tryTake(std::size_t bytes, TimePoint now)
    {
        m_left = std::min(m_rate, m_left + m_rate * toSeconds(now - m_at));
        m_at = now;
        if (m_left <= 0.0)
            return false;
        m_left -= static_cast<double>(bytes);
        return true;
    }

private:
    double m_rate;
    double m_left;
    TimePoint m_at;
};

}
