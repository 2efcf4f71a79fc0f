#pragma once

#include "common/Time.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassford::work {

/// @brief Windows and limits of CostModel.
struct CostModelOptions {
    /// Requests after which an observation of a route or organisation has lost most of its weight.
    double memory = 200.0;
    /// Weight, in requests, of the estimate of the route in that of an organisation on it.
    double priorRequests = 5.0;
    /// Pairs of route and organisation that are tracked; each takes about 100 bytes. Others get the route's estimate.
    std::size_t pairLimit = 8192;
    std::size_t routeLimit = 4096;
    /// Window over which the rates of a service are averaged.
    Duration rateWindow = std::chrono::seconds(10);
};

/// @brief How far the work of a request went.
struct Observed {
    /// Events of a stream, or milliseconds of work of an application.
    double amount = 0.0;
    /// Whether the work was complete. Otherwise the request needed at least this amount.
    bool isComplete = true;
};

/// @brief Times of work on the engines of a service, as they are in use.
struct Rates {
    /// Time that one uncached token of a prompt takes, and between two events of a stream.
    double prefillMsPerToken = 0.05;
    double eventMs = 25.0;
    /// Mean time of a request at a runner.
    double requestMs = 1000.0;
    /// Mean uncached prompt tokens of a request.
    double prefillTokens = 1000.0;
};

/// @brief Learns what requests cost from those that were served. No I/O.
///
/// The amount of a route, and of an organisation on a route, is the sum of all observed amounts over the number of
/// complete ones. For amounts that are spread exponentially that is the most likely mean, also if requests were cut off
/// at their deadlines: these add to the sum, but not to the number, so slow requests are not left out.
class CostModel {
public:
    explicit CostModel(const CostModelOptions& options = {})
        : m_options(options)
    {
    }

    /// @brief An expected amount.
    struct Estimate {
        double mean = 0.0;
        /// Standard error of the mean.
        double uncertainty = 0.0;
    };
    /// @brief Expected amount of a request.
    /// @param hint amount that the caller expects
    /// @param unknown amount without any observation or hint
    Estimate estimate(
        std::string_view route, std::string_view organisation, std::optional<double> hint, double unknown) const;
    /// @brief Records how far the work of a request went.
    /// @param hint amount that the caller expected
    void record(
        std::string_view route, std::string_view organisation, std::optional<double> hint, const Observed& observed);

    /// @brief Records the time to the first event of a request on an engine.
    /// @param tokens uncached prompt tokens that the engine had to compute for it
    /// @param pendingTokens those of other requests before it
    void recordFirstEvent(
        const std::string& service, double tokens, double pendingTokens, double milliseconds, TimePoint now);
    /// @brief Records the time between two events of a stream.
    void recordEventGap(const std::string& service, double milliseconds, TimePoint now);
    /// @brief Records the time of a whole request at a runner.
    void recordRequest(const std::string& service, double milliseconds, TimePoint now);
    Rates rates(const std::string& service, TimePoint now) const;
    std::size_t size() const { return m_pairs.size() + m_routes.size(); }

private:
    struct Sums {
        double amounts = 0.0;
        double completions = 0.0;
        /// Sums of the errors of the hint, and of the mean as it was before, over the same complete requests.
        double hintErrors = 0.0;
        double meanErrors = 0.0;
    };
    /// A decaying mean that starts at a prior.
    struct Mean {
        double sum = 0.0;
        double weight = 0.0;
        TimePoint decayedAt {};
        void add(double value, double count, Duration window, TimePoint now);
        double value(double prior, double priorWeight, Duration window, TimePoint now) const;
    };
    struct ServiceRates {
        Mean prefill;
        Mean eventGap;
        Mean request;
        Mean tokens;
    };

    void add(Sums& sums, std::optional<double> hint, const Observed& observed) const;
    double meanOf(const Sums& sums, double prior) const;

    CostModelOptions m_options;
    std::unordered_map<std::uint64_t, Sums> m_pairs;
    std::unordered_map<std::uint64_t, Sums> m_routes;
    std::map<std::string, ServiceRates> m_services;
};

}
