#include "StandIns.h"

#include "gateway/HttpServer.h"
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace eelgrassford::standins {

namespace {

    using gateway::HttpRequest;
    using gateway::Responder;
    using Json = nlohmann::json;

    constexpr auto pollInterval = std::chrono::milliseconds(10);

    std::string encodeBase64(const std::string& bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    std::uint64_t numericParameter(const HttpRequest& request, std::string_view name)
    {
        const auto text = queryParameter(request.query(), name);
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    /// Key-value store with revisions that is listed and watched through the API of the users' platform. Tests write
    /// with PUT and DELETE /item/KEY, and restore it from the copy that /save made with /restore.
    class Store : public std::enable_shared_from_this<Store> {
    public:
        explicit Store(asio::io_context& context)
            : m_context(context)
        {
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const std::string path(request.path());
            constexpr std::string_view itemPath = "/item/";
            if (path.starts_with(itemPath)) {
                applyWrite(path.substr(itemPath.size()), request);
                responder->respond({ 200, {}, std::to_string(m_revision) + "\n" });
            } else if (path == "/fault") {
                m_fault = queryParameter(request.query(), "name");
                responder->respond({ 200, {}, "fault " + m_fault + "\n" });
            } else if (path == "/save") {
                m_copy = { m_entries, m_revision };
                responder->respond({ 200, {}, std::to_string(m_revision) + "\n" });
            } else if (path == "/restore") {
                std::tie(m_entries, m_revision) = m_copy;
                responder->respond({ 200, {}, std::to_string(++m_era) + "\n" });
            } else if (path == "/calls") {
                responder->respond({ 200, {}, std::to_string(m_callCount) + "\n" });
            } else {
                respondToQuery(path, request, responder);
            }
        }

    private:
        struct Entry {
            std::string value;
            std::uint64_t revision = 0;
            bool isRemoved = false;
        };

        void applyWrite(const std::string& key, const HttpRequest& request)
        {
            m_entries[key] = { request.body, ++m_revision, request.method == "DELETE" };
        }

        void respondToQuery(
            const std::string& path, const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            ++m_callCount;
            if (m_fault == "down")
                responder->abort();
            else if (m_fault == "busy")
                responder->respond({ 503, {}, "" });
            else if (path == "/kv-range")
                responder->respond({ 200, eraHeader(), listItems().dump() });
            else if (path == "/kv-watch")
                watch(numericParameter(request, "after"),
                    std::chrono::steady_clock::now() + std::chrono::milliseconds(numericParameter(request, "waitMs")),
                    responder);
            else
                responder->respond({ 404, {}, "" });
        }

        gateway::Headers eraHeader() const { return { { "Store-Era", std::to_string(m_era) } }; }

        Json listItems() const
        {
            auto items = Json::array();
            for (const auto& [key, entry] : m_entries) {
                if (!entry.isRemoved)
                    items.push_back(
                        { { "key", key }, { "value", encodeBase64(entry.value) }, { "revision", entry.revision } });
            }
            return { { "items", items }, { "hasMore", false }, { "storeRevision", m_revision } };
        }

        /// Responds with the changes after a revision once there are any, or with an empty list at the deadline (long
        /// poll).
        void watch(std::uint64_t afterRevision, std::chrono::steady_clock::time_point deadline,
            const std::shared_ptr<Responder>& responder)
        {
            if (afterRevision > m_revision) {
                responder->respond({ 410, eraHeader(), "" });
                return;
            }
            auto events = Json::array();
            for (const auto& [key, entry] : m_entries) {
                if (entry.revision <= afterRevision)
                    continue;
                if (entry.isRemoved)
                    events.push_back({ { "key", key }, { "revision", entry.revision }, { "tombstone", true } });
                else
                    events.push_back(
                        { { "key", key }, { "value", encodeBase64(entry.value) }, { "revision", entry.revision } });
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= deadline) {
                responder->respond(
                    { 200, eraHeader(), Json { { "events", events }, { "storeRevision", m_revision } }.dump() });
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(m_context, pollInterval);
            timer->async_wait([self = shared_from_this(), timer, afterRevision, deadline, responder](
                                  const asio::error_code&) { self->watch(afterRevision, deadline, responder); });
        }

        asio::io_context& m_context;
        using Entries = std::map<std::string, Entry>;

        Entries m_entries;
        std::uint64_t m_revision = 1;
        /// Rises with each restoration.
        std::uint64_t m_era = 1;
        std::pair<Entries, std::uint64_t> m_copy;
        std::uint64_t m_callCount = 0;
        std::string m_fault;
    };

}

void runStore(asio::io_context& context, const StoreOptions& options)
{
    const auto store = std::make_shared<Store>(context);
    serve(context, options.ip, options.port,
        [store](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            store->handle(request, responder);
        });
}

}
