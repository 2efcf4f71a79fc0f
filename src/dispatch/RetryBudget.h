#pragma once

#include <algorithm>

namespace eelgrassford::dispatch {

/// @brief Limits retries to a share of recent successes, so that retries cannot amplify an overload.
///
/// It is a token bucket: each success adds a fraction of a token, and each retry takes one token.
class RetryBudget {
public:
    struct Options {
        /// Tokens that a success adds.
        double ratio = 0.1;
        /// Largest number of tokens; the bucket starts full.
        double capacity = 20.0;
    };

    explicit RetryBudget(const Options& options);
    RetryBudget();

    /// @brief Adds the tokens of one success.
    void recordSuccess();
    /// @brief Takes one token.
    /// @return false if less than one token is left
    bool tryTake();
    double tokens() const { return m_tokens; }

private:
    Options m_options;
    double m_tokens;
};

}
