#include "runners/TokenBucket.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using runners::TokenBucket;
using std::chrono::milliseconds;

TEST_CASE("a token bucket allows requests at its rate, and saves up one at most")
{
    constexpr TimePoint start { std::chrono::seconds(100) };
    TokenBucket bucket(2.0, 0.5, start);
    CHECK_FALSE(bucket.isAvailable(start));
    CHECK(bucket.availableAt() == start + milliseconds(250));
    CHECK(bucket.isAvailable(start + milliseconds(250)));
    const auto later = start + std::chrono::seconds(10);
    bucket.take(later);
    CHECK_FALSE(bucket.isAvailable(later + milliseconds(499)));
    CHECK(bucket.isAvailable(later + milliseconds(500)));
    bucket.setRate(0.0, later);
    CHECK_FALSE(bucket.isAvailable(later + std::chrono::seconds(10)));
    CHECK_FALSE(bucket.availableAt());
}
