#pragma once

#include "gateway/HttpServer.h"

namespace eelgrassford::gateway {

/// @brief Serves operators: `/healthz`, readiness, `/metrics` and `/admin/status`.
class AdminServer {
public:
    struct Sources {
        std::function<bool()> isReady;
        std::function<std::string()> metrics;
        /// JSON text.
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
