#pragma once

#include "gateway/Http.h"
#include <asio.hpp>
#include <cstdint>
#include <string>

namespace eelgrassford::standins {

/// @brief Simulates a model engine with continuous batching, a bounded prefix cache, resumable streams and delayed
/// load reports.
struct ModelEngineOptions {
    std::string ip;
    std::uint16_t port = 0;
    std::string name;
    /// Seconds between two tokens of a generation.
    double tokenSeconds = 0.005;
    /// Seconds to compute one prompt token that is not in the prefix cache.
    double prefillSeconds = 0.00001;
    /// Capacity of the prefix cache in prompt tokens.
    std::size_t cacheTokens = 200000;
    /// Age in seconds of the load that load reports show.
    double reportLagSeconds = 0.2;
    /// A request whose body contains this text ends the process; empty for none.
    std::string crashText;
};

/// @brief Simulates an application service that counts its runs by idempotency key, or by body without one.
struct ApplicationRunnerOptions {
    std::string ip;
    std::uint16_t port = 0;
    /// Name of the runner, given in its answers.
    std::string name;
    /// Seconds that a run takes.
    double runSeconds = 0.01;
};

/// @brief Simulates the configuration service and the host list; serves files that tests may replace
/// at any time.
struct PlatformOptions {
    std::string ip;
    std::uint16_t port = 0;
    /// Directory with the published bundle: `manifest` and `parts/`.
    std::string bundle;
    /// File with the host list.
    std::string hostList;
};

/// @brief Simulates the key-value store of the users' platform; tests write its keys.
struct StoreOptions {
    std::string ip;
    std::uint16_t port = 0;
};

/// @brief Simulates a runner of the users' platform that counts its runs by attempt id.
struct PlatformRunnerOptions {
    std::string ip;
    std::uint16_t port = 0;
    /// Instance id; requests that expect another instance are refused with 421.
    std::string name;
    /// Seconds that a run takes, or between two events of a stream.
    double runSeconds = 0.01;
    /// Number of events in a stream.
    int events = 40;
    /// Version of its software, which each event states; empty to state none.
    std::string version;
    /// File to which each run is appended with the runner and the time, so that the record survives the process;
    /// empty for none.
    std::string runLog;
    /// Seconds for which it is cold after its start, as its responses state, and after the fault "cold".
    double coldSeconds = 0.0;
};

/// @brief Simulates the store of the users' platform until the process ends.
void runStore(asio::io_context& context, const StoreOptions& options);
/// @brief Simulates a runner of the users' platform until the process ends.
void runPlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options);
/// @brief Simulates a model engine until the process ends.
void runModelEngine(asio::io_context& context, const ModelEngineOptions& options);
/// @brief Simulates an application service until the process ends.
void runApplicationRunner(asio::io_context& context, const ApplicationRunnerOptions& options);
/// @brief Simulates the configuration service and the host list until the process ends.
void runPlatform(asio::io_context& context, const PlatformOptions& options);

/// @brief Serves HTTP requests with a handler until the process ends.
/// @throws std::runtime_error if the address cannot be bound
void serve(asio::io_context& context, const std::string& ip, std::uint16_t port, gateway::Handler handler);

/// @brief Value of a query parameter, without percent-decoding; empty if absent.
std::string queryParameter(std::string_view query, std::string_view name);

}
