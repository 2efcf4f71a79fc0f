#pragma once

#include "common/Time.h"
#include <algorithm>

namespace eelgrassford::fleet {

/// @brief A common time of the fleet that does not use the time of day: the largest monotonic time that any daemon has
/// stated, plus the time elapsed since. Does no I/O.
///
/// It provides only a phase. Daemons that are partitioned, or a daemon with a wrong clock, may disagree on it, which
/// must not break more than the order of decisions.
class FleetClock {
public:
    /// @brief Adopts the time that another daemon stated, unless it is implausible or behind this clock. A message that
    /// was delayed states an earlier time, which has no effect.
    void receive(Duration stated, TimePoint now)
    {
        // A larger value could overflow the sum with the local time.
        constexpr Duration maxTime = std::chrono::hours(24 * 365 * 100);
        if (stated >= Duration::zero() && stated <= maxTime)
            m_lead = std::max(m_lead, stated - now.time_since_epoch());
    }
    /// @brief Time of the fleet.
    Duration timeAt(TimePoint now) const { return now.time_since_epoch() + m_lead; }
    /// @brief Time by which the clock of the fleet is ahead of this daemon's.
    Duration lead() const { return m_lead; }

private:
    Duration m_lead {};
};

}
