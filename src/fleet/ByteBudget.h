#pragma once

#include "common/Time.h"
#include <algorithm>

namespace eelgrassford::fleet {

/// @brief Token bucket in bytes that limits responses to other daemons, so that they leave most of the link to callers'
/// streams.
class ByteBudget {
public:
    /// @param bytesPerSecond refill rate; the bucket starts full and holds one second's worth
    ByteBudget(double bytesPerSecond, TimePoint now)
        : m_rate(bytesPerSecond)
        , m_available(bytesPerSecond)
        , m_refilledAt(now)
    {
    }

    /// @brief Takes the bytes of a response if the bucket is not empty. A large response may overdraw it, which delays
    /// the next ones.
    /// @return whether the response may be sent
    bool tryTake(std::size_t bytes, TimePoint now)
    {
        m_available = std::min(m_rate, m_available + m_rate * toSeconds(now - m_refilledAt));
        m_refilledAt = now;
        if (m_available <= 0.0)
            return false;
        m_available -= static_cast<double>(bytes);
        return true;
    }

private:
    double m_rate;
    double m_available;
    TimePoint m_refilledAt;
};

}
