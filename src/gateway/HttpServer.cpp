#include "gateway/HttpServer.h"

#include "gateway/Problem.h"
#include <algorithm>
#include <restinio/all.hpp>
#include <stdexcept>

namespace eelgrassford::gateway {

bool isEqualIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view HttpRequest::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view {} : std::string_view(target).substr(mark + 1);
}

std::optional<std::string_view> HttpRequest::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (isEqualIgnoringCase(key, name))
            return value;
    }
    return std::nullopt;
}

std::size_t HttpRequest::headerCount(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const auto& field) { return isEqualIgnoringCase(field.first, name); }));
}

namespace {

    using ReusePort = restinio::asio_ns::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    struct Traits : restinio::default_single_thread_traits_t {
        using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    };

    restinio::http_status_line_t statusLine(std::uint16_t status)
    {
        return { restinio::http_status_code_t { status }, std::string(reasonPhrase(status)) };
    }

    /// Answers one request through RESTinio.
    class RestinioResponder : public Responder, public std::enable_shared_from_this<RestinioResponder> {
    public:
        RestinioResponder(asio::io_context& context, restinio::request_handle_t request, const bool& isClosing)
            : m_context(context)
            , m_request(std::move(request))
            , m_connection(restinio::impl::access_req_connection(*m_request))
            , m_isClosing(isClosing)
        {
        }

        void respond(const HttpResponse& response) override
        {
            auto builder = m_request->create_response(statusLine(response.status));
            addHeaders(builder, response.headers);
            builder.set_body(response.body);
            builder.done(writeCallback());
        }

        void begin(std::uint16_t status, const Headers& headers) override
        {
            m_chunked.emplace(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
            addHeaders(*m_chunked, headers);
            m_chunked->flush(writeCallback());
        }

        void write(std::string chunk) override
        {
            if (!m_chunked || m_isDisconnected)
                return;
            m_chunked->append_chunk(std::move(chunk));
            m_chunked->flush(writeCallback());
        }

        void end() override
        {
            if (!m_chunked || m_isDisconnected)
                return;
            m_chunked->done(writeCallback());
            m_chunked.reset();
        }

        void abort() override
        {
            m_isDisconnected = true;
            m_disconnectHandler = nullptr;
            m_chunked.reset();
            const auto connection = std::exchange(m_connection, nullptr);
            if (!connection)
                return;
            // RESTinio has no call to close a connection, so the socket is taken over as for a protocol upgrade.
            using Connection = restinio::impl::connection_t<Traits>;
            auto socket = dynamic_cast<Connection&>(*connection).move_upgrade_internals().m_socket;
            restinio::asio_ns::error_code ignored;
            socket.close(ignored);
        }

        void onCallerDisconnected(std::function<void()> handler) override { m_disconnectHandler = std::move(handler); }

    private:
        template <typename Builder> void addHeaders(Builder& builder, const Headers& headers)
        {
            for (const auto& [name, value] : headers)
                builder.append_header(name, value);
            if (m_isClosing)
                builder.connection_close();
        }

        restinio::write_status_cb_t writeCallback()
        {
            return [weak = weak_from_this()](const restinio::asio_ns::error_code& error) {
                const auto self = weak.lock();
                if (!error || !self)
                    return;
                self->m_isDisconnected = true;
                // Deferred: RESTinio may report the error from within a function of the responder.
                asio::post(self->m_context, [self] {
                    if (const auto handler = std::exchange(self->m_disconnectHandler, nullptr))
                        handler();
                });
            };
        }

        asio::io_context& m_context;
        restinio::request_handle_t m_request;
        /// Kept for abort(), since creating a response takes the connection out of the request.
        restinio::impl::connection_handle_t m_connection;
        const bool& m_isClosing;
        std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_chunked;
        std::function<void()> m_disconnectHandler;
        bool m_isDisconnected = false;
    };

    HttpRequest readRequest(const restinio::request_t& request)
    {
        HttpRequest result;
        result.method = request.header().method().c_str();
        result.target = request.header().request_target();
        request.header().for_each_field(
            [&](const auto& field) { result.headers.emplace_back(field.name(), field.value()); });
        result.body = request.body();
        return result;
    }

}

class HttpServer::Implementation {
public:
    Implementation(asio::io_context& context, const Options& options, Handler handler)
        : m_context(context)
        , m_options(options)
        , m_handler(std::move(handler))
        , m_server(restinio::external_io_context(context), settings())
    {
        m_server.open_sync();
    }

    void stopAccepting() { m_server.close_sync(); }
    void closeAfterResponses() { m_isClosing = true; }

private:
    using Server = restinio::http_server_t<Traits>;

    restinio::server_settings_t<Traits> settings()
    {
        restinio::server_settings_t<Traits> result;
        result.address(m_options.ip)
            .port(m_options.port)
            .read_next_http_message_timelimit(m_options.readTimeout)
            .write_http_response_timelimit(m_options.writeTimeout)
            .handle_request_timeout(m_options.handleTimeout)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(8192)
                                          .max_field_name_size(512)
                                          .max_field_value_size(m_options.headerBytesLimit)
                                          .max_field_count(4 * m_options.headerCountLimit)
                                          .max_body_size(2 * m_options.bodyLimit))
            .acceptor_options_setter([this](restinio::acceptor_options_t& acceptor) {
                acceptor.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
                if (m_options.isSharingPort)
                    acceptor.set_option(ReusePort(true));
            })
            .socket_options_setter([](restinio::socket_options_t& socket) {
                socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
            })
            .request_handler([this](restinio::request_handle_t request) { return handle(std::move(request)); });
        return result;
    }

    restinio::request_handling_status_t handle(restinio::request_handle_t request)
    {
        auto parsed = readRequest(*request);
        auto responder = std::make_shared<RestinioResponder>(m_context, std::move(request), m_isClosing);
        if (const auto problem = findLimitViolation(parsed))
            responder->respond(toResponse(*problem));
        else
            m_handler(std::move(parsed), std::move(responder));
        return restinio::request_accepted();
    }

    std::optional<Problem> findLimitViolation(const HttpRequest& request) const
    {
        if (request.body.size() > m_options.bodyLimit)
            return Problem { 413, ProblemCode::BodyTooLarge,
                "the body is larger than " + std::to_string(m_options.bodyLimit) + " bytes", ProblemOutcome::NotRun,
                {} };
        std::size_t bytes = 0;
        for (const auto& [name, value] : request.headers)
            bytes += name.size() + value.size();
        if (request.headers.size() > m_options.headerCountLimit || bytes > m_options.headerBytesLimit)
            return Problem { 431, ProblemCode::HeadersTooLarge, "too many or too long headers", ProblemOutcome::NotRun,
                {} };
        return std::nullopt;
    }

    asio::io_context& m_context;
    Options m_options;
    Handler m_handler;
    bool m_isClosing = false;
    Server m_server;
};

HttpServer::HttpServer(asio::io_context& context, const Options& options, Handler handler)
{
    try {
        m_implementation = std::make_unique<Implementation>(context, options, std::move(handler));
    } catch (const std::exception& error) {
        throw std::runtime_error(
            "cannot listen on " + options.ip + ":" + std::to_string(options.port) + ": " + error.what());
    }
}

HttpServer::~HttpServer() = default;

void HttpServer::stopAccepting() { m_implementation->stopAccepting(); }
void HttpServer::closeAfterResponses() { m_implementation->closeAfterResponses(); }

}
