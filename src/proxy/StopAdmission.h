#pragma once

#include "common/Time.h"
#include "routing/Configuration.h"

namespace eelgrassford::proxy {

/// @brief Decides which new requests a stopping daemon still accepts.
///
/// Load: callers keep arriving after the stop has begun, until the load balancer has taken the daemon out of rotation,
/// and to the end of the grace period if too few other daemons are in rotation. What has not ended when the grace
/// period is over is cut off; a request that was refused in time can be repeated at another daemon.
class StopAdmission {
public:
    /// @param begunAt start of the stop
    /// @param cutAt time at which the requests in flight are cut off
    StopAdmission(TimePoint begunAt, TimePoint cutAt)
        : m_begunAt(begunAt)
        , m_cutAt(cutAt)
    {
    }

    /// @brief Whether a request that arrives now is accepted.
    /// @param timeLimit time until the deadline of the request
    bool mayAccept(const routing::Route& route, Duration timeLimit, TimePoint now) const;

private:
    TimePoint m_begunAt;
    TimePoint m_cutAt;
};

}
