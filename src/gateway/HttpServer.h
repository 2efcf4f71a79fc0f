#pragma once

#include "gateway/Http.h"
#include <chrono>

namespace asio {
class io_context;
}

namespace eelgrassford::gateway {

/// @brief An HTTP/1.1 server that runs on the thread of its io_context.
class HttpServer {
public:
    struct Options {
        std::string ip;
        std::uint16_t port = 0;
        /// Largest body in bytes; larger ones are answered with 413.
        std::size_t bodyLimit = 8u << 20;
        /// Most headers in a request; more are answered with 431.
        std::size_t headerCountLimit = 100;
        /// Total size of header names and values in bytes; larger ones are answered with 431.
        std::size_t headerBytesLimit = 16384;
        /// Time within which a request must arrive completely.
        std::chrono::seconds readTimeout { 15 };
        /// Time within which response data must be written.
        std::chrono::seconds writeTimeout { 60 };
        /// Time within which a handler must answer.
        std::chrono::seconds handleTimeout { 3700 };
        /// Whether several servers may listen on one address (SO_REUSEPORT).
        bool isSharingPort = false;
    };

    /// @brief Binds and listens; throws std::runtime_error if the address cannot be bound.
    HttpServer(asio::io_context& context, const Options& options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @brief Stops accepting connections; requests in flight continue.
    void stopAccepting();
    /// @brief Sends `Connection: close` with every response from now on.
    void closeAfterResponses();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
