#include "fleet/Digest.h"

#include "common/Cbor.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace eelgrassford::fleet {

using nlohmann::json;

namespace {

    /// Values for each runner in the flat array of a summary.
    constexpr std::size_t totalFields = 5;
    /// Age of the last answer of a crash record without one.
    constexpr std::int64_t neverServed = -1;
    /// Rates of limits are integers, in thousandths of a request per second.
    constexpr double thousandthsPerRequest = 1000.0;
    /// Rate of a runner that states no limit any more.
    constexpr std::int64_t unlimitedRate = -1;

    std::int64_t toMillisecondCount(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    bool isOfWholeRequest(const dispatch::CrashRecord& record)
    {
        return record.position == dispatch::CrashSuspect::wholeRequest;
    }

    json requestsToJson(std::span<const dispatch::CrashRecord> records)
    {
        auto result = json::array();
        for (const auto& record : records) {
            if (isOfWholeRequest(record))
                result.push_back({ record.suspect, record.runners });
        }
        return result;
    }

    /// Parts of prompts are apart from requests: daemons of earlier releases would take them for requests and pass them
    /// on as such.
    json promptPartsToJson(std::span<const dispatch::CrashRecord> records)
    {
        auto result = json::array();
        for (const auto& record : records) {
            if (isOfWholeRequest(record))
                continue;
            std::vector<std::int64_t> ages;
            for (const auto age : record.crashAges)
                ages.push_back(toMillisecondCount(age));
            const auto servedAge = record.servedAge ? toMillisecondCount(*record.servedAge) : neverServed;
            result.push_back(
                { record.suspect, record.runners, record.position, ages, servedAge, record.isQuarantined });
        }
        return result;
    }

    dispatch::CrashRecord toPromptPart(const json& fields)
    {
        dispatch::CrashRecord record { fields.at(0).get<std::uint64_t>(),
            fields.at(1).get<std::vector<std::uint64_t>>(), fields.at(2).get<std::uint32_t>() };
        for (const auto age : fields.at(3).get<std::vector<std::int64_t>>())
            record.crashAges.push_back(std::chrono::milliseconds(age));
        if (const auto age = fields.at(4).get<std::int64_t>(); age != neverServed)
            record.servedAge = std::chrono::milliseconds(age);
        record.isQuarantined = fields.at(5).get<bool>();
        return record;
    }

    /// @param promptPartsIndex index of the parts of prompts, which daemons of earlier releases do not send
    std::vector<dispatch::CrashRecord> toCrashRecords(
        const json& fields, std::size_t requestsIndex, std::size_t promptPartsIndex)
    {
        std::vector<dispatch::CrashRecord> result;
        for (const auto& record : fields.at(requestsIndex))
            result.push_back({ record.at(0).get<std::uint64_t>(), record.at(1).get<std::vector<std::uint64_t>>() });
        if (fields.size() <= promptPartsIndex)
            return result;
        for (const auto& record : fields.at(promptPartsIndex))
            result.push_back(toPromptPart(record));
        return result;
    }

    json limitsToJson(std::span<const RunnerStatement> statements)
    {
        auto result = json::array();
        for (const auto& limit : statements) {
            if (limit.isLeaving)
                continue;
            const auto rate = limit.perSecond ? std::llround(*limit.perSecond * thousandthsPerRequest) : unlimitedRate;
            result.push_back({ limit.runner, rate, toMillisecondCount(limit.age) });
        }
        return result;
    }

    /// Leaving runners are apart from limits: daemons of earlier releases would take them for ends of limits.
    json leavingToJson(std::span<const RunnerStatement> statements)
    {
        auto result = json::array();
        for (const auto& statement : statements) {
            if (statement.isLeaving)
                result.push_back({ statement.runner, toMillisecondCount(statement.age) });
        }
        return result;
    }

    /// A statement from the future would outweigh every later one.
    Duration toAge(const json& milliseconds)
    {
        constexpr std::int64_t maxMilliseconds = 86'400'000;
        return std::chrono::milliseconds(
            std::clamp<std::int64_t>(milliseconds.get<std::int64_t>(), 0, maxMilliseconds));
    }

    /// @param limitsIndex index of the limits, which daemons of earlier releases do not send; leaving runners follow
    std::vector<RunnerStatement> toStatements(const json& fields, std::size_t limitsIndex)
    {
        std::vector<RunnerStatement> result;
        if (fields.size() <= limitsIndex)
            return result;
        for (const auto& entry : fields.at(limitsIndex)) {
            RunnerStatement limit { entry.at(0).get<RunnerKey>(), {}, toAge(entry.at(2)) };
            if (const auto rate = entry.at(1).get<std::int64_t>(); rate >= 0)
                limit.perSecond = static_cast<double>(rate) / thousandthsPerRequest;
            result.push_back(limit);
        }
        const auto leavingIndex = limitsIndex + 1;
        if (fields.size() <= leavingIndex)
            return result;
        for (const auto& entry : fields.at(leavingIndex))
            result.push_back({ entry.at(0).get<RunnerKey>(), {}, toAge(entry.at(1)), true, true });
        return result;
    }

    /// Units of remaining work in messages, for which most values take one or two bytes.
    constexpr std::uint32_t prefillUnit = 128;
    constexpr std::uint32_t outputUnit = 128;
    constexpr std::uint32_t residentUnit = 512;
    /// Values for each runner in the flat array of remaining work.
    constexpr std::size_t remainingFields = 3;
    /// Largest value of a unit; the sums of many daemons must not overflow.
    constexpr std::uint32_t maxRemainingUnits = 1u << 13;

    /// Remaining work of the runners in their order; empty if nothing is left at any of them.
    template <typename Runners> std::vector<std::uint32_t> remainingValues(const Runners& runners)
    {
        std::vector<std::uint32_t> values;
        bool isAnyLeft = false;
        for (const auto& runner : runners) {
            const auto& left = runner.remaining;
            isAnyLeft |= left != RemainingWork {};
            // Rounded up, so that a little work is not taken for none.
            for (const auto& [value, unit] : { std::pair(left.prefillTokens, prefillUnit),
                     std::pair(left.outputMs, outputUnit), std::pair(left.residentTokens, residentUnit) })
                values.push_back(value / unit + (value % unit == 0 ? 0 : 1));
        }
        if (!isAnyLeft)
            values.clear();
        return values;
    }

    /// @param index index of the remaining work, which daemons of earlier releases do not send
    template <typename Runners> void readRemaining(const json& fields, std::size_t index, Runners& runners)
    {
        if (fields.size() <= index)
            return;
        const auto values = fields.at(index).get<std::vector<std::uint32_t>>();
        if (values.size() != runners.size() * remainingFields)
            return;
        auto value = values.begin();
        const auto next = [&](std::uint32_t unit) { return std::min(*value++, maxRemainingUnits) * unit; };
        for (auto& runner : runners) {
            runner.remaining.prefillTokens = next(prefillUnit);
            runner.remaining.outputMs = next(outputUnit);
            runner.remaining.residentTokens = next(residentUnit);
        }
    }

    /// Services and flows of each that are read from a message; more are ignored.
    constexpr std::size_t maxDemands = 32;
    constexpr std::size_t maxFlows = 12;
    /// Ten million slots. A larger figure is wrong, and would leave nothing to the other flows.
    constexpr admission::Work maxWork = 1'000'000'000;

    /// One array for each service: its key, the work by priority without trailing zeros, and flows and their work in
    /// turn.
    json demandsToJson(std::span<const admission::ServiceDemand> demands)
    {
        auto result = json::array();
        for (const auto& demand : demands) {
            auto byPriority = json(demand.byPriority);
            while (!byPriority.empty() && byPriority.back() == 0)
                byPriority.erase(byPriority.size() - 1);
            auto flows = json::array();
            for (const auto& flow : demand.flows) {
                flows.push_back(flow.flow);
                flows.push_back(flow.work);
            }
            result.push_back({ demand.service, byPriority, flows });
        }
        return result;
    }

    /// @param index index of the demands, which daemons of earlier releases do not send
    std::vector<admission::ServiceDemand> toDemands(const json& fields, std::size_t index)
    {
        const auto toWork = [](const json& value) { return std::min(value.get<admission::Work>(), maxWork); };
        std::vector<admission::ServiceDemand> result;
        if (fields.size() <= index)
            return result;
        for (const auto& entry : fields.at(index)) {
            if (result.size() >= maxDemands)
                break;
            admission::ServiceDemand demand;
            demand.service = entry.at(0).get<std::uint32_t>();
            const auto& byPriority = entry.at(1);
            for (std::size_t i = 0; i < std::min(byPriority.size(), demand.byPriority.size()); ++i)
                demand.byPriority[i] = toWork(byPriority.at(i));
            const auto& flows = entry.at(2);
            for (std::size_t i = 0; i + 1 < std::min(flows.size(), 2 * maxFlows); i += 2)
                demand.flows.push_back({ flows.at(i).get<admission::FlowKey>(), toWork(flows.at(i + 1)) });
            result.push_back(std::move(demand));
        }
        return result;
    }

    json fleetTimeToJson(std::optional<Duration> time) { return time ? json(toMillisecondCount(*time)) : json(); }

    /// @param index index of the time, which daemons of earlier releases do not send
    std::optional<Duration> toFleetTime(const json& fields, std::size_t index)
    {
        // A hundred years, which still fit into a Duration.
        constexpr std::int64_t maxMilliseconds = 100LL * 365 * 86'400'000;
        if (fields.size() <= index || fields.at(index).is_null())
            return std::nullopt;
        const auto milliseconds = fields.at(index).get<std::int64_t>();
        if (milliseconds < 0 || milliseconds > maxMilliseconds)
            return std::nullopt;
        return std::chrono::milliseconds(milliseconds);
    }

    json toJson(const Digest& digest)
    {
        auto runners = json::array();
        for (const auto& state : digest.runners)
            runners.push_back(
                { state.runner, state.inFlight, state.servedTenths, state.failedTenths, state.suspendedMs });
        return { digest.incarnation, digest.sequence, digest.ip, digest.region, digest.changeRevision, digest.members,
            runners, requestsToJson(digest.crashes), digest.isLeaving, digest.aggregator,
            promptPartsToJson(digest.crashes), limitsToJson(digest.statements), leavingToJson(digest.statements),
            remainingValues(digest.runners), demandsToJson(digest.demands), fleetTimeToJson(digest.fleetTime) };
    }

    json toJson(const FreshnessRequest& request) { return json::array({ request.nonce }); }

    json toJson(const FreshnessReply& reply) { return { reply.nonce, reply.proofAgeMs, reply.changeRevision }; }

    json toJson(const StreamOriginList& list)
    {
        auto origins = json::array();
        for (const auto& origin : list.origins)
            origins.push_back({ origin.stream, origin.software });
        return json::array({ origins });
    }

    json toJson(const StreamQuestion& question) { return { question.nonce, question.stream }; }

    json toJson(const StreamAnswer& answer)
    {
        auto versions = json::array();
        for (const auto& version : answer.soleVersions)
            versions.push_back({ version.service, version.software, toMillisecondCount(version.age) });
        auto departures = json::array();
        for (const auto& departure : answer.departures)
            departures.push_back({ departure.service, departure.software, toMillisecondCount(departure.age) });
        return { answer.nonce, answer.software ? json(*answer.software) : json(), versions, departures };
    }

    StreamOriginList toOriginList(const json& fields)
    {
        StreamOriginList list;
        for (const auto& origin : fields.at(0))
            list.origins.push_back({ origin.at(0).get<std::uint64_t>(), origin.at(1).get<std::uint64_t>() });
        return list;
    }

    StreamAnswer toAnswer(const json& fields)
    {
        StreamAnswer answer;
        answer.nonce = fields.at(0).get<std::uint64_t>();
        if (!fields.at(1).is_null())
            answer.software = fields.at(1).get<std::uint64_t>();
        for (const auto& version : fields.at(2))
            answer.soleVersions.push_back(
                { version.at(0).get<std::uint64_t>(), version.at(1).get<std::uint64_t>(), toAge(version.at(2)) });
        if (fields.size() > 3) {
            for (const auto& departure : fields.at(3))
                answer.departures.push_back({ departure.at(0).get<std::uint64_t>(),
                    departure.at(1).get<std::uint64_t>(), toAge(departure.at(2)) });
        }
        return answer;
    }

    Digest toDigest(const json& fields)
    {
        Digest digest;
        digest.incarnation = fields.at(0).get<std::uint64_t>();
        digest.sequence = fields.at(1).get<std::uint64_t>();
        digest.ip = fields.at(2).get<std::string>();
        digest.region = fields.at(3).get<std::string>();
        digest.changeRevision = fields.at(4).get<std::uint64_t>();
        digest.members = fields.at(5).get<std::vector<std::string>>();
        for (const auto& state : fields.at(6))
            digest.runners.push_back({ state.at(0).get<RunnerKey>(), state.at(1).get<std::uint32_t>(),
                state.at(2).get<std::uint32_t>(), state.at(3).get<std::uint32_t>(), state.at(4).get<std::uint32_t>() });
        digest.crashes = toCrashRecords(fields, 7, 10);
        digest.isLeaving = fields.at(8).get<bool>();
        // Daemons of earlier releases do not send it.
        if (fields.size() > 9)
            digest.aggregator = fields.at(9).get<std::string>();
        digest.statements = toStatements(fields, 11);
        readRemaining(fields, 13, digest.runners);
        digest.demands = toDemands(fields, 14);
        digest.fleetTime = toFleetTime(fields, 15);
        return digest;
    }

    Summary toSummary(const json& envelope)
    {
        const auto& body = envelope.at(1).get_binary();
        const auto decoded = decodeCbor({ reinterpret_cast<const char*>(body.data()), body.size() });
        const auto fields = decoded.value_or(json::array());
        Summary summary;
        summary.acknowledged = envelope.at(0).get<std::uint64_t>();
        summary.scope = fields.at(0).get<bool>() ? Summary::Scope::Fleet : Summary::Scope::Group;
        summary.incarnation = fields.at(1).get<std::uint64_t>();
        summary.sequence = fields.at(2).get<std::uint64_t>();
        summary.ip = fields.at(3).get<std::string>();
        summary.region = fields.at(4).get<std::string>();
        summary.proofAgeMs = fields.at(5).get<std::int64_t>();
        summary.changeRevision = fields.at(6).get<std::uint64_t>();
        summary.daemons = fields.at(7).get<std::uint32_t>();
        summary.members = fields.at(8).get<std::vector<std::string>>();
        const auto values = fields.at(9).get<std::vector<std::uint32_t>>();
        for (std::size_t i = 0; i + totalFields <= values.size(); i += totalFields)
            summary.runners.push_back({ values[i], values[i + 1], values[i + 2], values[i + 3], values[i + 4] });
        summary.crashes = toCrashRecords(fields, 10, 12);
        summary.isLeaving = fields.at(11).get<bool>();
        summary.statements = toStatements(fields, 13);
        readRemaining(fields, 15, summary.runners);
        summary.demands = toDemands(fields, 16);
        summary.fleetTime = toFleetTime(fields, 17);
        return summary;
    }

    /// Summaries are encoded by encodeSummary().
    json toJson(const Summary&) { return json::array(); }

    FreshnessReply toReply(const json& fields)
    {
        return { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::int64_t>(),
            fields.at(2).get<std::uint64_t>() };
    }

}

RemainingWork& RemainingWork::operator+=(const RemainingWork& other)
{
    prefillTokens += other.prefillTokens;
    outputMs += other.outputMs;
    residentTokens += other.residentTokens;
    return *this;
}

RemainingWork& RemainingWork::operator-=(const RemainingWork& part)
{
    prefillTokens -= std::min(prefillTokens, part.prefillTokens);
    outputMs -= std::min(outputMs, part.outputMs);
    residentTokens -= std::min(residentTokens, part.residentTokens);
    return *this;
}

std::string encodeBody(const Summary& summary)
{
    std::vector<std::uint32_t> values;
    values.reserve(summary.runners.size() * totalFields);
    for (const auto& total : summary.runners)
        values.insert(
            values.end(), { total.runner, total.inFlight, total.servedTenths, total.failedTenths, total.suspendedBy });
    std::string bytes;
    json::to_cbor(
        json { summary.scope == Summary::Scope::Fleet, summary.incarnation, summary.sequence, summary.ip,
            summary.region, summary.proofAgeMs, summary.changeRevision, summary.daemons, summary.members, values,
            requestsToJson(summary.crashes), summary.isLeaving, promptPartsToJson(summary.crashes),
            limitsToJson(summary.statements), leavingToJson(summary.statements), remainingValues(summary.runners),
            demandsToJson(summary.demands), fleetTimeToJson(summary.fleetTime) },
        bytes);
    return bytes;
}

std::string encodeSummary(std::uint64_t acknowledged, std::string_view body)
{
    constexpr std::size_t summaryKind = 3;
    static_assert(std::is_same_v<std::variant_alternative_t<summaryKind, Message>, Summary>);
    std::string bytes;
    json::to_cbor(json { summaryKind, { acknowledged, json::binary({ body.begin(), body.end() }) } }, bytes);
    return bytes;
}

std::string encode(const Message& message)
{
    if (const auto* summary = std::get_if<Summary>(&message))
        return encodeSummary(summary->acknowledged, encodeBody(*summary));
    const auto fields = std::visit([](const auto& content) { return toJson(content); }, message);
    std::string bytes;
    json::to_cbor(json { message.index(), fields }, bytes);
    return bytes;
}

tl::expected<Message, DigestError> decode(std::string_view bytes)
{
    const auto document = decodeCbor(bytes);
    if (!document)
        return tl::unexpected(DigestError { document.error().message() });
    try {
        const auto& fields = document->at(1);
        switch (document->at(0).get<std::size_t>()) {
        case 0:
            return toDigest(fields);
        case 1:
            return FreshnessRequest { fields.at(0).get<std::uint64_t>() };
        case 2:
            return toReply(fields);
        case 3:
            return toSummary(fields);
        case 4:
            return toOriginList(fields);
        case 5:
            return StreamQuestion { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>() };
        case 6:
            return toAnswer(fields);
        default:
            return tl::unexpected(DigestError { "unknown kind of message" });
        }
    } catch (const json::exception& error) {
        return tl::unexpected(DigestError { error.what() });
    }
}

}
