#pragma once

#include "common/Time.h"
#include <cmath>

namespace eelgrassford {

/// @brief A sum in which older values count less: each falls to 1/e within a window.
class DecayingSum {
public:
    void add(double value, Duration window, TimePoint now)
    {
        m_sum = valueAt(window, now) + value;
        m_addedAt = now;
    }
    double valueAt(Duration window, TimePoint now) const
    {
        return m_sum * std::exp(-toSeconds(now - m_addedAt) / toSeconds(window));
    }

private:
    double m_sum = 0.0;
    TimePoint m_addedAt {};
};

}
