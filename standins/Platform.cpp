#include "StandIns.h"

#include "gateway/HttpServer.h"
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace eelgrassford::standins {

namespace {

    using gateway::HttpRequest;
    using gateway::Responder;
    using Json = nlohmann::json;

    constexpr auto pollInterval = std::chrono::milliseconds(20);
    constexpr auto watchTimeout = std::chrono::seconds(20);

    std::string readFile(const std::string& path)
    {
        const std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    class Platform : public std::enable_shared_from_this<Platform> {
    public:
        Platform(asio::io_context& context, const PlatformOptions& options)
            : m_context(context)
            , m_options(options)
        {
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const auto path = std::string(request.path());
            if (path == "/fault") {
                m_fault = queryParameter(request.query(), "name");
                m_staleManifest = readFile(m_options.bundle + "/manifest");
                responder->respond({ 200, {}, "mode " + m_fault + "\n" });
                return;
            }
            if (path == "/calls") {
                responder->respond({ 200, {}, std::to_string(m_callCount) + "\n" });
                return;
            }
            ++m_callCount;
            if (m_fault == "down")
                responder->abort();
            else if (m_fault == "garbage")
                responder->respond({ 200, {}, "<html>not what you want</html>" });
            else if (path == "/configuration/manifest")
                watch(
                    [this] { return m_fault == "stale" ? m_staleManifest : readFile(m_options.bundle + "/manifest"); },
                    request, responder, std::chrono::steady_clock::now() + watchTimeout);
            else if (path == "/hosts")
                watch([this] { return readFile(m_options.hostList); }, request, responder,
                    std::chrono::steady_clock::now() + watchTimeout);
            else if (path.starts_with("/configuration/parts/") && path.find("..") == std::string::npos)
                respondFile(
                    m_options.bundle + "/parts/" + path.substr(std::string("/configuration/parts/").size()), responder);
            else
                responder->respond({ 404, {}, "no such path\n" });
        }

    private:
        static void respondFile(const std::string& path, const std::shared_ptr<Responder>& responder)
        {
            const auto text = readFile(path);
            responder->respond({ static_cast<std::uint16_t>(text.empty() ? 404 : 200), {}, text });
        }

        /// Responds with the document once its revision is greater than the parameter "after", or with 304 at the
        /// deadline (long poll).
        void watch(std::function<std::string()> readDocument, const HttpRequest& request,
            const std::shared_ptr<Responder>& responder, std::chrono::steady_clock::time_point deadline)
        {
            std::uint64_t after = 0;
            const auto parameter = queryParameter(request.query(), "after");
            std::from_chars(parameter.data(), parameter.data() + parameter.size(), after);
            const auto text = readDocument();
            const auto json = Json::parse(text, nullptr, false);
            if (json.is_object() && json.value("revision", std::uint64_t { 0 }) > after) {
                responder->respond({ 200, { { "Content-Type", "application/json" } }, text });
                return;
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                responder->respond({ 304, {}, "" });
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(m_context);
            timer->expires_after(pollInterval);
            timer->async_wait([self = shared_from_this(), timer, readDocument = std::move(readDocument), request,
                                  responder, deadline](const asio::error_code&) {
                if (self->m_fault == "down")
                    responder->abort();
                else
                    self->watch(readDocument, request, responder, deadline);
            });
        }

        asio::io_context& m_context;
        PlatformOptions m_options;
        std::string m_fault;
        /// The manifest when the fault was set; served while the fault is "stale".
        std::string m_staleManifest;
        std::uint64_t m_callCount = 0;
    };

}

std::string queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view {} : query.substr(end + 1);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name)
            return std::string(item.substr(equals + 1));
    }
    return {};
}

void serve(asio::io_context& context, const std::string& ip, std::uint16_t port, gateway::Handler handler)
{
    gateway::HttpServer::Options options;
    options.ip = ip;
    options.port = port;
    const gateway::HttpServer server(context, options, std::move(handler));
    context.run();
}

void runPlatform(asio::io_context& context, const PlatformOptions& options)
{
    const auto platform = std::make_shared<Platform>(context, options);
    serve(context, options.ip, options.port,
        [&](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            platform->handle(request, responder);
        });
}

}
