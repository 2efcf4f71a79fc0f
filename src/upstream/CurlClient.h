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

/// @brief One HTTP call.
struct Call {
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    /// False for calls that must leave at most once: they get a fresh connection, which the library never retries.
    bool isRepeatable = true;
    Duration timeout = std::chrono::seconds(30);
    Duration connectTimeout = std::chrono::milliseconds(1000);
};

/// @brief How a call ended.
enum class CallEnd {
    /// The whole response arrived.
    Complete,
    /// The connection was never opened: nothing left.
    NeverConnected,
    Broken,
    TimedOut,
};

struct CallResult {
    CallEnd end = CallEnd::Broken;
    std::string detail;
};

/// @brief What a caller of the client is told, on the client's thread.
struct CallEvents {
    std::function<void(std::uint16_t status, const Headers& headers)> responded;
    std::function<void(std::string_view bytes)> received;
    std::function<void(const CallResult& result)> ended;
};

/// @brief HTTP calls by libcurl on the thread that runs an io_context.
class CurlClient {
public:
    explicit CurlClient(asio::io_context& context);
    ~CurlClient();
    CurlClient(const CurlClient&) = delete;
    CurlClient& operator=(const CurlClient&) = delete;

    /// @brief Starts a call; events come later, never from within this function.
    CallId start(const Call& call, CallEvents events);
    /// @brief Ends a call without further events and closes its connection.
    void cancel(CallId call);
    /// @brief Collects a whole body of at most 16 MB.
    CallId fetch(const Call& call, std::function<void(const CallResult&, std::uint16_t status, std::string body)> done);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
