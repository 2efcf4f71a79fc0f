#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace eelgrassford::telemetry {

/// @brief Every metric of the daemon with its help text. Safe to use from any thread.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    /// @brief Counts a finished request by outcome, such as answered, not-run or unknown.
    void countOutcome(const std::string& outcome) { m_outcomes.Add({ { "outcome", outcome } }).Increment(); }
    void countPlacement(const std::string& model, const std::string& reason)
    {
        m_placements.Add({ { "model", model }, { "reason", reason } }).Increment();
    }
    void countAttemptFailure(const std::string& kind) { m_attemptFailures.Add({ { "kind", kind } }).Increment(); }
    /// @brief Counts an upstream answer that belonged to another call.
    void countDroppedAnswer() { m_droppedAnswers.Increment(); }
    /// @brief Counts the prompt tokens of a placed request.
    /// @param reusable those that the chosen runner probably holds already
    void countPromptTokens(double reusable, double prompt)
    {
        m_reusableTokens.Increment(reusable);
        m_promptTokens.Increment(prompt);
    }
    /// @brief Records the duration of a relayed request.
    void observeRequest(const std::string& outcome, double seconds);
    void observeFirstByte(double seconds) { m_firstByte.Observe(seconds); }
    /// @brief Sets a gauge; @a labels select the time series.
    void setGauge(const std::string& name, double value, const Labels& labels = {});
    /// @brief Raises a counter to @a total, the current value of a count kept elsewhere.
    void setTotal(const std::string& name, double total, const Labels& labels = {});

    /// @brief All metrics in the Prometheus text format.
    std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_outcomes;
    prometheus::Family<prometheus::Counter>& m_placements;
    prometheus::Family<prometheus::Counter>& m_attemptFailures;
    prometheus::Counter& m_droppedAnswers;
    prometheus::Counter& m_reusableTokens;
    prometheus::Counter& m_promptTokens;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Histogram& m_firstByte;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> m_totals;
};

}
