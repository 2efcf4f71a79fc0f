#pragma once

#include <algorithm>

namespace eelgrassford::dispatch {

/// @brief Bounds retries by a share of recent successes, so that retries cannot multiply an overload.
///
/// A token bucket: each success adds a fraction of a token, each retry takes one.
class RetryBudget {
public:
    struct Options {
        /// Tokens a success adds.
        double ratio = 0.1;
        /// Largest number of tokens, also the number at the start.
        double capacity = 20.0;
    };

    explicit RetryBudget(const Options& options);
    RetryBudget();

    void recordSuccess();
    /// @brief Takes one token if there is one.
    bool tryTake();
    double tokens() const { return m_tokens; }

private:
    Options m_options;
    double m_tokens;
};

}
