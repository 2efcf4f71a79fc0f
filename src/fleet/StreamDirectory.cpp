#include "fleet/StreamDirectory.h"

#include "common/Hash.h"
#include <algorithm>

namespace eelgrassford::fleet {

namespace {

    /// Stream of a question that asks for the versions of services only.
    constexpr dispatch::StreamKey noStream = 0;

}

StreamDirectory::StreamDirectory(std::string ownIp, std::uint64_t incarnation, const Options& options)
    : m_ownIp(std::move(ownIp))
    , m_options(options)
    , m_kept(options.origins)
    , m_lastNonce(incarnation)
{
}

std::vector<std::string> StreamDirectory::daemonsFor(dispatch::StreamKey stream, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked { { hash64(m_ownIp, stream), &m_ownIp } };
    for (const auto& ip : m_members)
        ranked.emplace_back(hash64(ip, stream), &ip);
    const auto chosen = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<std::string> result;
    for (std::size_t i = 0; i < chosen; ++i)
        result.push_back(*ranked[i].second);
    return result;
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::publish(
    std::span<const dispatch::StreamOrigin> origins, dispatch::OriginCopies copies, TimePoint now)
{
    const bool isMany = copies == dispatch::OriginCopies::Many;
    return give(origins, isMany ? m_options.manyKeepers : m_options.fewKeepers, now);
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::handOver(TimePoint now)
{
    return give(m_kept.all(now), m_options.fewKeepers + 1, now);
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::give(
    std::span<const dispatch::StreamOrigin> origins, std::size_t count, TimePoint now)
{
    std::map<std::string, StreamOriginList> lists;
    std::vector<Outgoing> outgoing;
    for (const auto& origin : origins) {
        for (const auto& ip : daemonsFor(origin.stream, count)) {
            if (ip == m_ownIp) {
                m_kept.record(origin, now);
                continue;
            }
            auto& list = lists[ip];
            list.origins.push_back(origin);
            if (list.origins.size() >= m_options.originsPerMessage)
                outgoing.push_back({ ip, encode(std::exchange(list, {})) });
        }
    }
    for (const auto& [ip, list] : lists) {
        if (!list.origins.empty())
            outgoing.push_back({ ip, encode(list) });
    }
    return outgoing;
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::find(dispatch::StreamKey stream, Finder finder, TimePoint now)
{
    std::vector<Outgoing> outgoing;
    if (const auto kept = m_kept.find(stream, now)) {
        finder(kept);
        return outgoing;
    }
    // One more than the keepers: this daemon may have taken the place of one.
    auto ranked = daemonsFor(stream, m_options.manyKeepers + 1);
    std::erase(ranked, m_ownIp);
    const auto first = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(m_options.askedFirst, ranked.size()));
    Question question { stream, std::move(finder), { ranked.begin(), first }, { first, ranked.end() }, now, now };
    const auto [added, isNew] = m_questions.emplace(++m_lastNonce, std::move(question));
    if (added->second.unanswered.empty())
        conclude(added, std::nullopt);
    else
        ask(added->first, added->second, outgoing, now);
    return outgoing;
}

void StreamDirectory::ask(std::uint64_t nonce, Question& question, std::vector<Outgoing>& outgoing, TimePoint now) const
{
    question.resendAt = now + m_options.resendInterval;
    for (const auto& ip : question.unanswered)
        outgoing.push_back({ ip, encode(StreamQuestion { nonce, question.stream }) });
}

void StreamDirectory::widen(
    std::uint64_t nonce, Question& question, std::vector<Outgoing>& outgoing, TimePoint now) const
{
    const auto added = std::exchange(question.unasked, {});
    question.unanswered.insert(question.unanswered.end(), added.begin(), added.end());
    ask(nonce, question, outgoing, now);
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::tick(TimePoint now)
{
    std::vector<Outgoing> outgoing;
    for (auto question = m_questions.begin(); question != m_questions.end();) {
        const auto current = question++;
        if (now - current->second.askedAt >= m_options.timeout)
            conclude(current, std::nullopt);
        else if (now >= current->second.resendAt)
            widen(current->first, current->second, outgoing, now);
    }
    const auto isKnownForLong
        = [&](const runners::SoleVersion& version) { return version.age >= m_options.origins.lifetime; };
    const bool needsHistory = !std::all_of(m_soleVersions.begin(), m_soleVersions.end(), isKnownForLong);
    if (needsHistory && now >= m_nextHistoryAt && !m_members.empty()) {
        m_nextHistoryAt = now + m_options.historyInterval;
        const auto& ip = m_members[++m_nextHistoryMember % m_members.size()];
        outgoing.push_back({ ip, encode(StreamQuestion { ++m_lastNonce, noStream }) });
    }
    return outgoing;
}

void StreamDirectory::receive(const StreamOriginList& list, TimePoint now)
{
    for (const auto& origin : list.origins)
        m_kept.record(origin, now);
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::receive(
    const std::string& from, const StreamQuestion& question, TimePoint now) const
{
    StreamAnswer answer;
    answer.nonce = question.nonce;
    answer.software = m_kept.find(question.stream, now);
    answer.soleVersions = m_soleVersions;
    answer.departures = m_departures;
    return { { from, encode(answer) } };
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::receive(
    const std::string& from, const StreamAnswer& answer, TimePoint now)
{
    std::vector<Outgoing> outgoing;
    const auto question = m_questions.find(answer.nonce);
    if (question == m_questions.end() || std::erase(question->second.unanswered, from) == 0)
        return outgoing;
    const bool areAllAnswered = question->second.unanswered.empty();
    if (answer.software || (areAllAnswered && question->second.unasked.empty()))
        conclude(question, answer.software);
    else if (areAllAnswered)
        widen(question->first, question->second, outgoing, now);
    return outgoing;
}

void StreamDirectory::conclude(
    std::map<std::uint64_t, Question>::iterator question, std::optional<std::uint64_t> software)
{
    const auto finder = std::move(question->second.finder);
    m_questions.erase(question);
    finder(software);
}

}
