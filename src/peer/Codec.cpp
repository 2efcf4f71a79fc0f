#include "peer/Codec.h"

#include "common/Cbor.h"
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace eelgrassford::peer {

bool DemandDigest::operator==(const DemandDigest& other) const
{
    return std::equal(demand.begin(), demand.end(), other.demand.begin(), other.demand.end(),
        [](const auto& left, const auto& right) {
            return left.organisation == right.organisation && left.requestsPerSecond == right.requestsPerSecond;
        });
}

namespace {

    using Json = nlohmann::json;

    constexpr std::array<std::string_view, std::variant_size_v<Message>> kindNames { "heartbeat",
        "configuration-request", "configuration-reply", "host-list-request", "host-list-reply", "placement-digest",
        "demand-digest", "quarantine-notice", "claim-request", "claim-reply", "claim-release", "sync-request",
        "sync-reply", "join-request", "join-reply", "answer" };

    /// Appends the fields of a message to a CBOR array.
    class Writer {
    public:
        explicit Writer(std::size_t kind)
            : m_array(Json::array({ kind }))
        {
        }

        template <typename Value> Writer& operator<<(const Value& value)
        {
            m_array.push_back(toJson(value));
            return *this;
        }

        const Json& array() const { return m_array; }

    private:
        template <typename Value> static Json toJson(const Value& value)
        {
            if constexpr (std::is_enum_v<Value>)
                return static_cast<int>(value);
            else if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>)
                return value;
            else
                return fields(value);
        }

        template <typename Value> static Json toJson(const std::vector<Value>& values)
        {
            Json array = Json::array();
            for (const auto& value : values)
                array.push_back(toJson(value));
            return array;
        }

        static Json toJson(Duration duration)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        }

        static Json toJson(const std::optional<claims::WitnessView>& view) { return view ? fields(*view) : Json(); }

        static Json fields(const claims::Key& key) { return Json::array({ key.high, key.low }); }
        static Json fields(const claims::ClaimId& id)
        {
            return Json::array({ id.claimant, id.incarnation, id.sequence });
        }
        static Json fields(const claims::WitnessViewDigest& view)
        {
            return Json::array({ view.revision, view.membersDigest });
        }
        static Json fields(const claims::WitnessView& view) { return Json::array({ view.revision, view.members }); }
        static Json fields(const claims::Answer& answer)
        {
            return Json::array({ answer.status, answer.contentType, binary(answer.body), answer.upstream });
        }
        static Json fields(const claims::Grant& grant)
        {
            return Json::array({ fields(grant.key), fields(grant.holder), toJson(grant.age), grant.isConflicted });
        }
        static Json fields(const config::Manifest& manifest)
        {
            return Json::array({ manifest.revision, manifest.hash, manifest.parts });
        }
        static Json fields(const WorkDelta& delta)
        {
            return Json::array({ delta.runner, static_cast<float>(delta.work) });
        }
        static Json fields(const PlacementException& exception)
        {
            return Json::array({ exception.chat, exception.runner, exception.tokens, exception.previous });
        }
        static Json fields(const admission::Demand& demand)
        {
            return Json::array({ demand.organisation, static_cast<float>(demand.requestsPerSecond) });
        }
        static Json fields(const membership::HostList& list) { return binary(membership::serialize(list)); }
        static Json binary(const std::string& text) { return Json::binary({ text.begin(), text.end() }); }

        Json m_array;
    };

    /// Reads the fields of a message in order. Throws on malformed input; decode() turns the exception into an error.
    class Reader {
    public:
        explicit Reader(const Json& array)
            : m_array(array)
        {
        }

        template <typename Value> Reader& operator>>(Value& value)
        {
            fromJson(m_array.at(m_next++), value);
            return *this;
        }

    private:
        template <typename Value> static void fromJson(const Json& json, Value& value)
        {
            if constexpr (std::is_enum_v<Value>)
                value = readEnum<Value>(json);
            else if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>)
                json.get_to(value);
            else
                fields(json, value);
        }

        template <typename Enum> static Enum readEnum(const Json& json)
        {
            constexpr int limit = std::is_same_v<Enum, claims::Verdict> ? 3 : 5;
            const int value = json.get<int>();
            if (value < 0 || value >= limit)
                throw std::out_of_range("enumeration value out of range");
            return static_cast<Enum>(value);
        }

        template <typename Value> static void fromJson(const Json& json, std::vector<Value>& values)
        {
            values.clear();
            if (!json.is_array())
                throw std::out_of_range("expected an array");
            for (const auto& element : json)
                fromJson(element, values.emplace_back());
        }

        static void fromJson(const Json& json, Duration& duration)
        {
            constexpr std::int64_t maxMilliseconds = 1000LL * 3600 * 24 * 365;
            const auto count = json.get<std::int64_t>();
            if (count < 0 || count > maxMilliseconds)
                throw std::out_of_range("duration out of range");
            duration = std::chrono::milliseconds(count);
        }

        static void fromJson(const Json& json, std::optional<claims::WitnessView>& view)
        {
            if (json.is_null())
                view.reset();
            else
                fields(json, view.emplace());
        }

        static void fields(const Json& json, claims::Key& key) { Reader(json) >> key.high >> key.low; }
        static void fields(const Json& json, claims::ClaimId& id)
        {
            Reader(json) >> id.claimant >> id.incarnation >> id.sequence;
        }
        static void fields(const Json& json, claims::WitnessViewDigest& view)
        {
            Reader(json) >> view.revision >> view.membersDigest;
        }
        static void fields(const Json& json, claims::WitnessView& view)
        {
            Reader(json) >> view.revision >> view.members;
            if (!std::is_sorted(view.members.begin(), view.members.end()))
                throw std::out_of_range("the members of a witness view must be sorted");
        }
        static void fields(const Json& json, claims::Answer& answer)
        {
            Reader(json) >> answer.status >> answer.contentType;
            answer.body = binary(json.at(2));
            json.at(3).get_to(answer.upstream);
        }
        static void fields(const Json& json, claims::Grant& grant)
        {
            Reader(json) >> grant.key >> grant.holder >> grant.age >> grant.isConflicted;
        }
        static void fields(const Json& json, config::Manifest& manifest)
        {
            Reader(json) >> manifest.revision >> manifest.hash >> manifest.parts;
        }
        static void fields(const Json& json, WorkDelta& delta) { Reader(json) >> delta.runner >> delta.work; }
        static void fields(const Json& json, PlacementException& exception)
        {
            Reader(json) >> exception.chat >> exception.runner >> exception.tokens >> exception.previous;
        }
        static void fields(const Json& json, admission::Demand& demand)
        {
            Reader(json) >> demand.organisation >> demand.requestsPerSecond;
        }
        static void fields(const Json& json, membership::HostList& list)
        {
            auto parsed = membership::parseHostList(binary(json));
            if (!parsed)
                throw std::out_of_range(parsed.error().what);
            list = std::move(*parsed);
        }
        static std::string binary(const Json& json)
        {
            const auto& bytes = json.get_binary();
            return { bytes.begin(), bytes.end() };
        }

        const Json& m_array;
        std::size_t m_next = 0;
    };

    // Lists the fields of each message once, so that encoder and decoder cannot disagree on their order.
    template <typename Archive, typename M> void visitFields(Archive& archive, M& message)
    {
        using T = std::remove_const_t<M>;
        auto visit = [&](auto&... field) {
            if constexpr (std::is_same_v<Archive, Writer>)
                (archive << ... << field);
            else
                (archive >> ... >> field);
        };
        if constexpr (std::is_same_v<T, Heartbeat>)
            visit(message.configurationRevision, message.configurationHash, message.hostListRevision, message.isReady);
        else if constexpr (std::is_same_v<T, ConfigurationRequest>)
            visit(message.heldParts);
        else if constexpr (std::is_same_v<T, ConfigurationReply>)
            visit(message.manifest, message.parts);
        else if constexpr (std::is_same_v<T, HostListReply>)
            visit(message.list);
        else if constexpr (std::is_same_v<T, PlacementDigest>)
            visit(message.model, message.workDeltas, message.exceptions);
        else if constexpr (std::is_same_v<T, DemandDigest>)
            visit(message.demand);
        else if constexpr (std::is_same_v<T, QuarantineNotice>)
            visit(message.requestDigest);
        else if constexpr (std::is_same_v<T, claims::ClaimRequest>)
            visit(message.key, message.claim, message.view);
        else if constexpr (std::is_same_v<T, claims::ClaimReply>)
            visit(message.key, message.claim, message.verdict, message.holder, message.view);
        else if constexpr (std::is_same_v<T, claims::ClaimRelease>)
            visit(message.key, message.claim);
        else if constexpr (std::is_same_v<T, claims::SyncRequest>)
            visit(message.group, message.view);
        else if constexpr (std::is_same_v<T, claims::SyncReply>)
            visit(message.group, message.view, message.readyView, message.isFirstStart, message.grants);
        else if constexpr (std::is_same_v<T, claims::JoinRequest>)
            visit(message.key, message.fingerprint, message.holder, message.requester);
        else if constexpr (std::is_same_v<T, claims::JoinReply>)
            visit(message.key, message.holder, message.state);
        else if constexpr (std::is_same_v<T, claims::AnswerMessage>)
            visit(message.key, message.fingerprint, message.answer);
    }

    template <std::size_t Kind> Message decodeAs(Reader& reader)
    {
        std::variant_alternative_t<Kind, Message> message;
        visitFields(reader, message);
        return message;
    }

    using Decoder = Message (*)(Reader&);

    template <std::size_t... Kinds>
    constexpr std::array<Decoder, sizeof...(Kinds)> makeDecoders(std::index_sequence<Kinds...>)
    {
        return { &decodeAs<Kinds>... };
    }

    constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

}

std::string_view kindName(std::size_t kind) { return kind < kindNames.size() ? kindNames[kind] : "unknown"; }

std::string_view kindName(const Message& message) { return kindName(message.index()); }

std::string encode(const Message& message)
{
    Writer writer(message.index());
    std::visit([&](const auto& content) { visitFields(writer, content); }, message);
    std::string payload;
    Json::to_cbor(writer.array(), payload);
    return payload;
}

tl::expected<Message, CodecError> decode(std::string_view payload)
{
    auto fail = [](CodecErrorCode code, std::string what) {
        return tl::make_unexpected(CodecError { code, std::move(what) });
    };
    if (payload.size() > maximumPayloadBytes)
        return fail(
            CodecErrorCode::TooLarge, "payload of " + std::to_string(payload.size()) + " bytes exceeds the limit");
    try {
        const auto decoded = decodeCbor(payload);
        if (!decoded)
            return fail(CodecErrorCode::Malformed, decoded.error().message());
        const auto& array = *decoded;
        if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
            return fail(CodecErrorCode::Malformed, "payload is not an array that begins with the kind of message");
        const auto kind = array[0].get<std::size_t>();
        if (kind >= decoders.size())
            return fail(CodecErrorCode::UnknownKind, "unknown kind of message " + std::to_string(kind));
        Reader reader(array);
        std::size_t ignoredKind = 0;
        reader >> ignoredKind;
        return decoders[kind](reader);
    } catch (const std::exception& error) {
        return fail(CodecErrorCode::Malformed, error.what());
    }
}

}
