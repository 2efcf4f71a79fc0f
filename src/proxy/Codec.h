#pragma once

#include "common/Time.h"
#include "gateway/Http.h"
#include "http/MessageParser.h"
#include "runners/Runner.h"
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace eelgrassford::proxy {

/// @brief One part of a prompt, in order; requests that begin with the same parts share them.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief What a request says of itself, decoded.
struct RequestMetadata {
    /// Differs for each attempt of a caller; its answer carries it.
    std::string attemptId;
    std::string host;
    /// Secret that names the caller's organisation; never passed on.
    std::string credential;
    /// Time that the caller will wait.
    std::optional<Duration> callerTimeout;
    /// Last event that the caller has of a stream that it resumes.
    std::optional<std::uint64_t> lastEvent;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Output tokens that the caller expects, often far off.
    std::optional<std::uint32_t> expectedOutputTokens;
    std::vector<PromptPart> prompt;
};

/// @brief What a daemon adds when it passes a request on.
struct ForwardMetadata {
    std::string organisation;
    /// The only runner that may run it; another one at the address declines.
    std::string runner;
    Duration timeLeft {};
    /// A resumed stream goes on behind this event.
    std::optional<std::uint64_t> lastEvent;
    /// Rank among the runner's requests, 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Address of a runner from which the prompt's kept parts are to be fetched, as IP:PORT.
    std::string fetchPromptFrom;
};

/// @brief What the head of a runner's response says.
struct ResponseMetadata {
    std::optional<std::string> attemptId;
    /// The runner states that it did not run the request and never will.
    bool hasNotRun = false;
    /// Another runner than the expected one has the address.
    bool isMisdirected = false;
    /// Carries the digest without which a success does not count.
    bool hasDigest = false;
    /// The body is encoded, which no caller asked for, so it is not the runner's.
    bool isEncoded = false;
    std::optional<runners::ReportedLoad> load;
};

/// @brief A request that cannot be understood.
struct RequestError {
    std::string what;
};

/// @brief Translates between the names on the wire and the facts that decide.
class Codec {
public:
    virtual ~Codec() = default;
    virtual tl::expected<RequestMetadata, RequestError> decodeRequest(const gateway::HttpRequest& request) const = 0;
    /// @brief Headers for a runner: the caller's, without what concerns one connection, with what is added.
    virtual gateway::Headers encodeRequest(const gateway::Headers& headers, const ForwardMetadata& facts) const = 0;
    virtual ResponseMetadata decodeResponse(const http::MessageHead& head) const = 0;
    /// @brief Headers for the caller: the runner's, without what concerns one connection.
    virtual gateway::Headers encodeResponse(const gateway::Headers& headers) const = 0;
    /// @brief Headers of an answer that the daemon gives itself.
    virtual gateway::Headers encodeRefusal(const std::string& attemptId, std::optional<Duration> retryAfter) const = 0;
};

}
