#pragma once

#include "http/MessageParser.h"
#include "soak/Record.h"
#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace eelgrassford::soak {

/// @brief Sends requests one at a time over a keep-alive connection and records their outcomes.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    struct Options {
        /// Prefix of its request ids.
        std::string name;
        /// Addresses at which callers reach the daemons.
        std::vector<asio::ip::tcp::endpoint> daemons;
        /// Maximum time from sending a request to its complete response.
        Duration timeout = std::chrono::seconds(6);
        /// Time between the end of a request and the next one.
        Duration pauseBetweenRequests = std::chrono::milliseconds(15);
        /// Requests sent on a connection before connecting to a randomly chosen daemon.
        std::size_t requestsPerConnection = 50;
    };
    /// Returns the API key for the next request.
    using KeySource = std::function<std::string()>;
    /// Receives the record of each finished request.
    using RecordHandler = std::function<void(Record)>;

    Caller(asio::io_context& context, Options options, std::uint64_t seed, KeySource keySource,
        RecordHandler recordHandler);

    void start();
    /// @brief Stops after the current request.
    void stop() { m_isStopping = true; }
    /// @brief Whether it has stopped or not yet started.
    bool isIdle() const { return m_isIdle; }

private:
    void scheduleNext();
    void connect();
    void send();
    void read();
    void handleResponse();
    void handleConnectionEnd();
    void finish();
    void checkResponse(const http::MessageHead& head);
    void close();
    std::string expectedBody() const;
    /// Keeps what arrived whole of a stream that broke off, so that the next request continues it.
    void keepBrokenStream();
    /// Headers that say which stream the request continues.
    std::string continuationHeaders() const;

    asio::io_context& m_context;
    Options m_options;
    std::mt19937_64 m_random;
    KeySource m_keySource;
    RecordHandler m_recordHandler;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::unique_ptr<http::MessageParser> m_parser;
    std::array<char, 16384> m_buffer {};
    Record m_record;
    std::optional<http::MessageHead> m_head;
    std::string m_target;
    std::string m_body;
    /// Whole events of the stream that the request continues, and the id of the request that began it.
    std::string m_begunBody;
    std::string m_begunBy;
    std::size_t m_continuations = 0;
    std::size_t m_daemonIndex = 0;
    std::size_t m_sentRequests = 0;
    std::size_t m_requestsOnConnection = 0;
    /// Incremented for each operation, so that handlers of earlier operations do nothing.
    std::uint64_t m_generation = 0;
    bool m_isComplete = false;
    bool m_isStopping = false;
    bool m_isIdle = true;
};

}
