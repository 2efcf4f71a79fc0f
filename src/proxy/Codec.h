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

/// @brief One part of a prompt. Prompts that begin with the same sequence of parts have a common prefix.
struct PromptPart {
    /// Identifies the content of the part; equal parts have equal ids.
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief Decoded headers of a caller's request.
struct RequestMetadata {
    /// Unique for each attempt of a caller; the response repeats it.
    std::string attemptId;
    /// Value of the Host header.
    std::string host;
    /// Secret that identifies the caller's organisation; never forwarded to a runner.
    std::string credential;
    /// Time for which the caller waits for the response.
    std::optional<Duration> callerTimeout;
    /// Id of the last event that the caller received of the stream that it resumes.
    std::optional<std::uint64_t> lastEvent;
    /// The caller continues a stream that began in an earlier response.
    bool isContinuation = false;
    /// Attempt id of the request whose response brought the first event of that stream; empty if not stated.
    std::string continuedAttempt;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Output tokens that the caller expects; often inaccurate.
    std::optional<std::uint32_t> expectedOutputTokens;
    /// Parts of the prompt in order.
    std::vector<PromptPart> prompt;
};

/// @brief Values that the daemon adds to a request when it forwards it to a runner.
struct ForwardMetadata {
    std::string organisation;
    /// Id of the only runner that may run the request; a different runner at the same address refuses it.
    std::string runner;
    /// Time until the deadline of the request.
    Duration timeLeft {};
    /// Id of the event after which a resumed stream continues.
    std::optional<std::uint64_t> lastEvent;
    /// Scheduling priority at the runner; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Address, as IP:PORT, of the runner from which to fetch the cached prefix of the prompt; empty to fetch nothing.
    std::string fetchPromptFrom;
};

/// @brief Decoded head of a runner's response.
struct ResponseMetadata {
    std::optional<std::string> attemptId;
    /// The runner states that it has not run the request and never will.
    bool hasNotRun = false;
    /// A different runner than the expected one answered at the address.
    bool isMisdirected = false;
    /// The response carries a digest; a success without one is not accepted.
    bool hasDigest = false;
    /// The body has a content encoding. No caller asks for one, so the body was not sent by the runner.
    bool isEncoded = false;
    /// Load that the runner reports.
    std::optional<runners::ReportedLoad> load;
    /// Requests per second that the runner accepts from all daemons together; empty if it states no limit.
    std::optional<double> rateLimit;
    /// The runner has begun to leave.
    bool isLeaving = false;
    /// Time for which the runner that refused the request wants no others from this daemon; empty if it states none.
    std::optional<Duration> pause;
    /// Time for which the runner stays cold; empty if it states none.
    std::optional<Duration> coldRemaining;
    /// The runner stated such a time that cannot be used: it is ignored.
    bool hasUnusableColdTime = false;
    /// The runner stated such a time for which it wants no requests that cannot be used as it is: it is ignored, or
    /// limited to the longest one.
    bool hasUnusablePause = false;
};

/// @brief Reason why a request cannot be decoded.
struct RequestError {
    std::string what;
};

/// @brief Translates between HTTP headers and the metadata that the proxy works with.
class Codec {
public:
    virtual ~Codec() = default;
    /// @brief Decodes the headers of a caller's request.
    /// @return the metadata, or why the request is malformed
    virtual tl::expected<RequestMetadata, RequestError> decodeRequest(const gateway::HttpRequest& request) const = 0;
    /// @brief Headers for a runner: the caller's headers without hop-by-hop ones, with @a metadata added.
    virtual gateway::Headers encodeRequest(const gateway::Headers& headers, const ForwardMetadata& metadata) const = 0;
    /// @brief Headers for another daemon that handles the request instead of this one: the caller's headers without
    /// hop-by-hop ones, with the time left.
    virtual gateway::Headers encodePassedOn(const gateway::Headers& headers, Duration timeLeft) const = 0;
    /// @brief Decodes the head of a runner's response.
    virtual ResponseMetadata decodeResponse(const http::MessageHead& head) const = 0;
    /// @brief Headers for the caller: the runner's headers without hop-by-hop ones.
    virtual gateway::Headers encodeResponse(const gateway::Headers& headers) const = 0;
    /// @brief Request line and headers, without the Host header, that ask a runner for its cached parts of prompts.
    virtual std::string encodeCacheQuery() const = 0;
    /// @brief Decodes the response to that request.
    /// @return the parts with their cached tokens; nothing if the response is not the expected document
    virtual std::optional<std::vector<PromptPart>> decodeCachedParts(std::string_view body) const = 0;
    /// @brief Headers of a response that the daemon generates itself.
    /// @param retryAfter time after which the caller may try again, if any
    virtual gateway::Headers encodeRefusal(const std::string& attemptId, std::optional<Duration> retryAfter) const = 0;
};

}
