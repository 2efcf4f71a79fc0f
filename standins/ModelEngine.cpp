#include "StandIns.h"

#include "common/Hash.h"
#include <charconv>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <unordered_map>

namespace eelgrassford::standins {

namespace {

    using gateway::Headers;
    using gateway::HttpRequest;
    using gateway::Responder;
    using Json = nlohmann::json;
    using Clock = std::chrono::steady_clock;

    constexpr const char* callIdHeader = "Eelgrassford-Call-Id";
    constexpr std::size_t defaultOutputTokens = 16;
    constexpr std::size_t maxOutputTokens = 1u << 20;

    /// LRU cache of prompt prefixes, bounded by their tokens; a prefix is the hash of a prompt up to and including one
    /// message.
    class PrefixCache {
    public:
        explicit PrefixCache(std::size_t capacity)
            : m_capacity(capacity)
        {
        }

        /// Marks a prefix as most recently used; false if it is not cached.
        bool touch(std::uint64_t prefix)
        {
            const auto found = m_index.find(prefix);
            if (found == m_index.end())
                return false;
            m_order.splice(m_order.begin(), m_order, found->second);
            return true;
        }

        void insert(std::uint64_t prefix, std::size_t tokens)
        {
            if (touch(prefix))
                return;
            m_order.push_front({ prefix, tokens });
            m_index[prefix] = m_order.begin();
            m_tokens += tokens;
            while (m_tokens > m_capacity && !m_order.empty()) {
                m_tokens -= m_order.back().tokens;
                m_index.erase(m_order.back().prefix);
                m_order.pop_back();
            }
        }

    private:
        struct Entry {
            std::uint64_t prefix;
            std::size_t tokens;
        };
        std::size_t m_capacity;
        std::size_t m_tokens = 0;
        std::list<Entry> m_order;
        std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
    };

    /// One generation. Its tokens depend only on the prompt and the model, so every engine gives the same answer.
    struct Generation {
        std::string id;
        std::uint64_t seed = 0;
        std::size_t promptTokens = 0;
        std::size_t cachedTokens = 0;
        /// Tokens to produce.
        std::size_t outputTokens = 0;
        std::size_t producedTokens = 0;
        /// Index of the next token to send to the current reader.
        std::size_t nextToken = 0;
        bool isStreaming = false;
        bool isDone = false;
        std::shared_ptr<Responder> reader;
        std::shared_ptr<asio::steady_timer> timer;

        std::string token(std::size_t index) const { return "t" + std::to_string(mix64(seed, index) % 10000) + " "; }
    };
    using GenerationHandle = std::shared_ptr<Generation>;

    class ModelEngine : public std::enable_shared_from_this<ModelEngine> {
    public:
        ModelEngine(asio::io_context& context, const ModelEngineOptions& options)
            : m_context(context)
            , m_options(options)
            , m_cache(options.cacheTokens)
            , m_reportTimer(context)
            , m_instance(std::to_string(::getpid()) + "-"
                  + std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
        {
        }

        void handle(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const auto path = request.path();
            if (path == "/v1/load")
                responder->respond(jsonResponse(request, loadReport()));
            else if (path == "/v1/chat/completions" || path == "/v1/completions")
                generate(request, responder);
            else if (path.starts_with("/v1/streams/"))
                resume(request, responder, std::string(path.substr(std::string_view("/v1/streams/").size())));
            else if (path == "/fault")
                setFault(request, responder);
            else
                responder->respond({ 404, headersFor(request, "text/plain"), "no such path\n" });
        }

        /// Records the load now and every 20 ms, and drops the samples that load reports no longer need.
        void sampleLoad()
        {
            LoadSample sample { Clock::now(), 0, 0 };
            for (const auto& [id, generation] : m_generations) {
                sample.running += generation->isDone ? 0 : 1;
                sample.waitingPromptTokens
                    += generation->producedTokens == 0 ? generation->promptTokens - generation->cachedTokens : 0;
            }
            m_samples.push_back(sample);
            while (m_samples.size() > 1
                && std::chrono::duration<double>(Clock::now() - m_samples[1].takenAt).count()
                    >= m_options.reportLagSeconds)
                m_samples.pop_front();
            m_reportTimer.expires_after(std::chrono::milliseconds(20));
            m_reportTimer.async_wait([self = shared_from_this()](const asio::error_code& error) {
                if (!error)
                    self->sampleLoad();
            });
        }

    private:
        struct LoadSample {
            Clock::time_point takenAt;
            std::size_t running;
            std::size_t waitingPromptTokens;
        };

        static Headers headersFor(const HttpRequest& request, const std::string& type)
        {
            return { { "Content-Type", type },
                { callIdHeader, std::string(request.header(callIdHeader).value_or("")) } };
        }

        static gateway::HttpResponse jsonResponse(const HttpRequest& request, const Json& body)
        {
            return { 200, headersFor(request, "application/json"), body.dump() };
        }

        Json loadReport() const
        {
            const auto& sample = m_samples.front();
            const auto age
                = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sample.takenAt).count();
            return { { "running", sample.running }, { "waiting_prompt_tokens", sample.waitingPromptTokens },
                { "age_ms", age }, { "instance", m_instance }, { "prompt_tokens", m_promptTokens },
                { "cached_tokens", m_cachedTokens } };
        }

        void setFault(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            m_fault = queryParameter(request.query(), "name");
            responder->respond({ 200, headersFor(request, "text/plain"), "fault " + m_fault + "\n" });
        }

        void generate(const HttpRequest& request, const std::shared_ptr<Responder>& responder)
        {
            const auto body = Json::parse(request.body, nullptr, false);
            if (body.is_discarded()) {
                responder->respond({ 400, headersFor(request, "text/plain"), "the body is not valid JSON\n" });
                return;
            }
            if (!m_options.crashText.empty() && request.body.find(m_options.crashText) != std::string::npos)
                ::_exit(70);
            if (m_fault == "decline") {
                auto declined = headersFor(request, "text/plain");
                declined.emplace_back("Eelgrassford-Declined", "true");
                responder->respond({ 503, declined, "busy\n" });
                return;
            }
            if (m_fault == "close-after-read") {
                responder->abort();
                return;
            }
            auto generation = std::make_shared<Generation>();
            generation->id = request.header(callIdHeader).value_or("");
            if (m_fault == "crossed")
                generation->id = "crossed-" + generation->id;
            readPrompt(body, *generation);
            generation->outputTokens = std::min(body.value("max_tokens", defaultOutputTokens), maxOutputTokens);
            generation->isStreaming = body.value("stream", false);
            generation->reader = responder;
            generation->timer = std::make_shared<asio::steady_timer>(m_context);
            m_generations[generation->id] = generation;
            const auto prefill
                = m_options.prefillSeconds * static_cast<double>(generation->promptTokens - generation->cachedTokens);
            generation->timer->expires_after(
                std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(prefill)));
            generation->timer->async_wait([self = shared_from_this(), generation](const asio::error_code& error) {
                if (!error)
                    self->startOutput(generation);
            });
        }

        void readPrompt(const Json& body, Generation& generation)
        {
            std::uint64_t prefix = hash64(body.value("model", ""));
            auto addSegment = [&](const std::string& text) {
                prefix = mix64(prefix, hash64(text));
                const auto tokens = (text.size() + 3) / 4;
                generation.promptTokens += tokens;
                if (m_cache.touch(prefix))
                    generation.cachedTokens += tokens;
                m_cache.insert(prefix, tokens);
            };
            if (body.contains("messages")) {
                for (const auto& message : body["messages"])
                    addSegment(message.dump());
            } else {
                addSegment(body.value("prompt", ""));
            }
            generation.seed = prefix;
            m_promptTokens += generation.promptTokens;
            m_cachedTokens += generation.cachedTokens;
        }

        void startOutput(const GenerationHandle& generation)
        {
            if (generation->isStreaming)
                attachReader(generation, generation->reader, 0);
            produceToken(generation);
        }

        static void attachReader(
            const GenerationHandle& generation, const std::shared_ptr<Responder>& responder, std::size_t offset)
        {
            generation->reader = responder;
            generation->nextToken = offset;
            responder->onCallerDisconnected([weak = std::weak_ptr<Generation>(generation)] {
                if (const auto locked = weak.lock())
                    locked->reader.reset();
            });
            responder->begin(200, { { "Content-Type", "text/event-stream" }, { callIdHeader, generation->id } });
        }

        void produceToken(const GenerationHandle& generation)
        {
            ++generation->producedTokens;
            generation->isDone = generation->producedTokens >= generation->outputTokens;
            if (generation->isStreaming)
                sendPendingEvents(generation);
            else if (generation->isDone)
                respondComplete(generation);
            if (generation->isDone)
                return;
            generation->timer->expires_after(
                std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(m_options.tokenSeconds)));
            generation->timer->async_wait([self = shared_from_this(), generation](const asio::error_code& error) {
                if (!error)
                    self->produceToken(generation);
            });
        }

        /// Sends the reader all produced tokens that it lacks, and ends the stream after the last one.
        void sendPendingEvents(const GenerationHandle& generation)
        {
            auto& reader = generation->reader;
            if (!reader)
                return;
            while (generation->nextToken < generation->producedTokens) {
                const Json delta { { "produced_ns", Clock::now().time_since_epoch().count() },
                    { "choices",
                        { { { "index", 0 },
                            { "delta", { { "content", generation->token(generation->nextToken) } } } } } } };
                reader->write("id: " + std::to_string(generation->nextToken) + "\ndata: " + delta.dump() + "\n\n");
                ++generation->nextToken;
                if (m_fault == "close-mid-stream" && generation->nextToken == generation->outputTokens / 2) {
                    m_fault.clear();
                    std::exchange(reader, nullptr)->abort();
                    return;
                }
            }
            if (!generation->isDone)
                return;
            reader->write("id: " + std::to_string(generation->outputTokens) + "\ndata: [DONE]\n\n");
            reader->end();
            reader.reset();
        }

        static void respondComplete(const GenerationHandle& generation)
        {
            std::string text;
            for (std::size_t i = 0; i < generation->outputTokens; ++i)
                text += generation->token(i);
            const Json body { { "object", "chat.completion" },
                { "choices",
                    { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } },
                        { "finish_reason", "stop" } } } },
                { "usage",
                    { { "prompt_tokens", generation->promptTokens }, { "cached_tokens", generation->cachedTokens },
                        { "completion_tokens", generation->outputTokens } } } };
            generation->reader->respond(
                { 200, { { "Content-Type", "application/json" }, { callIdHeader, generation->id } }, body.dump() });
            generation->reader.reset();
        }

        void resume(const HttpRequest& request, const std::shared_ptr<Responder>& responder, const std::string& id)
        {
            const auto found = m_generations.find(id);
            const auto text = queryParameter(request.query(), "offset");
            std::size_t offset = 0;
            std::from_chars(text.data(), text.data() + text.size(), offset);
            if (found == m_generations.end() || offset > found->second->producedTokens) {
                responder->respond({ 404, headersFor(request, "text/plain"), "no such stream\n" });
                return;
            }
            const auto& generation = found->second;
            attachReader(generation, responder, offset);
            sendPendingEvents(generation);
        }

        asio::io_context& m_context;
        ModelEngineOptions m_options;
        PrefixCache m_cache;
        asio::steady_timer m_reportTimer;
        std::string m_instance;
        std::string m_fault;
        std::map<std::string, GenerationHandle> m_generations;
        std::deque<LoadSample> m_samples;
        std::size_t m_promptTokens = 0;
        std::size_t m_cachedTokens = 0;
    };

}

void runModelEngine(asio::io_context& context, const ModelEngineOptions& options)
{
    const auto engine = std::make_shared<ModelEngine>(context, options);
    engine->sampleLoad();
    serve(context, options.ip, options.port,
        [&](const HttpRequest& request, const std::shared_ptr<Responder>& responder) {
            engine->handle(request, responder);
        });
}

}
