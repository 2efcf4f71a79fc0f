#pragma once

#include "gateway/Http.h"
#include <chrono>

namespace asio {
class io_context;
}

namespace eelgrassford::gateway {

/// @brief An HTTP/1.1 server on the thread that runs an io_context.
class HttpServer {
public:
    struct Options {
        std::string ip;
        std::uint16_t port = 0;
        /// Bodies over this are answered with 413.
        std::size_t bodyLimit = 8u << 20;
        std::size_t headerCountLimit = 100;
        std::size_t headerBytesLimit = 16384;
        /// Time in which a request must arrive.
        std::chrono::seconds readTimeout { 15 };
        std::chrono::seconds writeTimeout { 60 };
        /// Time that a handler may take.
        std::chrono::seconds handleTimeout { 3700 };
        /// Lets several threads accept on one address.
        bool isSharingPort = false;
    };

    /// @brief Binds and listens; throws std::runtime_error if the address cannot be bound.
    HttpServer(asio::io_context& context, const Options& options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @brief Stops accepting connections; requests under way go on.
    void stopAccepting();
    /// @brief Asks callers to close their connections after each response from now on.
    void closeAfterResponses();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
