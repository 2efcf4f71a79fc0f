#pragma once

#include "common/Time.h"
#include <cmath>

namespace eelgrassford {

/// @brief Exponentially decaying sum: the weight of a value falls to 1/e within a window.
class DecayingSum {
public:
    /// @brief Adds @a value to the sum as decayed until @a now.
    void add(double value, Duration window, TimePoint now)
    {
        m_sum = valueAt(window, now) + value;
        m_addedAt = now;
    }
    /// @brief The sum as decayed until @a now.
    double valueAt(Duration window, TimePoint now) const
    {
        return m_sum * std::exp(-toSeconds(now - m_addedAt) / toSeconds(window));
    }

private:
    double m_sum = 0.0;
    TimePoint m_addedAt {};
};

}
