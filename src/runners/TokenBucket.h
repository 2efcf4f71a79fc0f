#pragma once

#include "common/Time.h"
#include <optional>

namespace eelgrassford::runners {

/// @brief Token bucket that holds one request at most. No I/O.
class TokenBucket {
public:
    /// @param perSecond requests per second; 0 if none may be sent
    /// @param tokens part of a request that is saved up already, below 1
    TokenBucket(double perSecond, double tokens, TimePoint now);

    void setRate(double perSecond, TimePoint now);
    double perSecond() const { return m_perSecond; }
    bool isAvailable(TimePoint now) const;
    /// @brief Time from which a request may be sent; empty if none may ever be.
    std::optional<TimePoint> availableAt() const;
    /// @brief Counts a request that is sent.
    void take(TimePoint now);

private:
    double tokensAt(TimePoint now) const;

    double m_perSecond;
    double m_tokens;
    TimePoint m_updatedAt;
};

}
