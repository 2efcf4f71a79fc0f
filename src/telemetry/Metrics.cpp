#include "telemetry/Metrics.h"

#include <prometheus/text_serializer.h>

namespace eelgrassford::telemetry {

namespace {

    using Registry = prometheus::Registry;

    prometheus::Family<prometheus::Counter>& counterFamily(
        Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    const prometheus::Histogram::BucketBoundaries firstByteBuckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6,
        2.5, 5.0, 10.0 };

    struct MetricHelp {
        const char* name;
        const char* help;
    };

    constexpr MetricHelp gaugeHelp[] = {
        { "eelgrassford_configuration_revision", "Revision of the configuration in force" },
        { "eelgrassford_configuration_age_seconds", "Time since a source last confirmed the revision in force" },
        { "eelgrassford_host_list_revision", "Revision of the host list in use" },
        { "eelgrassford_hosts", "Listed hosts by role and state" },
        { "eelgrassford_peers_connected", "Daemons with an authenticated connection" },
        { "eelgrassford_ready", "1 when the daemon accepts new work" },
        { "eelgrassford_claims_ready", "1 when the daemon grants claims as a witness" },
        { "eelgrassford_claims_grants", "Grants that the witness keeps" },
        { "eelgrassford_claims_records", "Keys whose claim or answer the daemon keeps" },
        { "eelgrassford_runner_load",
            "Estimated outstanding work of a runner over its weight, in decode-token equivalents" },
        { "eelgrassford_load_skew", "Largest over mean estimated load of the runners of a model" },
        { "eelgrassford_requests_running", "Admitted requests under way" },
        { "eelgrassford_requests_queued", "Requests waiting for admission" },
        { "eelgrassford_quarantined_requests", "Request digests in quarantine" },
        { "eelgrassford_relayed_requests", "Relayed requests under way" },
        { "eelgrassford_caller_bytes", "Bytes held for callers, by the capacity of buffers" },
        { "eelgrassford_caller_bytes_budget", "Most bytes that may be held for callers" },
        { "eelgrassford_caller_connections", "Open connections of callers" },
        { "eelgrassford_caller_descriptors", "Descriptors of callers' connections and of requests under way" },
        { "eelgrassford_caller_descriptors_budget", "Most descriptors that callers may use" },
        { "eelgrassford_proof_age_seconds", "Age of the newest proof that the configuration in force is current" },
        { "eelgrassford_members_heard", "Daemons heard of lately" },
        { "eelgrassford_store_reader", "1 when this daemon reads the store itself" },
        { "eelgrassford_runners", "Runners of a service by state" },
        { "eelgrassford_limited_runners", "Runners of a service that limit their request rates" },
        { "eelgrassford_cold_runners", "Runners of a service with a cold start that are, or may be, cold" },
        { "eelgrassford_evacuated_data_centres", "Data centres that the operator took out of service" },
        { "eelgrassford_store_era", "Era that the store states, which rises when it is restored; 0 without" },
        { "eelgrassford_path_lost", "1 while this daemon reaches no runner, though they serve other daemons" },
        { "eelgrassford_kept_stream_origins", "Streams whose beginning software this daemon keeps for the fleet" },
        { "eelgrassford_service_under_way",
            "Requests that all daemons have under way at the usable runners of a service" },
        { "eelgrassford_service_bound", "Requests under way at which a service counts as fully loaded" },
        { "eelgrassford_service_overloaded", "1 while requests of a service are refused because of its load" },
        { "eelgrassford_service_demand", "Work that callers request of all daemons, in slots of a service" },
        { "eelgrassford_service_share", "Share of the requested work that a service admits" },
        { "eelgrassford_service_lowest_share", "Smallest admitted share of a known organisation and priority" },
        { "eelgrassford_retries_left", "Repeats that the budget of a service allows now" },
        { "eelgrassford_placement_exceptions", "Chats remembered away from their first choice" },
    };

    constexpr MetricHelp totalHelp[] = {
        { "eelgrassford_peer_sent_bytes_total", "Bytes sent to other daemons by kind of message" },
        { "eelgrassford_peer_received_bytes_total", "Bytes received from other daemons by kind of message" },
        { "eelgrassford_peer_sent_messages_total", "Messages sent to other daemons by kind" },
        { "eelgrassford_peer_rejected_frames_total", "Frames from peers that failed authentication or decoding" },
        { "eelgrassford_peer_dropped_frames_total", "Frames dropped because a peer did not keep up" },
        { "eelgrassford_store_queries_total", "Queries to the store" },
        { "eelgrassford_peer_fetches_total", "Fetches of published changes from other daemons" },
        { "eelgrassford_fleet_sent_bytes_total", "Bytes of datagrams sent to other daemons" },
        { "eelgrassford_fleet_received_bytes_total", "Bytes of datagrams received from other daemons" },
        { "eelgrassford_fleet_rejected_total", "Datagrams that could not be read" },
        { "eelgrassford_log_dropped_total", "Log lines that standard output did not take in time" },
        { "eelgrassford_callers_rejected_total", "Callers rejected for want of memory or descriptors, or as slow" },
        { "eelgrassford_runner_connections_total", "Connections opened to runners of a service" },
        { "eelgrassford_overload_refusals_total", "Requests refused because of the load of a service, by reason" },
        { "eelgrassford_platform_calls_total",
            "Calls to the configuration service and host list, waiting watches included" },
        { "eelgrassford_configuration_conflicts_total", "Offers of the revision in force with other content" },
        { "eelgrassford_host_lists_ignored_total", "Empty host lists that were ignored" },
    };

}

Metrics::Metrics()
    : m_registry(std::make_shared<Registry>())
    , m_outcomes(counterFamily(*m_registry, "eelgrassford_requests_total", "Finished requests by outcome"))
    , m_placements(counterFamily(*m_registry, "eelgrassford_placements_total", "Placements by model and reason"))
    , m_attemptFailures(
          counterFamily(*m_registry, "eelgrassford_attempt_failures_total", "Failed upstream calls by kind"))
    , m_droppedAnswers(counterFamily(
          *m_registry, "eelgrassford_answers_dropped_total", "Upstream answers that belonged to another call")
                           .Add({}))
    , m_reusableTokens(counterFamily(*m_registry, "eelgrassford_reusable_prompt_tokens_total",
          "Prompt tokens placed on a runner that probably holds them")
                           .Add({}))
    , m_promptTokens(counterFamily(*m_registry, "eelgrassford_prompt_tokens_total", "Prompt tokens placed").Add({}))
    , m_latency(prometheus::BuildHistogram()
                    .Name("eelgrassford_request_seconds")
                    .Help("Time from the arrival of a relayed request to the end of its answer, by outcome")
                    .Register(*m_registry))
    , m_firstByte(prometheus::BuildHistogram()
                      .Name("eelgrassford_first_byte_seconds")
                      .Help("Time from the arrival of a request to the first byte of its answer")
                      .Register(*m_registry)
                      .Add({}, firstByteBuckets))
{
    for (const auto& [name, help] : gaugeHelp)
        m_gauges[name] = &prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry);
    for (const auto& [name, help] : totalHelp)
        m_totals[name] = &counterFamily(*m_registry, name, help);
}

void Metrics::observeRequest(const std::string& outcome, double seconds)
{
    m_latency.Add({ { "outcome", outcome } }, firstByteBuckets).Observe(seconds);
}

void Metrics::setGauge(const std::string& name, double value, const Labels& labels)
{
    m_gauges.at(name)->Add(labels).Set(value);
}

void Metrics::setTotal(const std::string& name, double total, const Labels& labels)
{
    auto& counter = m_totals.at(name)->Add(labels);
    counter.Increment(total - counter.Value());
}

std::string Metrics::serialize() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

}
