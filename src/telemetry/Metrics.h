#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace eelgrassford::telemetry {

/// @brief Every metric of the daemon, with its unit and help text. Safe to use from any thread.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    /// @brief Counts a finished request by outcome: such as answered, not-run or unknown.
    void countOutcome(const std::string& outcome) { m_outcomes.Add({ { "outcome", outcome } }).Increment(); }
    void countPlacement(const std::string& model, const std::string& reason)
    {
        m_placements.Add({ { "model", model }, { "reason", reason } }).Increment();
    }
    void countAttemptFailure(const std::string& kind) { m_attemptFailures.Add({ { "kind", kind } }).Increment(); }
    void countDroppedAnswer() { m_droppedAnswers.Increment(); }
    void countPromptTokens(double reusable, double prompt)
    {
        m_reusableTokens.Increment(reusable);
        m_promptTokens.Increment(prompt);
    }
    /// @brief Observes how long a relayed request took.
    void observeRequest(const std::string& outcome, double seconds);
    void observeFirstByte(double seconds) { m_firstByte.Observe(seconds); }
    /// @brief Sets a gauge; @a labels tell its instances apart.
    void setGauge(const std::string& name, double value, const Labels& labels = {});
    /// @brief Sets a counter kept elsewhere to its present total.
    void setTotal(const std::string& name, double total, const Labels& labels = {});

    /// @brief The Prometheus text format.
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
