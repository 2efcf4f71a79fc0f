#pragma once

#include "gateway/HttpServer.h"

namespace eelgrassford::gateway {

/// @brief Serves operators: `/healthz`, readiness, `/metrics` and `/admin/status`.
class AdminServer {
public:
    /// @brief Callbacks that supply the answers.
    struct Sources {
        std::function<bool()> isReady;
        /// Metrics in the Prometheus text format.
        std::function<std::string()> metrics;
        /// Status as JSON text.
        std::function<std::string()> status;
    };

    AdminServer(asio::io_context& context, const std::string& ip, std::uint16_t port, Sources sources,
        std::string readinessPath = "/readyz");

private:
    HttpResponse answer(const HttpRequest& request) const;

    Sources m_sources;
    std::string m_readinessPath;
    HttpServer m_server;
};

}
