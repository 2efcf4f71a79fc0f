#include "upstream/CurlClient.h"

#include <asio.hpp>
#include <curl/curl.h>
#include <map>

namespace eelgrassford::upstream {

namespace {

    constexpr std::size_t maxFetchedBytes = 16u << 20;
    constexpr long maxCachedConnections = 1024;

    struct GlobalState {
        GlobalState() { curl_global_init(CURL_GLOBAL_DEFAULT); }
        ~GlobalState() { curl_global_cleanup(); }
    };

    long curlMilliseconds(Duration duration)
    {
        return std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(duration).count());
    }

    /// A call in progress.
    struct Transfer {
        CallId id = 0;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        std::string body;
        CallEvents events;
        Headers responseHeaders;
        bool hasResponded = false;

        Transfer() = default;
        Transfer(const Transfer&) = delete;
        Transfer& operator=(const Transfer&) = delete;
        ~Transfer()
        {
            curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }

        void notifyResponded()
        {
            if (std::exchange(hasResponded, true))
                return;
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            if (events.responded)
                events.responded(static_cast<std::uint16_t>(status), responseHeaders);
        }
    };

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        std::string_view line(data, size * count);
        while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
            line.remove_suffix(1);
        if (line.starts_with("HTTP/")) {
            transfer.responseHeaders.clear();
            return size * count;
        }
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.remove_prefix(1);
            transfer.responseHeaders.emplace_back(line.substr(0, colon), value);
        }
        return size * count;
    }

    /// Whether a final response has a status of HTTP. libcurl takes any number.
    bool hasFinalStatus(CURL* easy)
    {
        constexpr long firstFinal = 200;
        constexpr long last = 599;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        return status >= firstFinal && status <= last;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        constexpr std::size_t abortTransfer = 0;
        if (!hasFinalStatus(transfer.easy))
            return abortTransfer;
        transfer.notifyResponded();
        if (transfer.events.received)
            transfer.events.received({ data, size * count });
        return size * count;
    }

    CallResult resultOf(CURL* easy, CURLcode code)
    {
        // If a reused connection fails, libcurl opens a new one and resends the request. A refusal of the new
        // connection then does not prove that nothing was sent, so the number of bytes sent is checked too.
        long bytesSent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytesSent);
        CallResult result;
        result.detail = curl_easy_strerror(code);
        if (code == CURLE_OK)
            result.end = CallEnd::Complete;
        else if (bytesSent == 0 && (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST))
            result.end = CallEnd::NeverConnected;
        else if (code == CURLE_OPERATION_TIMEDOUT)
            result.end = CallEnd::TimedOut;
        return result;
    }

}

class CurlClient::Implementation {
public:
    explicit Implementation(asio::io_context& context)
        : m_context(context)
        , m_timer(context)
    {
        static const GlobalState globalState;
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocketCallback);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimerCallback);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    }

    ~Implementation()
    {
        *m_isAlive = false;
        for (auto& [id, transfer] : m_transfers)
            curl_multi_remove_handle(m_multi, transfer->easy);
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    CallId start(const Call& call, CallEvents events)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = m_nextId++;
        transfer->easy = curl_easy_init();
        transfer->body = call.body;
        transfer->events = std::move(events);
        configure(*transfer, call);
        const auto id = transfer->id;
        curl_multi_add_handle(m_multi, transfer->easy);
        m_transfers.emplace(id, std::move(transfer));
        return id;
    }

    void cancel(CallId id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            return;
        // libcurl may be inside a callback of this transfer, where the transfer must not be removed.
        found->second->events = {};
        asio::post(m_context, [this, id, isAlive = m_isAlive] {
            if (*isAlive)
                remove(id);
        });
    }

private:
    struct Socket {
        explicit Socket(asio::io_context& context, curl_socket_t handle)
            : descriptor(context, handle)
        {
        }
        asio::posix::stream_descriptor descriptor;
        /// Events that libcurl waits for, as CURL_POLL_* bits.
        int awaitedEvents = 0;
        bool isReading = false;
        bool isWriting = false;
    };
    using SocketHandle = std::shared_ptr<Socket>;

    void configure(Transfer& transfer, const Call& call)
    {
        auto* easy = transfer.easy;
        std::string line;
        for (const auto& [name, value] : call.headers) {
            line.assign(name).append(": ").append(value);
            transfer.headers = curl_slist_append(transfer.headers, line.c_str());
        }
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, curlMilliseconds(call.timeout));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, curlMilliseconds(call.connectTimeout));
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        if (call.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        if (!transfer.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.body.data());
        }
        if (!call.isRepeatable || call.needsNewConnection)
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        if (!call.isRepeatable)
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }

    static int onSocketCallback(CURL*, curl_socket_t handle, int awaitedEvents, void* self, void*)
    {
        static_cast<Implementation*>(self)->watch(handle, awaitedEvents);
        return 0;
    }

    static int onTimerCallback(CURLM*, long milliseconds, void* self)
    {
        static_cast<Implementation*>(self)->setTimer(milliseconds);
        return 0;
    }

    void watch(curl_socket_t handle, int awaitedEvents)
    {
        if (awaitedEvents == CURL_POLL_REMOVE) {
            const auto found = m_sockets.find(handle);
            if (found == m_sockets.end())
                return;
            // libcurl closes the descriptor itself.
            found->second->awaitedEvents = 0;
            found->second->descriptor.release();
            m_sockets.erase(found);
            return;
        }
        auto& socket = m_sockets[handle];
        if (!socket)
            socket = std::make_shared<Socket>(m_context, handle);
        socket->awaitedEvents = awaitedEvents;
        arm(socket, handle);
    }

    void arm(const SocketHandle& socket, curl_socket_t handle)
    {
        if ((socket->awaitedEvents & CURL_POLL_IN) && !socket->isReading) {
            socket->isReading = true;
            wait(socket, handle, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN);
        }
        if ((socket->awaitedEvents & CURL_POLL_OUT) && !socket->isWriting) {
            socket->isWriting = true;
            wait(socket, handle, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT);
        }
    }

    void wait(
        const SocketHandle& socket, curl_socket_t handle, asio::posix::stream_descriptor::wait_type type, int event)
    {
        socket->descriptor.async_wait(
            type, [this, socket, handle, event, isAlive = m_isAlive](const asio::error_code& error) {
                (event == CURL_CSELECT_IN ? socket->isReading : socket->isWriting) = false;
                if (!*isAlive || error
                    || !(socket->awaitedEvents & (event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT)))
                    return;
                perform(handle, event);
                const auto found = m_sockets.find(handle);
                if (found != m_sockets.end() && found->second == socket)
                    arm(socket, handle);
            });
    }

    void setTimer(long milliseconds)
    {
        m_timer.cancel();
        if (milliseconds < 0)
            return;
        m_timer.expires_after(std::chrono::milliseconds(milliseconds));
        m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
            if (!error && *isAlive)
                perform(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void perform(curl_socket_t handle, int event)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, handle, event, &running);
        int messagesLeft = 0;
        while (auto* message = curl_multi_info_read(m_multi, &messagesLeft)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(transfer->id, message->data.result);
        }
    }

    void finish(CallId id, CURLcode code)
    {
        const auto found = m_transfers.find(id);
        auto transfer = std::move(found->second);
        m_transfers.erase(found);
        curl_multi_remove_handle(m_multi, transfer->easy);
        if (code == CURLE_OK && !hasFinalStatus(transfer->easy))
            code = CURLE_WEIRD_SERVER_REPLY;
        if (code == CURLE_OK)
            transfer->notifyResponded();
        if (transfer->events.ended)
            transfer->events.ended(resultOf(transfer->easy, code));
    }

    void remove(CallId id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            return;
        curl_multi_remove_handle(m_multi, found->second->easy);
        m_transfers.erase(found);
    }

    asio::io_context& m_context;
    asio::steady_timer m_timer;
    CURLM* m_multi = nullptr;
    CallId m_nextId = 1;
    std::map<CallId, std::unique_ptr<Transfer>> m_transfers;
    std::map<curl_socket_t, SocketHandle> m_sockets;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

CurlClient::CurlClient(asio::io_context& context)
    : m_implementation(std::make_unique<Implementation>(context))
{
}

CurlClient::~CurlClient() = default;

CallId CurlClient::start(const Call& call, CallEvents events)
{
    return m_implementation->start(call, std::move(events));
}

void CurlClient::cancel(CallId call) { m_implementation->cancel(call); }

CallId CurlClient::collect(const Call& call, std::function<void(const CallResult&, const Response&)> done)
{
    auto response = std::make_shared<Response>();
    CallEvents events;
    events.responded = [response](std::uint16_t status, const Headers& headers) {
        response->status = status;
        response->headers = headers;
    };
    events.received = [response](std::string_view bytes) {
        if (response->body.size() + bytes.size() <= maxFetchedBytes)
            response->body += bytes;
    };
    events.ended = [response, done = std::move(done)](const CallResult& result) { done(result, *response); };
    return start(call, std::move(events));
}

CallId CurlClient::fetch(const Call& call, std::function<void(const CallResult&, std::uint16_t, std::string)> done)
{
    return collect(call, [done = std::move(done)](const CallResult& result, const Response& response) {
        done(result, response.status, response.body);
    });
}

}
