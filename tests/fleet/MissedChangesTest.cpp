#include "fleet/MissedChanges.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using fleet::MissedChanges;
using std::chrono::milliseconds;

namespace {
constexpr TimePoint start { std::chrono::seconds(100) };
}

TEST_CASE("a daemon is behind since it first heard of the oldest change that it lacks")
{
    MissedChanges missed;
    CHECK_FALSE(missed.behindSince());
    missed.recordPeer(11, 10, start);
    missed.recordPeer(11, 10, start + milliseconds(100));
    missed.recordPeer(14, 10, start + milliseconds(200));
    CHECK(missed.behindSince() == start);
    missed.recordOwn(12);
    CHECK(missed.behindSince() == start + milliseconds(200));
    missed.recordOwn(14);
    CHECK_FALSE(missed.behindSince());
}

TEST_CASE("a message of a daemon that is behind as well does not hide that changes are missing")
{
    MissedChanges missed;
    missed.recordPeer(11, 10, start);
    missed.recordPeer(10, 10, start + milliseconds(100));
    CHECK(missed.behindSince() == start);
}

TEST_CASE("the oldest missing change is kept however many follow")
{
    MissedChanges missed;
    for (int i = 0; i < 1000; ++i)
        missed.recordPeer(static_cast<std::uint64_t>(11 + i), 10, start + milliseconds(i));
    CHECK(missed.behindSince() == start);
    missed.recordOwn(1009);
    CHECK(missed.behindSince());
    missed.recordOwn(1010);
    CHECK_FALSE(missed.behindSince());
}

TEST_CASE("a reader fetches a change that its own query does not return in time, other daemons fetch it at once")
{
    MissedChanges missed;
    missed.recordPeer(11, 10, start);
    CHECK(missed.shouldFetch(false, start));
    CHECK_FALSE(missed.shouldFetch(true, start + milliseconds(299)));
    CHECK(missed.shouldFetch(true, start + milliseconds(300)));
    missed.recordOwn(11);
    CHECK_FALSE(missed.shouldFetch(false, start + milliseconds(400)));
    CHECK_FALSE(missed.shouldFetch(true, start + milliseconds(400)));
}

TEST_CASE("a daemon that lacks a change for long queries the store, whatever daemons that lack it too say")
{
    MissedChanges missed;
    missed.recordPeer(11, 10, start);
    missed.recordPeer(10, 10, start + milliseconds(900));
    CHECK_FALSE(missed.isOverdue(start + milliseconds(1000)));
    CHECK(missed.isOverdue(start + milliseconds(1001)));
    missed.recordOwn(11);
    CHECK_FALSE(missed.isOverdue(start + milliseconds(1002)));
}

TEST_CASE("a full copy is taken only if no other daemon had the changes for a while")
{
    MissedChanges missed;
    CHECK_FALSE(missed.needsCopy(start));
    missed.recordPeer(11, 10, start);
    CHECK_FALSE(missed.needsCopy(start + milliseconds(299)));
    CHECK(missed.needsCopy(start + milliseconds(300)));
    missed.recordOwn(11);
    CHECK_FALSE(missed.needsCopy(start + milliseconds(300)));
}
