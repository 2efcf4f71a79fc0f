#pragma once

#include "common/Time.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace eelgrassford::upstream {

using CallId = std::uint64_t;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief An HTTP request with its timeouts.
struct Call {
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    /// False for a call that must be sent at most once. It uses a new connection, since libcurl resends a request whose
    /// reused connection turns out to be closed.
    bool isRepeatable = true;
    /// Whether to open a connection instead of reusing one, which may have fallen silent.
    bool needsNewConnection = false;
    /// Time limit for the whole call.
    Duration timeout = std::chrono::seconds(30);
    Duration connectTimeout = std::chrono::milliseconds(1000);
};

/// @brief How a call ended.
enum class CallEnd {
    /// The whole response arrived.
    Complete,
    /// No connection was established, so nothing was sent.
    NeverConnected,
    /// The call failed for another reason; the request may have been sent.
    Broken,
    TimedOut,
};

/// @brief Outcome of a call.
struct CallResult {
    CallEnd end = CallEnd::Broken;
    /// Text of the result code of libcurl.
    std::string detail;
};

/// @brief A collected response.
struct Response {
    /// 0 without a response.
    std::uint16_t status = 0;
    Headers headers;
    std::string body;
};

/// @brief Callbacks of a call, called on the thread that runs the io_context.
struct CallEvents {
    /// The head of the response arrived.
    std::function<void(std::uint16_t status, const Headers& headers)> responded;
    /// Bytes of the response body arrived.
    std::function<void(std::string_view bytes)> received;
    /// The call ended; the last callback.
    std::function<void(const CallResult& result)> ended;
};

/// @brief Asynchronous HTTP client based on libcurl. Must be used on the thread that runs the io_context.
class CurlClient {
public:
    explicit CurlClient(asio::io_context& context);
    ~CurlClient();
    CurlClient(const CurlClient&) = delete;
    CurlClient& operator=(const CurlClient&) = delete;

    /// @brief Starts a call. No callback is called from within this function.
    CallId start(const Call& call, CallEvents events);
    /// @brief Aborts a call without further callbacks and closes its connection.
    void cancel(CallId call);
    /// @brief Starts a call and collects its response. Bytes that would make the body larger than 16 MiB are discarded.
    CallId collect(const Call& call, std::function<void(const CallResult&, const Response&)> done);
    /// @brief Starts a call and collects its response body.
    /// @param done receives the result, the status (0 without a response) and the body; bytes that would make
    /// the body larger than 16 MiB are discarded
    CallId fetch(const Call& call, std::function<void(const CallResult&, std::uint16_t status, std::string body)> done);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
