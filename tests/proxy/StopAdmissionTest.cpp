#include "proxy/StopAdmission.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using proxy::StopAdmission;
using routing::RequestKind;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint begin = TimePoint {} + std::chrono::hours(1);
constexpr Duration noticeTime = milliseconds(2500);

routing::Route routeOf(RequestKind kind)
{
    routing::Route route;
    route.kind = kind;
    return route;
}

}

// Guards against bookings that are accepted late in the grace period and cut off at its end.
TEST_CASE("after the load balancer has noticed a stop, no request is accepted whose time limit is after its end")
{
    for (const int graceSeconds : { 1, 4, 8, 12, 20, 30 }) {
        const auto cutAt = begin + std::chrono::seconds(graceSeconds) - milliseconds(400);
        const StopAdmission stop(begin, cutAt);
        for (const auto kind : { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream }) {
            for (const int limit : { 50, 1000, 2500, 3000, 15000, 60000 }) {
                for (auto at = begin + noticeTime; at < cutAt; at += milliseconds(10)) {
                    if (stop.mayAccept(routeOf(kind), milliseconds(limit), at))
                        CHECK(at + milliseconds(limit) < cutAt);
                }
            }
        }
    }
}

TEST_CASE("a request whose time limit is before the end of the stop is accepted, however late it comes")
{
    const StopAdmission stop(begin, begin + milliseconds(7600));
    for (const auto kind : { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream }) {
        CHECK(stop.mayAccept(routeOf(kind), milliseconds(2500), begin + milliseconds(5000)));
        CHECK_FALSE(stop.mayAccept(routeOf(kind), milliseconds(2500), begin + milliseconds(5100)));
        CHECK(stop.mayAccept(routeOf(kind), milliseconds(100), begin + milliseconds(7400)));
    }
}

TEST_CASE("until the load balancer has noticed a stop, requests that usually end in time are accepted")
{
    const StopAdmission stop(begin, begin + milliseconds(7600));
    const auto limit = std::chrono::seconds(15);
    CHECK(stop.mayAccept(routeOf(RequestKind::Stream), limit, begin + milliseconds(2400)));
    CHECK_FALSE(stop.mayAccept(routeOf(RequestKind::Stream), limit, begin + milliseconds(2600)));
    CHECK(stop.mayAccept(routeOf(RequestKind::NonIdempotent), limit, begin + milliseconds(2400)));
    const StopAdmission shortStop(begin, begin + milliseconds(1600));
    CHECK_FALSE(shortStop.mayAccept(routeOf(RequestKind::Stream), limit, begin));
    CHECK(shortStop.mayAccept(routeOf(RequestKind::NonIdempotent), limit, begin));
    CHECK_FALSE(shortStop.mayAccept(routeOf(RequestKind::NonIdempotent), limit, begin + milliseconds(200)));
}
