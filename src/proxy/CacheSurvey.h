#pragma once

#include "common/Time.h"
#include "proxy/Codec.h"
#include "runners/Runner.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassford::proxy {

/// @brief Tells from the runners' caches which software began a stream. No I/O.
///
/// Load pattern: all daemons end at once while several software versions serve, and the callers return within seconds.
/// No daemon knows where their streams began, but the runners do: the runner that began a stream has the last part of
/// its prompt cached. Others may have that part from an earlier request of the same session, so that a conclusion needs
/// the answers of all runners of other versions. A runner that has not answered, gave an answer that cannot be read, or
/// cannot be asked may be the one that began the stream; only runners of the same version need not be heard.
class CacheSurvey {
public:
    struct Options {
        /// Time for which a caller waits for runners that do not answer. A sound runner may be silent for a second.
        Duration timeout = std::chrono::milliseconds(2000);
        /// Time after which a runner that has not answered is asked again.
        Duration resendInterval = std::chrono::milliseconds(800);
        /// Time for which an answer holds for streams that are asked about later; they may have begun since.
        Duration answerLifetime = std::chrono::milliseconds(1000);
    };
    /// @brief A runner that may have begun streams of the service.
    struct Candidate {
        std::string id;
        /// Differs for each lifetime of the runner.
        std::uint64_t identity = 0;
        /// Software that it is listed with, see softwareOf().
        std::uint64_t software = runners::unknownSoftware;
        /// It may have restarted with other software than it is listed with.
        bool isSoftwareCertain = true;
        /// Whether it may be asked for its caches.
        bool isAskable = true;
    };
    /// Called once, with the software that began the stream, or without it if that cannot be told.
    using Finder = std::function<void(std::optional<std::uint64_t>)>;

    explicit CacheSurvey(const Options& options)
        : m_options(options)
    {
    }
    CacheSurvey()
        : CacheSurvey(Options {})
    {
    }

    /// @brief Replaces the runners of the service.
    /// @param departed software of the runners that served lately and cannot be asked any more
    void setCandidates(std::vector<Candidate> candidates, std::set<std::uint64_t> departed);
    /// @brief Asks which software read the last part of a prompt.
    void ask(const PromptPart& part, Finder finder, TimePoint now);
    /// @brief Runners to be asked now.
    std::vector<std::string> takeDue(TimePoint now);
    /// @brief Records what a runner has cached.
    /// @param identity lifetime of the runner that was asked
    void record(const std::string& runner, std::uint64_t identity, std::vector<PromptPart> cached, TimePoint now);
    /// @brief Answers the questions that can be answered, and those that have waited for too long; drops answers of
    /// runners that no further question can use.
    /// @return number of questions answered
    std::size_t conclude(TimePoint now);
    bool isWaiting() const { return !m_questions.empty(); }
    /// @brief Whether neither questions nor answers are left.
    bool isIdle() const { return m_questions.empty() && m_answers.empty(); }
    /// @brief Candidates without an answer that holds for a question that is asked now.
    std::size_t unanswered(TimePoint now) const;

private:
    struct Question {
        PromptPart part;
        Finder finder;
        TimePoint askedAt {};
    };
    struct Answer {
        std::uint64_t identity = 0;
        /// Sorted by id, then by tokens.
        std::vector<PromptPart> cached;
        TimePoint at {};
    };
    /// What the answers say about a question.
    struct Finding {
        bool isPending = false;
        std::optional<std::uint64_t> software;
    };

    /// The answer of a runner if it holds for a question that was asked at a time; null without one.
    const Answer* answerOf(const Candidate& candidate, TimePoint askedAt) const;
    Finding find(const Question& question) const;

    Options m_options;
    std::vector<Candidate> m_candidates;
    std::set<std::uint64_t> m_departed;
    /// Both by the id of the runner.
    std::map<std::string, Answer> m_answers;
    std::map<std::string, TimePoint> m_askedAt;
    std::vector<Question> m_questions;
};

}
