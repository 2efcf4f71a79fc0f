#include "proxy/StopAdmission.h"

#include <algorithm>

namespace eelgrassford::proxy {

namespace {

    /// Time in which the load balancer notices the stop, by two failed readiness checks, one a second. Until then its
    /// callers know of no better daemon, and a request that usually ends in time is accepted.
    constexpr Duration noticeTime = std::chrono::milliseconds(2500);
    /// Usual time of the longest stream: processing of the prompt, then the 223 events, about 20 ms each, of the users'
    /// longest stream.
    constexpr Duration usualStreamTime = std::chrono::milliseconds(4700);
    /// Usual time of a request that is not a stream, unless its time limit is shorter.
    constexpr Duration usualRequestTime = std::chrono::milliseconds(1500);

}

bool StopAdmission::mayAccept(const routing::Route& route, Duration timeLimit, TimePoint now) const
{
    if (now + timeLimit < m_cutAt)
        return true;
    const auto usual = route.kind == routing::RequestKind::Stream ? usualStreamTime : usualRequestTime;
    return now - m_begunAt < noticeTime && now + std::min(timeLimit, usual) < m_cutAt;
}

}
