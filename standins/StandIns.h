#pragma once

#include "gateway/Http.h"
#include <asio.hpp>
#include <cstdint>
#include <string>

namespace eelgrassford::standins {

/// @brief A model engine: continuous batching, a limited prefix cache, resumable streams, late load reports.
struct ModelEngineOptions {
    std::string ip;
    std::uint16_t port = 0;
    std::string name;
    /// Time between tokens of one stream.
    double tokenSeconds = 0.005;
    /// Time to compute one prompt token that is not cached.
    double prefillSeconds = 0.00001;
    /// Prompt tokens that the prefix cache holds.
    std::size_t cacheTokens = 200000;
    /// Age of the figures in load reports.
    double reportLagSeconds = 0.2;
    /// A prompt that contains this text ends the process.
    std::string crashText;
};

/// @brief A plain service that counts each run by idempotency key.
struct ApplicationRunnerOptions {
    std::string ip;
    std::uint16_t port = 0;
    std::string name;
    double runSeconds = 0.01;
};

/// @brief The configuration service and the host list, served from a directory that tests change.
struct PlatformOptions {
    std::string ip;
    std::uint16_t port = 0;
    /// Directory with the published bundle: `manifest` and `parts/`.
    std::string bundle;
    std::string hostList;
};

/// @brief The store of the users' platform, written by tests.
struct StoreOptions {
    std::string ip;
    std::uint16_t port = 0;
};

/// @brief A runner of the users' platform that counts its runs by request id.
struct PlatformRunnerOptions {
    std::string ip;
    std::uint16_t port = 0;
    std::string name;
    /// Time of a run, or between two events of a stream.
    double runSeconds = 0.01;
    /// Events of a stream.
    int events = 40;
    /// File to which each run is appended, with the runner and the time; empty for none. It outlives the process.
    std::string runLog;
};

void runStore(asio::io_context& context, const StoreOptions& options);
void runPlatformRunner(asio::io_context& context, const PlatformRunnerOptions& options);
void runModelEngine(asio::io_context& context, const ModelEngineOptions& options);
void runApplicationRunner(asio::io_context& context, const ApplicationRunnerOptions& options);
void runPlatform(asio::io_context& context, const PlatformOptions& options);

/// @brief Serves requests with a handler until the process ends.
void serve(asio::io_context& context, const std::string& ip, std::uint16_t port, gateway::Handler handler);

/// @brief Value of one parameter of a query, empty if absent.
std::string queryParameter(std::string_view query, std::string_view name);

}
