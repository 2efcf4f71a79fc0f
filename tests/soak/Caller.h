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

/// @brief A caller that sends one request after another and keeps its connection until it is closed.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    struct Options {
        std::string name;
        /// Where the daemons are reached.
        std::vector<asio::ip::tcp::endpoint> daemons;
        /// Longest time that it waits for an answer.
        Duration patience = std::chrono::seconds(6);
        Duration pause = std::chrono::milliseconds(15);
        /// Requests after which it goes to another daemon.
        std::size_t requestsPerConnection = 50;
    };
    /// The key to use now.
    using KeySource = std::function<std::string()>;
    using Sink = std::function<void(Record)>;

    Caller(asio::io_context& context, Options options, std::uint64_t seed, KeySource key, Sink sink);

    void start();
    /// @brief Sends nothing more after the present request.
    void stop() { m_isStopping = true; }
    bool isIdle() const { return m_isIdle; }

private:
    void next();
    void connect();
    void send();
    void read();
    void onMessage();
    void onEnd();
    void finish();
    void checkAnswer(const http::MessageHead& head);
    void close();
    std::string expectedBody() const;

    asio::io_context& m_context;
    Options m_options;
    std::mt19937_64 m_random;
    KeySource m_key;
    Sink m_sink;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::unique_ptr<http::MessageParser> m_parser;
    std::array<char, 16384> m_buffer {};
    Record m_record;
    std::optional<http::MessageHead> m_head;
    std::string m_target;
    std::string m_body;
    std::size_t m_daemon = 0;
    std::size_t m_sent = 0;
    std::size_t m_onConnection = 0;
    /// Counts requests, so that handlers of an earlier one do nothing.
    std::uint64_t m_round = 0;
    bool m_isComplete = false;
    bool m_isStopping = false;
    bool m_isIdle = true;
};

}
