#include "proxy/CacheSurvey.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrassford::proxy {

namespace {

    /// Share of a part's tokens from which it counts as read. Runners drop some at the end of a request that was broken
    /// off, and a session that goes on adds more.
    constexpr double minReadShare = 0.95;

    /// Most tokens that a runner has of a part; 0 without it.
    std::uint32_t tokensOf(std::uint64_t part, const std::vector<PromptPart>& cached)
    {
        const auto after = std::ranges::upper_bound(cached, part, {}, &PromptPart::id);
        return after == cached.begin() || std::prev(after)->id != part ? 0 : std::prev(after)->tokens;
    }

    bool holdsOtherThan(const std::set<std::uint64_t>& software, std::uint64_t expected)
    {
        return std::any_of(software.begin(), software.end(), [&](auto each) { return each != expected; });
    }

}

void CacheSurvey::setCandidates(std::vector<Candidate> candidates, std::set<std::uint64_t> departed)
{
    m_candidates = std::move(candidates);
    m_departed = std::move(departed);
}

void CacheSurvey::ask(const PromptPart& part, Finder finder, TimePoint now)
{
    m_questions.push_back({ part, std::move(finder), now });
}

std::vector<std::string> CacheSurvey::takeDue(TimePoint now)
{
    std::vector<std::string> due;
    if (m_questions.empty())
        return due;
    for (const auto& candidate : m_candidates) {
        if (!candidate.isAskable || answerOf(candidate, m_questions.back().askedAt))
            continue;
        const auto asked = m_askedAt.find(candidate.id);
        if (asked != m_askedAt.end() && now - asked->second < m_options.resendInterval)
            continue;
        m_askedAt[candidate.id] = now;
        due.push_back(candidate.id);
    }
    return due;
}

void CacheSurvey::record(
    const std::string& runner, std::uint64_t identity, std::vector<PromptPart> cached, TimePoint now)
{
    std::ranges::sort(cached, {}, [](const auto& part) { return std::pair(part.id, part.tokens); });
    m_answers[runner] = { identity, std::move(cached), now };
    m_askedAt.erase(runner);
}

std::size_t CacheSurvey::conclude(TimePoint now)
{
    std::vector<std::pair<Finder, std::optional<std::uint64_t>>> concluded;
    std::erase_if(m_questions, [&](Question& question) {
        const auto finding = find(question);
        if (finding.isPending && now - question.askedAt < m_options.timeout)
            return false;
        concluded.emplace_back(std::move(question.finder), finding.software);
        return true;
    });
    if (m_questions.empty()) {
        std::erase_if(m_answers, [&](const auto& answer) { return now - answer.second.at > m_options.answerLifetime; });
        m_askedAt.clear();
    }
    for (const auto& [finder, software] : concluded)
        finder(software);
    return concluded.size();
}

std::size_t CacheSurvey::unanswered(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_candidates.begin(), m_candidates.end(),
        [&](const auto& candidate) { return answerOf(candidate, now) == nullptr; }));
}

const CacheSurvey::Answer* CacheSurvey::answerOf(const Candidate& candidate, TimePoint askedAt) const
{
    const auto found = m_answers.find(candidate.id);
    if (found == m_answers.end() || found->second.identity != candidate.identity
        || found->second.at < askedAt - m_options.answerLifetime)
        return nullptr;
    return &found->second;
}

CacheSurvey::Finding CacheSurvey::find(const Question& question) const
{
    std::set<std::uint64_t> holders;
    std::set<std::uint64_t> awaited;
    auto unheard = m_departed;
    for (const auto& candidate : m_candidates) {
        const auto* answer = answerOf(candidate, question.askedAt);
        if (!answer) {
            (candidate.isAskable ? awaited : unheard).insert(candidate.software);
            continue;
        }
        if (tokensOf(question.part.id, answer->cached) >= minReadShare * question.part.tokens)
            holders.insert(candidate.isSoftwareCertain ? candidate.software : runners::unknownSoftware);
    }
    if (holders.size() > 1 || holders.contains(runners::unknownSoftware))
        return {};
    if (holders.empty())
        return { !awaited.empty(), std::nullopt };
    const auto software = *holders.begin();
    if (holdsOtherThan(unheard, software))
        return {};
    if (holdsOtherThan(awaited, software))
        return { true, std::nullopt };
    return { false, software };
}

}
